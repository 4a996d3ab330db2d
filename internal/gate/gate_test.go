package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/kinds"
)

const (
	testTimeout = 5 * time.Second
	testLimit   = 8 << 20
	testBody    = 1 << 20 // greatest body
)

// testGate is a gate before a server that answers with the number of fields and the body of a request.
type testGate struct {
	*Gate
	address string
	release chan struct{} // lets requests for /wait go on
}

func newTestGate(t *testing.T, limit int64) *testGate {
	t.Helper()
	return newBoundGate(t, limit, 0)
}

// newBoundGate is newTestGate with a bound for connections.
func newBoundGate(t *testing.T, limit int64, maxConns int) *testGate {
	t.Helper()
	g := &testGate{release: make(chan struct{})}
	g.Gate = &Gate{MaxConns: maxConns, Budget: &budget.Budget{Limit: limit, Policy: budget.Heaviest{}, Now: func() int64 { return g.sweeps.Load() }}}
	g.SetLimits(Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second})
	listener, err := g.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(g.serve)}
	go func() { _ = g.Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	g.address = listener.Addr().String()
	return g
}

func (g *testGate) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		<-g.release
	}
	body, err := ReadBody(w, r, testBody)
	if err != nil {
		w.WriteHeader(kinds.AnswerFor(kinds.KindOf(err)).Status)
		return
	}
	_, _ = fmt.Fprintf(w, "%d %d", len(r.Header), len(body))
}

// dial returns a connection whose reads end at testTimeout.
func (g *testGate) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// answer returns the status and the body of the next answer, or "" when the connection ends without one.
func answer(conn *bufio.Reader) string {
	resp, err := http.ReadResponse(conn, nil)
	if err != nil {
		return ""
	}
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// A request inside the limits has to be served, however it is sent, and one over them to be refused before it is held.
func TestRequests(t *testing.T) {
	head := func(method, fields string) string { return method + " / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" }
	cases := map[string]struct{ request, want string }{
		"Plain":              {head("GET", ""), "200 0 0"},
		"LineEndsBefore":     {"\r\n" + head("GET", ""), "400 400 Bad Request"},
		"BareLineEnds":       {"GET / HTTP/1.1\nHost: h\na: b\n\n", "200 1 0"},
		"ShortFields":        {head("GET", shortFields(2400)), "200 2400 0"},
		"ShortFieldsAtLimit": {head("GET", shortFields(3100)), "200 3100 0"},
		"HeadOverLimit":      {head("GET", "a: "+strings.Repeat("b", 17<<10)+"\r\n"), "431 "},
		"Body":               {head("POST", "Content-Length: 1048576\r\n") + strings.Repeat("b", 1<<20), "200 1 1048576"},
		"BodyOverLimit":      {head("POST", "Content-Length: 1048577\r\n") + strings.Repeat("b", 1000), "413 "},
		"Chunks":             {head("POST", "Transfer-Encoding: chunked\r\n") + strings.Repeat("400\r\n"+strings.Repeat("b", 1024)+"\r\n", 1024) + "0\r\n\r\n", "200 0 1048576"},
		"ChunksOverLimit":    {head("POST", "Transfer-Encoding: chunked\r\n") + strings.Repeat("400\r\n"+strings.Repeat("b", 1024)+"\r\n", 1025) + "0\r\n\r\n", "413 "},
		"Trailer":            {head("POST", "Transfer-Encoding: chunked\r\nTrailer: x\r\n") + "1\r\nb\r\n0\r\nx: y\r\n\r\n", "200 0 1"},
		"Expects":            {head("POST", "Content-Length: 1\r\nExpect: 100-continue\r\n") + "b", "100 200 2 1"},
	}
	for name, c := range cases {
		for _, piece := range []int{1 << 30, 700} {
			t.Run(fmt.Sprint(name, piece), func(t *testing.T) {
				g := newTestGate(t, testLimit)
				conn := g.dial(t)
				go func() {
					for rest := c.request; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
						if _, err := io.WriteString(conn, rest[:min(piece, len(rest))]); err != nil {
							return // refused
						}
					}
				}()
				reader := bufio.NewReader(conn)
				got := answer(reader)
				if strings.HasPrefix(got, "100") {
					got += answer(reader)
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
				if got[0] == '4' && answer(reader) != "" {
					t.Error("a second answer after a refusal")
				}
			})
		}
	}
}

// Requests that are sent one after the other on a connection have to be served, and the memory of each to be given back.
func TestRequestsOnOneConnection(t *testing.T) {
	g := newTestGate(t, testLimit)
	conn := g.dial(t)
	reader := bufio.NewReader(conn)
	bodies := []string{"", "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", "Content-Length: 5000\r\n\r\n" + strings.Repeat("b", 5000)}
	want := []string{"200 0 0", "200 1 4", "200 0 1", "200 1 5000"}
	for i := range 40 {
		body := bodies[i%len(bodies)]
		if body == "" {
			body = "\r\n"
		}
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+body) // a failed write is seen by the answer
		if diff := cmp.Diff(want[i%len(want)], answer(reader)); diff != "" {
			t.Fatalf("answer %d (-want +got):\n%s", i, diff)
		}
	}
	_ = conn.Close()
	g.await(t, "nothing is held", func() bool {
		return g.Budget.Held(budget.Connections)+g.Budget.Held(budget.Heads)+g.Budget.Held(budget.Bodies) == 0
	})
}

func (g *testGate) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// Requests that a client sent ahead without reading an answer all ran.
func TestRequestsSentAhead(t *testing.T) {
	g := newTestGate(t, testLimit)
	conn := g.dial(t)
	_, _ = io.WriteString(conn, strings.Repeat("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", 100)) // a failed write is seen by the answer
	g.await(t, "more has come", func() bool { return g.sentEarly() })
	close(g.release)
	reader := bufio.NewReader(conn)
	for i, want := range []string{"200 0 0", ""} {
		if diff := cmp.Diff(want, answer(reader)); diff != "" {
			t.Errorf("answer %d (-want +got):\n%s", i, diff)
		}
	}
}

func (g *testGate) sentEarly() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.mu.Lock()
		early := len(c.early) > 0
		c.mu.Unlock()
		if early {
			return true
		}
	}
	return false
}

// Connections that were slow or idle stayed for constant times, whatever the limits said, and large bodies had 30 s.
func TestTimes(t *testing.T) {
	cases := map[string]struct {
		sent   string
		more   string // sent before each of the sweeps
		kept   int    // sweeps after which the connection is still there
		ended  int    // sweeps after which it is not
		answer string
	}{
		"Idle":       {"", "", 15, 16, ""},
		"Head":       {"GET / HT", "", 3, 4, "408 "},
		"HeadInBits": {"GET / HT", "T", 3, 4, "408 "},
		"Body":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\nb", "", 30, 31, "408 "},
		"SlowBody":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\nb", strings.Repeat("b", minBodyRate), 40, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newTestGate(t, testLimit)
			conn := g.dial(t)
			_, _ = io.WriteString(conn, c.sent) // a failed write is seen by the answer
			reading := func() bool { return g.reads(len(c.sent)) }
			g.await(t, "the bytes were read", reading)
			for range c.kept {
				_, _ = io.WriteString(conn, c.more)
				g.await(t, "the bytes were read", func() bool { return !g.unread() })
				g.sweep()
			}
			if g.ended() {
				t.Fatalf("ended within %d sweeps", c.kept)
			}
			if c.ended == 0 {
				return
			}
			for range c.ended - c.kept {
				g.sweep()
			}
			reader := bufio.NewReader(conn)
			if diff := cmp.Diff([]string{c.answer, ""}, []string{answer(reader), answer(reader)}); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
		})
	}
}

// reads reports whether the only connection has read bytes, or has been accepted when there are none.
func (g *testGate) reads(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		waits, _, _ := c.waitState()
		return n == 0 || waits == waitsHead || waits == waitsBody
	}
	return false
}

func (g *testGate) unread() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.Unread() {
			return true
		}
	}
	return false
}

func (g *testGate) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if _, _, ended := c.waitState(); ended {
			return true
		}
	}
	return len(g.conns) == 0
}

// A crowd of connections took all descriptors, and a new client was turned away.
func TestConnectionsAtTheBound(t *testing.T) {
	g := newBoundGate(t, testLimit, 4)
	for range 4 {
		g.dial(t)
	}
	g.await(t, "all are admitted", func() bool { return g.admitted() == 4 })
	conn := g.dial(t)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // a failed write is seen by the answer
	if diff := cmp.Diff("200 0 0", answer(bufio.NewReader(conn))); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if n := g.admitted(); n != 4 {
		t.Errorf("%d connections are open, want 4", n)
	}
}

func (g *testGate) admitted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Heads inside the limit were not counted, and many of them took more memory than there was.
func TestHeadsAreCounted(t *testing.T) {
	const limit = 4 << 20
	g := newTestGate(t, limit)
	for range 20 {
		conn := g.dial(t)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+shortFields(2000)) // refused ones fail
	}
	conn := g.dial(t)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // a failed write is seen by the answer
	if diff := cmp.Diff("200 0 0", answer(bufio.NewReader(conn))); diff != "" {
		t.Errorf("answer of a small request (-want +got):\n%s", diff)
	}
	if held := g.Budget.Held(budget.Heads); held > limit {
		t.Errorf("%d bytes of heads are held, the limit is %d", held, limit)
	}
}
