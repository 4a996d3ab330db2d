package serve

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/event"
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
	ts.await(t, func() bool { return ts.server.Gate.Budget.Held(budget.Bodies) > 0 })
	awaitStreamEnd(t, ended)
	ts.await(t, func() bool { return ts.server.Gate.Budget.Held(budget.Bodies) == 0 })
}

func TestBodyLimits(t *testing.T) {
	ts := newTestServer(t, service(t, "a", func(http.ResponseWriter, *http.Request) {}))
	large := strings.Repeat("x", int(testSite().Limits.MaxBodyBytes)+1)
	resp, body, err := ts.request(t, http.MethodPost, "/lookup", large, nil)
	if err != nil {
		t.Fatal(err)
	}
	checkRefusal(t, resp, body, "BodyTooLarge", "NotRun")
	other := ts.server.Gate.Budget.Open(func() {})
	const half = testMemory * 7 / 16
	if err := errors.Join(other.Grow(budget.Bodies, half), other.Grow(budget.Bodies, half-1<<20)); err != nil {
		t.Fatal(err)
	}
	resp, body, err = ts.request(t, http.MethodPost, "/lookup", strings.Repeat("x", 2<<20), nil)
	if err != nil {
		t.Fatal(err)
	}
	checkRefusal(t, resp, body, "MemoryShort", "NotRun")
	held := func() bool { return ts.server.Gate.Budget.Held(budget.Bodies) > 2*half-1<<20 }
	ts.await(t, func() bool { return !held() })
	resp, _, err = ts.request(t, http.MethodPost, "/lookup", "x", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a small request while others hold the memory: %v, %v", resp, err)
	}
	other.Close()
	ts.await(t, func() bool { return ts.server.Gate.Budget.Held(budget.Bodies) == 0 })
}

// The limit for heads in a changed configuration was not in force below the parsing of a head.
func TestHeadLimitFollowsTheConfiguration(t *testing.T) {
	ts := newTestServer(t, service(t, "a", func(http.ResponseWriter, *http.Request) {}))
	header := http.Header{"X-Long": {strings.Repeat("x", 8<<10)}}
	for _, step := range []struct {
		limit, status int
	}{{16 << 10, http.StatusOK}, {4 << 10, http.StatusRequestHeaderFieldsTooLarge}, {16 << 10, http.StatusOK}} {
		site := testSite()
		site.Limits.MaxHeaderBytes = step.limit
		ts.loop.Post(event.ConfigInForce{Site: site})
		ts.await(t, func() bool { return ts.server.active.Load().site.Limits.MaxHeaderBytes == step.limit })
		var resp *http.Response
		ts.await(t, func() bool {
			var err error
			resp, _, err = ts.request(t, http.MethodPost, "/lookup", "", header)
			return err == nil
		})
		if diff := cmp.Diff(step.status, resp.StatusCode); diff != "" {
			t.Errorf("status with a limit of %d (-want +got):\n%s", step.limit, diff)
		}
	}
}

// A refusal that was known from the head was kept back until the client had sent the body.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	cases := map[string]struct {
		path, length string
		status       int
	}{
		"NoRoute":       {"/nothing", "Content-Length: 100000", http.StatusNotFound},
		"NoRouteChunks": {"/nothing", "Transfer-Encoding: chunked", http.StatusNotFound},
		"DotSegments":   {"/lookup/../x", "Content-Length: 1000", http.StatusBadRequest},
		"TooLong":       {"/lookup", "Content-Length: 100000000", http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ts := newTestServer(t, service(t, "a", func(http.ResponseWriter, *http.Request) {}))
			conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Api-Key: %s\r\n%s\r\n\r\n1\r\n", c.path, testKey, c.length) // a failed write is seen by the answer
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.status, resp.StatusCode); diff != "" || !resp.Close {
				t.Errorf("closes: %v, status (-want +got):\n%s", resp.Close, diff)
			}
		})
	}
}
