package items

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// maxEndlessBytes bounds what is read of bytes that are no answer: the longest stream, and what the reader buffers.
const maxEndlessBytes = maxTextBytes + 64<<10

// An engine sent bytes that were no answer without end, in a head, a line, an event or between events. They filled the memory
// of the host until the run was silent for too long, or until the job was given up.
func TestEndlessBytesEndARun(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	cases := map[string]struct{ first, repeated string }{
		"head":               {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("m", 1000) + "\r\n"},
		"line":               {head + "data: ", strings.Repeat("d", 1000)},
		"event":              {head + "id: 1\n", "data: " + strings.Repeat("d", 1000) + "\n"},
		"unknown fields":     {head + "id: 1\ndata: x\n\n", "retry: " + strings.Repeat("9", 1000) + "\n"},
		"empty lines":        {head, strings.Repeat("\n", 1000)},
		"not a response":     {"", strings.Repeat("garbage ", 100) + "\r\n"},
		"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + strings.Repeat("m", 1000) + "\r\n\r\n"},
		"events without end": {head, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := endlessEngine(t, c.first, c.repeated)
			transport, read := conns.Transport(time.Second, 1, time.Second), &atomic.Int64{}
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &countedConn{Conn: conn, read: read}, err
			}
			x := &Executor{HTTP: transport, Now: func() time.Duration { return 0 }, Names: HeaderNames{
				HeaderNames: call.HeaderNames{Request: "Id"}, LastEvent: "Last-Event-Id",
			}}
			x.jobTable.prepare()
			j := &jobState{job: wire.Job{Items: []wire.JobItem{{ID: "i", Path: "/p"}}}, texts: []*itemText{{}}}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			started := time.Now()
			status, reason := x.runRequest(ctx, j, event.RunItem{Job: "j", Address: address}, j.texts[0], "", func() {})
			if reason != event.ReasonCut && reason != event.ReasonBroken {
				t.Errorf("status %d, reason %q, want a broken run", status, reason)
			}
			if took := time.Since(started); took > 10*time.Second {
				t.Errorf("the run ended after %v", took)
			}
			if n := read.Load(); n > maxEndlessBytes {
				t.Errorf("%d bytes were read of an answer without end, at most %d are allowed", n, maxEndlessBytes)
			}
		})
	}
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endlessEngine accepts connections and answers with first and then repeated, or consecutive events when that is "", until
// the caller closes.
func endlessEngine(t *testing.T, first, repeated string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, err := io.WriteString(conn, first)
				for n := 1; err == nil; n++ {
					part := repeated
					if part == "" {
						part = fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("d", 1000))
					}
					_, err = io.WriteString(conn, part)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
