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

// streamUntilCancelled returns a handler that streams segments until the daemon cancels the request, then closes ended.
func streamUntilCancelled(ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := strings.Repeat("t", 1<<12)
		for r.Context().Err() == nil {
			if _, err := fmt.Fprintf(w, "{\"Tokens\":[%q],\"Version\":1}\n", token); err != nil {
				break
			}
			w.(http.Flusher).Flush()
		}
		close(ended)
	}
}

func awaitStreamEnd(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the endpoint is still streaming")
	}
}

func TestCallerThatLeavesEndsItsWork(t *testing.T) {
	ended := make(chan struct{})
	ts := newTestServer(t, engine(t, "a", streamUntilCancelled(ended)))
	ctx, disconnect := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, ts.url+"/draft", strings.NewReader(`{"Prompt":"p","MaxTokens":9}`))
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
	disconnect()
	_ = resp.Body.Close()
	awaitStreamEnd(t, ended)
}

// TestStuckCallerIsEndedAtItsDeadline has a caller that reads nothing, so that writes to it block. At the deadline the
// attempt must end and the bytes of the body must be released.
func TestStuckCallerIsEndedAtItsDeadline(t *testing.T) {
	ended := make(chan struct{})
	ts := newTestServer(t, engine(t, "a", streamUntilCancelled(ended)))
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
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
	ts.await(t, func() bool { return ts.server.bodyBytes.Load() > 0 })
	awaitStreamEnd(t, ended)
	ts.await(t, func() bool { return ts.server.bodyBytes.Load() == 0 })
}

func TestBodyLimits(t *testing.T) {
	ts := newTestServer(t, service(t, "a", func(http.ResponseWriter, *http.Request) {}))
	large := strings.Repeat("x", int(testSite().Limits.MaxBodyBytes)+1)
	resp, body, err := ts.request(t, http.MethodPost, "/lookup", large, nil)
	if err != nil {
		t.Fatal(err)
	}
	checkRefusal(t, resp, body, "BodyTooLarge", "NotRun")
	ts.server.bodyBytes.Store(maxTotalBodyBytes)
	resp, body, err = ts.request(t, http.MethodPost, "/lookup", "x", nil)
	if err != nil {
		t.Fatal(err)
	}
	checkRefusal(t, resp, body, "QueueFull", "NotRun")
	if got := ts.server.bodyBytes.Load(); got != maxTotalBodyBytes {
		t.Errorf("%d bytes of bodies were not released", got-maxTotalBodyBytes)
	}
}
