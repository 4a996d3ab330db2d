package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	plainBody  = "whole answer"
	streamBody = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
)

// framedAnswers are sound answers of an endpoint with each kind of framing.
func framedAnswers(contentType, body string) map[string]string {
	head := " 200 OK\r\nContent-Type: " + contentType + "\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\nTrailer: X-Last\r\n\r\n7\r\n%s\r\n%x\r\n%s\r\n0\r\nX-Last: 1\r\n\r\n", body[:7], len(body)-7, body[7:])
	return map[string]string{
		"Length":       "HTTP/1.1" + head + length,
		"Chunked":      "HTTP/1.1" + head + chunked,
		"Unframed":     "HTTP/1.1" + head + "Connection: close\r\n\r\n" + body,
		"Length10":     "HTTP/1.0" + head + length,
		"Unframed10":   "HTTP/1.0" + head + "\r\n" + body,
		"AfterInterim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1" + head + length,
	}
}

// An endpoint stopped at any byte of its answer, in the head too, and closed. The caller must get the whole answer or see that
// it is not whole.
func TestAnswerThatStopsAnywhereIsNotWhole(t *testing.T) {
	for contentType, body := range map[string]string{"text/plain": plainBody, "text/event-stream": streamBody} {
		for framing, whole := range framedAnswers(contentType, body) {
			for _, path := range []string{"/order", "/lookup"} {
				for _, passed := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s%s/passed=%v", contentType, framing, path, passed), func(t *testing.T) {
						t.Parallel()
						endpoint := newRawEndpoint(t)
						url := scriptedHost(t, passed, "", endpoint.address)
						for n := range len(whole) + 1 {
							endpoint.answer.Store(whole[:n])
							got := callOver(t, url+path, "HTTP/1.1")
							switch {
							case got.whole() && !mayEndAt(whole, n, contentType):
								t.Errorf("stopped after %q: the caller got the whole of %q", whole[:n], got.body)
							case !got.whole() && n == len(whole):
								t.Errorf("the whole answer: status %d, body %q, %v", got.status, got.body, got.err)
							case got.status == http.StatusOK && !strings.HasPrefix(body, got.body):
								t.Errorf("stopped after %q: the body was %q", whole[:n], got.body)
							}
						}
					})
				}
			}
		}
	}
}

// mayEndAt reports whether an answer is whole after n bytes: with its last one, and where its body ends with the connection at
// any place, except within an event and before the first one.
func mayEndAt(answer string, n int, contentType string) bool {
	head := strings.Index(answer, "\r\n\r\n") + 4
	framed := strings.Contains(answer, "Content-Length") || strings.Contains(answer, "chunked")
	switch {
	case n == len(answer):
		return true
	case framed || n < head:
		return false
	case contentType == "text/event-stream":
		return n > head && strings.HasSuffix(answer[:n], "\n\n")
	}
	return true
}

// callerAnswer is what a caller gets.
type callerAnswer struct {
	status int
	body   string
	err    error // of the connection
}

func (a callerAnswer) whole() bool { return a.err == nil && a.status == http.StatusOK }

// callOver makes a call with a version of HTTP on a connection of its own.
func callOver(t *testing.T, url, protocol string) callerAnswer {
	t.Helper()
	host, path, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	conn, err := net.Dial("tcp", host)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	const body = `{"Prompt":"p","MaxTokens":6}`
	fmt.Fprintf(conn, "POST /%s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, protocol, testKey, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return callerAnswer{resp.StatusCode, string(got), err}
}

// rawEndpoint answers the request of each connection with a text, and closes it.
type rawEndpoint struct {
	address string
	answer  atomic.Value // string
}

func newRawEndpoint(t *testing.T) *rawEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &rawEndpoint{address: listener.Addr().String()}
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

// scriptedHost starts a host that sends the attempts at each call to the given addresses, one after the other, whatever came of
// those before, the first one through another host if passed is set. It returns the host's URL.
func scriptedHost(t *testing.T, passed bool, model string, addresses ...string) string {
	t.Helper()
	script := func(request uint64, path string, n int) (event.StartAttempt, bool) {
		if n == len(addresses) {
			return event.StartAttempt{}, false
		}
		return event.StartAttempt{
			Request: request, Attempt: uint64(n + 1), Address: addresses[n], Deadline: time.Hour, Idempotent: path != "/order",
			Generation: model != "", Model: model, PassErrors: n == len(addresses)-1,
		}, true
	}
	if !passed {
		return newScripted(t, script).url
	}
	direct := newScripted(t, func(request uint64, path string, n int) (event.StartAttempt, bool) {
		start, ok := script(request, path, n)
		return start, ok && n == 0
	})
	hostAPI := httptest.NewServer(http.HandlerFunc(direct.server.ServePassed))
	t.Cleanup(hostAPI.Close)
	entry := newScripted(t, func(request uint64, path string, n int) (event.StartAttempt, bool) {
		if n > 0 {
			return script(request, path, n)
		}
		return event.StartAttempt{
			Request: request, Attempt: 1, Deadline: time.Hour, Idempotent: path != "/order", PassErrors: true,
			Relay: "other", Pass: &wire.PassTerms{Service: "lookup", Idempotent: path != "/order"},
		}, true
	})
	entry.server.Executor.Relays = oneRelay{strings.TrimPrefix(hostAPI.URL, "http://")}
	return entry.url
}

// scripted is a host whose attempts follow a script instead of the reducer.
type scripted struct {
	server *Server
	url    string
	script func(request uint64, path string, n int) (event.StartAttempt, bool)
	mu     sync.Mutex
	paths  map[uint64]string // by request
}

func newScripted(t *testing.T, script func(request uint64, path string, n int) (event.StartAttempt, bool)) *scripted {
	t.Helper()
	s := &scripted{script: script, paths: map[uint64]string{}}
	executor := &call.Executor{Incarnation: "test", Post: s.post, Now: func() time.Duration { return 0 }, Secret: "secret"}
	executor.Prepare()
	s.server = &Server{Executor: executor, Post: s.post, Now: executor.Now}
	s.server.Prepare()
	s.server.Do(event.UseSite{Site: testSite()})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = executor.Run(ctx) }()
	listener := httptest.NewServer(s.server)
	s.url = listener.URL
	t.Cleanup(func() {
		cancel()
		listener.Close()
	})
	return s
}

func (s *scripted) post(ev event.Event) bool {
	switch e := ev.(type) {
	case event.RequestArrived:
		s.mu.Lock()
		s.paths[e.Request] = e.Path
		s.mu.Unlock()
		s.attempt(e.Request, 0)
	case event.AttemptConnected:
		s.server.Executor.Do(event.SendAttempt{Request: e.Request, Attempt: e.Attempt, Before: time.Hour})
	case event.AttemptDone:
		if e.Whole {
			s.server.Executor.Do(event.AnswerRequest{Request: e.Request})
			break
		}
		s.attempt(e.Request, int(e.Attempt))
	}
	return true
}

func (s *scripted) attempt(request uint64, n int) {
	s.mu.Lock()
	path := s.paths[request]
	s.mu.Unlock()
	if next, ok := s.script(request, path, n); ok {
		s.server.Executor.Do(next)
		return
	}
	s.server.Executor.Do(event.AnswerRequest{Request: request, Kind: "StreamCut"})
}

// A caller that speaks HTTP/1.0 takes the end of its connection for the end of an answer without a length, so that a cut one
// looked whole to it.
func TestCutAnswerToAnOldCaller(t *testing.T) {
	for framing, whole := range framedAnswers("text/plain", plainBody) {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			endpoint := newRawEndpoint(t)
			url := scriptedHost(t, false, "", endpoint.address)
			for n := range len(whole) + 1 {
				endpoint.answer.Store(whole[:n])
				got := callOver(t, url+"/order", "HTTP/1.0")
				if ends := mayEndAt(whole, n, "text/plain"); got.whole() != ends {
					t.Errorf("stopped after %q: status %d, body %q, %v", whole[:n], got.status, got.body, got.err)
				}
			}
		})
	}
}
