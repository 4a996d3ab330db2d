package serve

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/flow"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/wire"
)

// cutLinks are the links of a host that reaches endpoints only through another one.
type cutLinks struct{ reach.Unbroken }

func (cutLinks) CutOff(time.Duration) bool     { return true }
func (cutLinks) Relays(time.Duration) []string { return []string{"other"} }

// oneRelay finds the only other host.
type oneRelay struct{ address string }

func (r oneRelay) Address(string) string { return r.address }

// A request that a host passes on must get what it would get from the endpoint, with the same truth about its run, and its
// key must not leave the host.
func TestPassedCallGetsTheEndpointsAnswer(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole answer"
	cases := map[string]struct {
		endpoint http.HandlerFunc
		secret   string // of the other host
		gone     bool   // the other host is not reached
		status   int    // 0 for an answer that is not whole
		run      string
		body     string
	}{
		"Answer": {endpoint: func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.Header.Get(wire.HeaderOrganisation)+" "+r.URL.RequestURI())
		}, status: 200, body: "Ledger /order/a%2Fb?q=1"},
		"OwnError": {endpoint: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, status: 500},
		"NotFound": {endpoint: http.NotFound, status: 404, body: "404 page not found\n"},
		"RefusesToRun": {endpoint: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, status: 503, run: string(kinds.NotRun)},
		"Unframed":       {endpoint: answerRaw(unframed, false), status: 200, body: "whole answer"},
		"UnframedAndCut": {endpoint: answerRaw(unframed, true)},
		"Cut":            {endpoint: answerRaw("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart", false)},
		"Breaks":         {endpoint: answerRaw("", false), status: 502, run: string(kinds.Unknown)},
		"HostGone":       {endpoint: http.NotFound, gone: true, status: 503, run: string(kinds.NotRun)},
		"OtherSecret":    {endpoint: http.NotFound, secret: "other", status: 503, run: string(kinds.NotRun)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			e := service(t, "e", func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				c.endpoint(w, r)
			})
			other := newTestServerWith(t, func(_ *flow.Component, x *call.Executor) { x.Secret = "secret" + c.secret }, e)
			var keySeen atomic.Bool
			hostAPI := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				keySeen.Store(keySeen.Load() || bytes.Contains(body, []byte(testKey)))
				r.Body = io.NopCloser(bytes.NewReader(body))
				other.server.ServePassed(w, r)
			}))
			t.Cleanup(hostAPI.Close)
			if c.gone {
				hostAPI.Close()
			}
			ts := newTestServerWith(t, func(p *flow.Component, x *call.Executor) {
				p.Links, x.Relays, x.Secret = cutLinks{}, oneRelay{strings.TrimPrefix(hostAPI.URL, "http://")}, "secret"
			})
			req, err := http.NewRequest(http.MethodPost, ts.url+"/order/a%2Fb?q=1", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			status, body, run := 0, []byte(nil), ""
			if resp, err := http.DefaultClient.Do(req); err == nil {
				defer func() { _ = resp.Body.Close() }()
				run = resp.Header.Get(wire.HeaderRun)
				if body, err = io.ReadAll(resp.Body); err == nil {
					status = resp.StatusCode
				}
			}
			if status != c.status || run != c.run {
				t.Errorf("status %d, run %q; want %d, %q", status, run, c.status, c.run)
			}
			if diff := cmp.Diff(c.body, string(body)); diff != "" && c.status != 0 && c.run == "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if runs.Load() > 1 && c.run != string(kinds.NotRun) {
				t.Errorf("the call reached endpoints %d times", runs.Load())
			}
			if keySeen.Load() {
				t.Error("the key was passed on")
			}
		})
	}
}

// A host must refuse what is no call of another host, before anything runs.
func TestMalformedPassedCalls(t *testing.T) {
	ts := newTestServerWith(t, func(_ *flow.Component, x *call.Executor) { x.Secret = "secret" }, service(t, "e", func(http.ResponseWriter, *http.Request) {
		t.Error("a malformed call ran")
	}))
	hostAPI := httptest.NewServer(http.HandlerFunc(ts.server.ServePassed))
	t.Cleanup(hostAPI.Close)
	for name, c := range map[string]struct {
		secret, body string
		status       int
	}{
		"WithoutSecret": {"", "", http.StatusForbidden}, "Empty": {"secret", "", http.StatusBadRequest},
		"NoMsgpack": {"secret", "GET / HTTP/1.1", http.StatusBadRequest}, "NoDeadline": {"secret", "\x80", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, hostAPI.URL+wire.PathPass, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Figshift-Secret", c.secret)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}
