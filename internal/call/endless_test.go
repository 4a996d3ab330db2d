package call

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// maxEndlessBytes bounds what an endpoint can send of an answer whose body isn't forwarded as it comes: what readers take of it,
// and what two sockets buffer.
const maxEndlessBytes = 16 << 20

// endlessAnswers are answers that repeat their second part until the caller closes.
func endlessAnswers() map[string][2]string {
	const head = "HTTP/1.1 200 OK\r\n"
	more := strings.Repeat("m", 1000)
	return map[string][2]string{
		"no HTTP":         {"", "garbage " + more},
		"status line":     {"HTTP/1.1 200 ", more},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + more + "\r\n\r\n"},
		"short interim":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim reasons": {"", "HTTP/1.1 102 " + strings.Repeat(more, 30) + "\r\n\r\n"},
		"header line":     {head + "X-More: ", more},
		"header fields":   {head, "X-More: " + more + "\r\n"},
		"chunk header":    {head + "Transfer-Encoding: chunked\r\n\r\n5;x=", more},
		"chunk overhead":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1;x=" + more + "\r\nx\r\n"},
		"trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "X-More: " + more + "\r\n"},
		"refusal":         {"HTTP/1.1 503 Busy\r\n" + wire.HeaderNotRun + ": 1\r\n\r\n", more},
		"failure":         {"HTTP/1.1 500 Oops\r\n\r\n", more},
		"body":            {head + "\r\n", more},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(more), more)},
		"JSON list":       {head + "\r\n[", "[1, 2], "},
		"JSON lines":      {head + "\r\n", "{}\n"},
		"empty lines":     {head + "\r\n", strings.Repeat(" ", 1000) + "\n"},
	}
}

// An endpoint sent bytes without end in place of an answer, in a head or a body, until its caller closed. Nothing that reads an
// answer may go on for longer than its time, nor take more than its part of it.
func TestEndlessAnswersEnd(t *testing.T) {
	const timeout = 500 * time.Millisecond
	readers := map[string]func(t *testing.T, x *Executor, address string) (forwarded bool){
		"probe": func(_ *testing.T, x *Executor, address string) bool {
			x.probe(event.ProbeEndpoint{Address: address, Timeout: timeout, Kept: true})
			return false
		},
		"trial": func(_ *testing.T, x *Executor, address string) bool {
			x.probe(event.ProbeEndpoint{Address: address, Timeout: timeout})
			return false
		},
		"poll": func(_ *testing.T, x *Executor, address string) bool {
			x.poll(event.PollEndpoint{Address: address, Engine: true})
			return false
		},
		"identity": func(t *testing.T, x *Executor, address string) bool {
			_, err := x.Names.Identity.Dial(context.Background(), func(context.Context) (net.Conn, error) { return net.Dial("tcp", address) })
			if err == nil {
				t.Error("an answer without end told an incarnation")
			}
			return false
		},
		"generation": func(t *testing.T, x *Executor, address string) bool {
			return runEndless(t, x, &Exchange{Generate: &wire.Generate{MaxTokens: 9}}, event.StartAttempt{Address: address, Generation: true, Idempotent: true})
		},
		"repeatable call": func(t *testing.T, x *Executor, address string) bool {
			return runEndless(t, x, &Exchange{}, event.StartAttempt{Address: address, Idempotent: true})
		},
		"call": func(t *testing.T, x *Executor, address string) bool {
			return runEndless(t, x, &Exchange{}, event.StartAttempt{Address: address, PassErrors: true})
		},
		"stream": func(t *testing.T, x *Executor, address string) bool {
			return runEndless(t, x, &Exchange{}, event.StartAttempt{Address: address, Identify: true, PassErrors: true})
		},
	}
	for reader, read := range readers {
		for name, answer := range endlessAnswers() {
			t.Run(reader+"/"+name, func(t *testing.T) {
				t.Parallel()
				address, sent := endlessEndpoint(t, answer[0], answer[1])
				started := time.Now()
				x := &Executor{Now: func() time.Duration { return time.Since(started) }}
				x.Post = func(ev event.Event) bool {
					if e, ok := ev.(event.AttemptConnected); ok {
						x.Do(event.SendAttempt{Request: e.Request, Attempt: e.Attempt, Before: time.Minute})
					}
					return true
				}
				x.Prepare()
				forwarded := read(t, x, address)
				if took := time.Since(started); took > 4*time.Second {
					t.Errorf("the answer was read for %v", took)
				}
				if n := sent.Load(); n > maxEndlessBytes && !forwarded {
					t.Errorf("%d bytes were taken", n)
				}
			})
		}
	}
}

// runEndless makes one attempt, with half a second left, and reports whether the body was forwarded as it came.
func runEndless(t *testing.T, x *Executor, e *Exchange, start event.StartAttempt) (forwarded bool) {
	t.Helper()
	e.Request, e.Method, e.Target, e.Header, e.Sink = 1, http.MethodPost, "/", http.Header{}, discardSink{}
	start.Request, start.Attempt, start.Deadline = 1, 1, x.Now()+500*time.Millisecond
	x.Open(e)
	report := x.runAttempt(context.Background(), e, start)
	if report.Whole || report.Run == kinds.Ran {
		t.Errorf("an answer without end was whole: %+v", report)
	}
	return report.Begun && !start.Generation
}

// endlessEndpoint answers each connection with first and then repeated until its caller closes, and counts the bytes.
func endlessEndpoint(t *testing.T, first, repeated string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	repeated = strings.Repeat(repeated, 20)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test is over
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, conns.MaxHeaderBytes))
				for part := first; ; part = repeated {
					n, err := io.WriteString(conn, part)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), sent
}
