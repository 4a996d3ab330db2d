package call

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// A late second answer to an earlier request came where the next one was expected. It must neither refuse nor answer the next
// request, and its connection must not be used again.
func TestForeignAnswerSaysNothingOfARequest(t *testing.T) {
	cases := map[string]string{
		"refusal":       "503 Service Unavailable\r\nRequest: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failure":       "500 Internal Server Error\r\nRequest: other\r\nStamp: s\r\nContent-Length: 0\r\n\r\n",
		"never":         "422 Unprocessable Entity\r\nRequest: other\r\nContent-Length: 0\r\n\r\n",
		"answer":        "200 OK\r\nRequest: other\r\nStamp: s\r\nContent-Length: 1\r\n\r\nx",
		"without an id": "503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			connections := &atomic.Int64{}
			x, reports, address := answeringExecutor(t, HeaderNames{Request: "Request", Stamp: "Stamp", NotRun: "Not-Run"}, func(conn net.Conn) {
				reader, first := bufio.NewReader(conn), connections.Add(1) == 1
				for n := 0; ; n++ {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return // the other side has closed the connection
					}
					if first && n == 1 {
						_, _ = io.WriteString(conn, "HTTP/1.1 "+late)
						time.Sleep(50 * time.Millisecond) // the endpoint works on the request
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 0\r\nRequest: "+req.Header.Get("Request")+"\r\n\r\n")
				}
			})
			var got []event.AttemptDone
			for n := uint64(1); n <= 3; n++ {
				e := &Exchange{Request: n, Method: http.MethodGet, Target: "/", Header: http.Header{}, Sink: discardSink{}}
				x.Open(e)
				go e.Run(context.Background(), x, func() {})
				x.Do(event.StartAttempt{Request: n, Attempt: n, Address: address, Deadline: time.Minute, Idempotent: true})
				report := <-reports
				got = append(got, event.AttemptDone{Reason: report.Reason, Run: report.Run, Status: report.Status})
			}
			want := []event.AttemptDone{
				{Run: kinds.Ran, Status: http.StatusOK}, {Reason: event.ReasonForeign, Run: kinds.Unknown}, {Run: kinds.Ran, Status: http.StatusOK},
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("reports (-want +got):\n%s", diff)
			}
			if n := connections.Load(); n != 2 {
				t.Errorf("%d connections, want another one for the request after the foreign answer", n)
			}
		})
	}
}

// answeringExecutor returns an executor that sends as soon as it is connected, its reports, and the address of an endpoint
// that handles its connections one after the other with serve.
func answeringExecutor(t *testing.T, names HeaderNames, serve func(conn net.Conn)) (*Executor, chan event.AttemptDone, string) {
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
				return // the test is over
			}
			serve(conn)
			_ = conn.Close()
		}
	}()
	reports := make(chan event.AttemptDone, 1)
	x := &Executor{Now: func() time.Duration { return 0 }, Names: names}
	x.Post = func(ev event.Event) bool {
		switch e := ev.(type) {
		case event.AttemptConnected:
			x.Do(event.SendAttempt{Request: e.Request, Attempt: e.Attempt, Before: time.Minute})
		case event.AttemptDone:
			reports <- e
		}
		return true
	}
	x.Prepare()
	return x, reports, listener.Addr().String()
}
