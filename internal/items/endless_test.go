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

// maxEndlessBytes bounds what is read of bytes that are no answer: the buffers of the connection, and twice the longest event.
const maxEndlessBytes = 12 << 20

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
			address, sent := endlessEngine(t, c.first, c.repeated)
			x := &Executor{HTTP: conns.Transport(time.Second, 1, time.Second), Now: func() time.Duration { return 0 }, Names: HeaderNames{
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
			if n := sent.Load(); n > maxEndlessBytes {
				t.Errorf("%d MiB were read of an answer without end", n>>20)
			}
		})
	}
}

// endlessEngine accepts connections and answers with first and then repeated, or consecutive events when that is "", until
// the caller closes. sent counts the bytes.
func endlessEngine(t *testing.T, first, repeated string) (address string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
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
					var written int
					written, err = io.WriteString(conn, part)
					sent.Add(int64(written))
				}
			}()
		}
	}()
	return listener.Addr().String(), sent
}
