package serve

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/flow"
	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/loop"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

const (
	testKey          = "fs-test-key-0123456789"
	testTimeout      = 5 * time.Second
	testTickInterval = 5 * time.Millisecond
)

// alwaysTrust trusts the evidence for the next second at any time.
type alwaysTrust struct{}

func (alwaysTrust) Trusted(now time.Duration) (time.Duration, bool) { return now + time.Second, true }

func (alwaysTrust) Holds(string, time.Duration) (time.Duration, uint64, bool) { return 0, 0, false }

// testMemory is what callers can make a testServer hold, in bytes.
const testMemory = 64 << 20

// testServer is the request handling of a daemon, with its own reducer loop and listener.
type testServer struct {
	loop          *loop.Loop
	flowComponent *flow.Component

	server *Server
	url    string
}

func testSite() *config.Site {
	site := config.Defaults()
	site.Revision = 1
	site.Organisations["Ledger"] = config.Organisation{Name: "Ledger", Weight: 1}
	site.Routes["Lookup"] = config.Route{Name: "Lookup", Prefix: "/lookup", Service: "lookup", Idempotent: true, Timeout: 2 * time.Second}
	site.Routes["Order"] = config.Route{Name: "Order", Prefix: "/order", Service: "lookup", Timeout: 2 * time.Second}
	site.Routes["Draft"] = config.Route{Name: "Draft", Prefix: "/draft", Model: "m", Idempotent: true, Timeout: 5 * time.Second}
	site.Routes["Public"] = config.Route{Name: "Public", Prefix: "/public", Service: "lookup", Open: true, Idempotent: true}
	return site
}

func newTestServer(tb testing.TB, endpoints ...wire.Endpoint) *testServer {
	tb.Helper()
	return newTestServerWith(tb, func(*flow.Component, *call.Executor) {}, endpoints...)
}

// newTestServerWith is newTestServer with a function that sets fields before the start.
func newTestServerWith(tb testing.TB, set func(p *flow.Component, x *call.Executor), endpoints ...wire.Endpoint) *testServer {
	tb.Helper()
	ts := &testServer{}
	ts.flowComponent = &flow.Component{
		Trust:  alwaysTrust{},
		Keys:   &keys.Table{Entries: map[string]keys.Entry{keys.Hash(testKey): {Organisation: "Ledger", State: keys.Active}}},
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	ts.loop = &loop.Loop{State: &reduce.State{Components: []event.Part{ts.flowComponent}}, TickEvery: testTickInterval, QueueSize: 1024}
	ts.loop.Prepare()
	executor := &call.Executor{Incarnation: "test", Post: ts.loop.Post, Now: ts.loop.Now}
	set(ts.flowComponent, executor)
	executor.Prepare()
	memory := &budget.Budget{Limit: testMemory, Now: func() int64 { return ts.loop.Now().Milliseconds() }}
	server := &Server{Executor: executor, Post: ts.loop.Post, Now: ts.loop.Now, Gate: &gate.Gate{Budget: memory}}
	server.Prepare()
	ts.server = server
	ts.loop.Executors = []loop.Executor{server, executor}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = ts.loop.Run(ctx) }()
	go func() { _ = executor.Run(ctx) }()
	listener, err := server.Gate.Listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ts.url = "http://" + listener.Addr().String()
	httpServer := &http.Server{Handler: server}
	go func() { _ = server.Gate.Serve(httpServer, listener) }()
	tb.Cleanup(func() {
		cancel()
		_ = httpServer.Close()
	})
	ts.loop.Post(event.HostsChanged{Hosts: []event.Host{{}}})
	ts.loop.Post(event.ConfigInForce{Site: testSite()})
	ts.loop.Post(event.EndpointsListed{List: wire.EndpointList{Revision: 1, Endpoints: endpoints}})
	ts.await(tb, func() bool { return server.active.Load() != nil })
	return ts
}

func (ts *testServer) await(tb testing.TB, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	tb.Fatal("timed out waiting for the condition")
}

// service starts an endpoint of the plain service "lookup" with handler h.
func service(tb testing.TB, name string, h http.HandlerFunc) wire.Endpoint {
	return endpoint(tb, wire.Endpoint{Name: name, Kind: wire.Service, Service: "lookup"}, h)
}

// engine starts an engine endpoint of the model "m" with handler h.
func engine(tb testing.TB, name string, h http.HandlerFunc) wire.Endpoint {
	return endpoint(tb, wire.Endpoint{Name: name, Kind: wire.Engine, Model: "m"}, h)
}

func endpoint(tb testing.TB, e wire.Endpoint, h http.HandlerFunc) wire.Endpoint {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.PathLoad || r.URL.Path == wire.PathState {
			http.NotFound(w, r)
			return
		}
		h(w, r)
	}))
	tb.Cleanup(s.Close)
	e.Incarnation, e.State, e.Address = "1", wire.Live, strings.TrimPrefix(s.URL, "http://")
	return e
}

// deadAddress returns an address that refuses connections.
func deadAddress(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// request sends a request with testKey and returns the response, its body and the error of reading the body.
func (ts *testServer) request(tb testing.TB, method, path, body string, header http.Header) (*http.Response, string, error) {
	tb.Helper()
	req, err := http.NewRequest(method, ts.url+path, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// checkRefusal checks the kind and the run of a refusal, in the header and in the body.
func checkRefusal(tb testing.TB, resp *http.Response, body, kind, run string) {
	tb.Helper()
	var refusal Refusal
	if err := json.Unmarshal([]byte(body), &refusal); err != nil {
		tb.Fatalf("the body is not a refusal: %v: %s", err, body)
	}
	got := []string{resp.Header.Get(wire.HeaderKind), resp.Header.Get(wire.HeaderRun), string(refusal.Kind), string(refusal.Run)}
	if diff := cmp.Diff([]string{kind, run, kind, run}, got); diff != "" {
		tb.Error(diff, body)
	}
}
