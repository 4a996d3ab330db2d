package serve

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endless streams segments until the daemon gives up, and tells when it did.
func endless(gone chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := strings.Repeat("t", 1<<12)
		for r.Context().Err() == nil {
			if _, err := fmt.Fprintf(w, "{\"Tokens\":[%q],\"Version\":1}\n", token); err != nil {
				break
			}
			w.(http.Flusher).Flush()
		}
		close(gone)
	}
}

func awaitGone(t *testing.T, gone <-chan struct{}) {
	t.Helper()
	select {
	case <-gone:
	case <-time.After(testBound):
		t.Error("the endpoint goes on")
	}
}

func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	gone := make(chan struct{})
	g := newRig(t, engine(t, "a", endless(gone)))
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/draft", strings.NewReader(`{"Prompt":"p","MaxTokens":9}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Api-Key", testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	leave()
	_ = resp.Body.Close()
	awaitGone(t, gone)
}

// TestStuckCallerIsEndedAtItsDeadline has a caller that reads nothing, so that writes to it wait.
func TestStuckCallerIsEndedAtItsDeadline(t *testing.T) {
	gone := make(chan struct{})
	g := newRig(t, engine(t, "a", endless(gone)))
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := `{"Prompt":"p","MaxTokens":9}`
	_, err = fmt.Fprintf(conn, "POST /draft HTTP/1.1\r\nHost: h\r\nX-Api-Key: %s\r\nX-Timeout-Ms: 500\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	g.await(t, func() bool { return g.server.bodies.Load() > 0 })
	awaitGone(t, gone)
	g.await(t, func() bool { return g.server.bodies.Load() == 0 })
}

func TestBodyBounds(t *testing.T) {
	g := newRig(t, service(t, "a", func(http.ResponseWriter, *http.Request) {}))
	large := strings.Repeat("x", int(testSite().Limits.MaxBodyBytes)+1)
	resp, body, err := g.do(t, http.MethodPost, "/lookup", large, nil)
	if err != nil {
		t.Fatal(err)
	}
	wantKind(t, resp, body, "BodyTooLarge", "NotRun")
	g.server.bodies.Store(bodiesMost)
	resp, body, err = g.do(t, http.MethodPost, "/lookup", "x", nil)
	if err != nil {
		t.Fatal(err)
	}
	wantKind(t, resp, body, "QueueFull", "NotRun")
	if held := g.server.bodies.Load(); held != bodiesMost {
		t.Errorf("%d bytes were not given back", held-bodiesMost)
	}
}
