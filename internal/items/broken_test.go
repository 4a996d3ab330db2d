package items

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// An engine stopped at any byte of its answer and closed. The item's text was taken for whole although its rest was missing.
func TestRunThatStopsAnywhereIsNotWhole(t *testing.T) {
	const head = " 200 OK\r\nStamp: s\r\nContent-Type: text/event-stream\r\n"
	rest := "id: 3\ndata: three\n\nid: 4\ndata: four\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(rest), rest)
	framings := map[string]string{
		"length":        "HTTP/1.1" + head + length,
		"chunked":       "HTTP/1.1" + head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n7\r\n%s\r\n%x\r\n%s\r\n0\r\nX: 1\r\n\r\n", rest[:7], len(rest)-7, rest[7:]),
		"unframed":      "HTTP/1.1" + head + "Connection: close\r\n\r\n" + rest,
		"unframed, 1.0": "HTTP/1.0" + head + "\r\n" + rest,
		"after interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1" + head + length,
	}
	for framing, whole := range framings {
		for _, held := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, %d events held", framing, held), func(t *testing.T) {
				t.Parallel()
				whole := whole
				if held == 0 {
					whole = strings.NewReplacer("id: 3", "id: 1", "id: 4", "id: 2").Replace(whole)
				}
				engine := newStoppingEngine(t)
				for n := range len(whole) + 1 {
					engine.answer.Store(whole[:n])
					status, reason, text := engine.run(held)
					unframed := strings.HasPrefix(framing, "unframed") && (strings.HasSuffix(whole[:n], "\n\n") || held > 0 && strings.HasSuffix(whole[:n], "\r\n\r\n"))
					if ends := n == len(whole) || unframed; (reason == "") != ends {
						t.Errorf("stopped after %q: status %d, reason %q, %d events", whole[:n], status, reason, text.events)
					}
					if got := "\n" + string(text.text.data); !strings.HasPrefix("\none\ntwo\nthree\nfour", got) && !strings.HasPrefix("\nthree\nfour", got) {
						t.Errorf("stopped after %q: the text is %q", whole[:n], got)
					}
				}
			})
		}
	}
}

// An engine answered 200 to an item with something else than a stream of events, or with a stream without any. The part of the
// text that was held was taken for the whole of it.
func TestAnswerWithoutEventsIsNoText(t *testing.T) {
	answer := func(header, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nStamp: s\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	}
	const streamType, jsonType = "Content-Type: text/event-stream; charset=utf-8\r\n", "Content-Type: application/json\r\n"
	cases := map[string]struct {
		answer string
		held   int // events
		want   string
	}{
		"object":                {answer(jsonType, `{"detail":"oops"}`), 0, event.ReasonBroken},
		"object, resumed":       {answer(jsonType, `{"detail":"oops"}`), 2, event.ReasonBroken},
		"page, resumed":         {answer("Content-Type: text/html\r\n", "<p>\n\n</p>\n"), 2, event.ReasonBroken},
		"no type, resumed":      {answer("", ""), 2, event.ReasonBroken},
		"no events":             {answer(streamType, ""), 0, event.ReasonCut},
		"comments":              {answer(streamType, ": hello\n\n"), 0, event.ReasonCut},
		"no events, unframed":   {"HTTP/1.0 200 OK\r\nStamp: s\r\n" + streamType + "\r\n", 0, event.ReasonCut},
		"no content":            {"HTTP/1.1 204 No Content\r\nStamp: s\r\n\r\n", 2, event.ReasonBroken},
		"no more events":        {answer(streamType, ""), 2, ""}, // the answer that brought the last one was cut after it
		"events":                {answer(streamType, "id: 1\ndata: one\n\n"), 0, ""},
		"no number":             {answer(streamType, "id: x\ndata: one\n\n"), 0, event.ReasonCut},
		"blank in a name":       {"HTTP/1.1 200 OK\r\nStamp: s\r\n" + streamType + "X Name: 1\r\n\r\nid: 1\ndata: one\n\n", 0, event.ReasonBroken},
		"blank in the trailer":  {"HTTP/1.1 200 OK\r\nStamp: s\r\n" + streamType + "Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\nX Name: 1\r\n\r\n", 0, event.ReasonCut},
		"status 000":            {"HTTP/1.1 000 None\r\nStamp: s\r\n" + streamType + "\r\nid: 1\ndata: one\n\n", 0, event.ReasonBroken},
		"events from the first": {answer(streamType, "id: 1\ndata: one\n\n"), 2, event.ReasonCut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engine := newStoppingEngine(t)
			engine.answer.Store(c.answer)
			status, reason, text := engine.run(c.held)
			if reason != c.want {
				t.Errorf("status %d, reason %q, want %q; %d events", status, reason, c.want, text.events)
			}
		})
	}
}

// stoppingEngine answers the request of each connection with a text, and closes it.
type stoppingEngine struct {
	address string
	answer  atomic.Value // string
}

func newStoppingEngine(t *testing.T) *stoppingEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &stoppingEngine{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test is over
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, e.answer.Load().(string))
			}
			_ = conn.Close()
		}
	}()
	return e
}

// run runs an item of which the first events are held.
func (e *stoppingEngine) run(held int) (status int, reason string, text *itemText) {
	return runItemAt(e.address, nil, held)
}

// runItemAt runs an item with a body, of which the first events are held, at the engine with an address.
func runItemAt(address string, body []byte, held int) (status int, reason string, text *itemText) {
	x := &Executor{HTTP: conns.Transport(time.Second, 1, time.Second), Now: func() time.Duration { return 0 }, Post: func(event.Event) bool { return true }}
	x.Names = HeaderNames{HeaderNames: call.HeaderNames{Request: "Request", Stamp: "Stamp", NotRun: "Not-Run"}, LastEvent: "Last-Event-Id", GeneratedVersion: "Weight-Versions"}
	text = &itemText{}
	for n, data := range []string{"one", "two"}[:held] {
		text.add(fmt.Sprint(n+1), []byte(data), 0, "")
	}
	j := &jobState{job: wire.Job{Items: []wire.JobItem{{ID: "i", Path: "/p", Body: body}}}, texts: []*itemText{text}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, lastID, _ := text.state()
	status, reason = x.runRequest(ctx, j, event.RunItem{Address: address}, text, lastID, func() {})
	return status, reason, text
}
