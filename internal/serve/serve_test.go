package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/wire"
)

func TestPlainAnswer(t *testing.T) {
	ts := newTestServer(t, service(t, "a", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Own", "yes")
		fmt.Fprintf(w, "%s %s %s", r.URL, r.Header.Get(wire.HeaderOrganisation), body)
	}))
	resp, body, err := ts.request(t, http.MethodPost, "/lookup/author?name=x", "question", nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("/lookup/author?name=x Ledger question", body); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("yes", resp.Header.Get("X-Own")); diff != "" {
		t.Error(diff)
	}
}

func TestRefusals(t *testing.T) {
	ts := newTestServer(t, service(t, "a", func(http.ResponseWriter, *http.Request) {}))
	for name, c := range map[string]struct {
		path   string
		header http.Header
		body   string
		kind   string
	}{
		"no key":       {path: "/lookup", header: http.Header{"Authorization": nil}, kind: "KeyMissing"},
		"unknown key":  {path: "/lookup", header: http.Header{"Authorization": {"Bearer other"}}, kind: "KeyUnknown"},
		"two keys":     {path: "/lookup", header: http.Header{"X-Api-Key": {"other"}}, kind: "BadRequest"},
		"no route":     {path: "/nowhere", kind: "RouteUnknown"},
		"no boundary":  {path: "/lookups", kind: "RouteUnknown"},
		"dot segments": {path: "/public/%2e%2e/lookup", header: http.Header{"Authorization": nil}, kind: "BadRequest"},
		"no engine":    {path: "/draft", body: `{"Prompt":"p","MaxTokens":1}`, kind: "NoEndpoint"},
		"bad generate": {path: "/draft", body: `{`, kind: "BadRequest"},
		"key in body":  {path: "/lookup", body: "k=" + testKey, kind: "BadRequest"},
		"key in path":  {path: "/lookup/" + testKey, kind: "BadRequest"},
		"bad timeout":  {path: "/lookup", header: http.Header{"X-Timeout-Ms": {"-1"}}, kind: "BadRequest"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body, err := ts.request(t, http.MethodPost, c.path, c.body, c.header)
			if err != nil {
				t.Fatal(err)
			}
			checkRefusal(t, resp, body, c.kind, "NotRun")
		})
	}
}

// writeSegments streams the tokens of the positions from to end-1, one in each segment.
func writeSegments(w http.ResponseWriter, from, end int, version uint64) {
	enc := json.NewEncoder(w)
	for i := from; i < end; i++ {
		_ = enc.Encode(wire.Segment{Tokens: []string{fmt.Sprint("t", i)}, Version: version})
		w.(http.Flusher).Flush()
	}
}

func TestCutStreamResumes(t *testing.T) {
	const total, cutAt = 6, 3
	var calls atomic.Int32
	h := func(w http.ResponseWriter, r *http.Request) {
		var generate wire.Generate
		_ = json.NewDecoder(r.Body).Decode(&generate)
		if calls.Add(1) == 1 {
			writeSegments(w, 0, cutAt, 1)
			panic(http.ErrAbortHandler)
		}
		writeSegments(w, len(generate.Held), total, 2)
		_ = json.NewEncoder(w).Encode(wire.Segment{Done: true, PromptTokens: 1, GeneratedTokens: total - len(generate.Held)})
	}
	ts := newTestServer(t, engine(t, "a", h), engine(t, "b", h))
	_, body, err := ts.request(t, http.MethodPost, "/draft", `{"Prompt":"p","MaxTokens":6}`, nil)
	if err != nil {
		t.Fatal(err)
	}
	var tokens []string
	var last wire.Segment
	for line := range strings.Lines(body) {
		last = wire.Segment{}
		if err := json.Unmarshal([]byte(line), &last); err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, last.Tokens...)
	}
	if diff := cmp.Diff([]string{"t0", "t1", "t2", "t3", "t4", "t5"}, tokens); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(wire.Segment{Done: true, PromptTokens: 1, GeneratedTokens: total}, last); diff != "" {
		t.Error(diff)
	}
}

func TestCutStreamIsSeen(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"aborted":     func(w http.ResponseWriter, _ *http.Request) { writeSegments(w, 0, 2, 1); panic(http.ErrAbortHandler) },
		"ended early": func(w http.ResponseWriter, _ *http.Request) { writeSegments(w, 0, 2, 1) },
		"engine error": func(w http.ResponseWriter, _ *http.Request) {
			writeSegments(w, 0, 2, 1)
			_, _ = w.Write([]byte("{\"Error\":\"x\"}\n"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, engine(t, "a", h))
			_, body, err := ts.request(t, http.MethodPost, "/draft", `{"Prompt":"p","MaxTokens":6}`, nil)
			if err == nil {
				t.Error("the response ended without an error")
			}
			if strings.Contains(body, `"Done":true`) || !strings.Contains(body, `"Error":"StreamCut"`) {
				t.Error(body)
			}
		})
	}
}

func TestNonIdempotentOnce(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fail := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "broken", http.StatusInternalServerError) }
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, "no", http.StatusServiceUnavailable)
	}
	for name, c := range map[string]struct {
		h      http.HandlerFunc
		calls  int
		kind   string
		run    string
		header http.Header
	}{
		"cut":                        {h: abort, calls: 1, kind: "OutcomeUnknown", run: "Unknown"},
		"cut with idempotency key":   {h: abort, calls: 1, kind: "OutcomeUnknown", run: "Unknown", header: http.Header{"Idempotency-Key": {"k"}}},
		"refused":                    {h: refuse, calls: 3, kind: "EndpointRefused", run: "NotRun"},
		"failed after start":         {h: fail, calls: 1},
		"failed with idempotent key": {h: fail, calls: 1, header: http.Header{"X-Idempotency-Key": {"k"}}},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			calls := 0
			h := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				calls++
				mu.Unlock()
				c.h(w, r)
			}
			ts := newTestServer(t, service(t, "a", h), service(t, "b", h), service(t, "c", h))
			resp, body, err := ts.request(t, http.MethodPost, "/order", "one", c.header)
			if err != nil {
				t.Fatal(err)
			}
			mu.Lock()
			defer mu.Unlock()
			if diff := cmp.Diff(c.calls, calls); diff != "" {
				t.Error(diff)
			}
			if c.kind == "" {
				if diff := cmp.Diff(http.StatusInternalServerError, resp.StatusCode); diff != "" {
					t.Error(diff)
				}
				return
			}
			checkRefusal(t, resp, body, c.kind, c.run)
		})
	}
}

func TestDeadEndpointIsNotRun(t *testing.T) {
	dead := wire.Endpoint{Name: "a", Kind: wire.Service, Service: "lookup", State: wire.Live, Incarnation: "1", Address: deadAddress(t)}
	ts := newTestServer(t, dead)
	resp, body, err := ts.request(t, http.MethodPost, "/order", "one", nil)
	if err != nil {
		t.Fatal(err)
	}
	checkRefusal(t, resp, body, "EndpointRefused", "NotRun")
}

func TestNoKeyAtEndpoint(t *testing.T) {
	seen := make(chan string, 1)
	ts := newTestServer(t, service(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen <- fmt.Sprint(r.Method, r.RequestURI, r.Header, r.Trailer, string(body))
	}))
	for name, c := range map[string]struct {
		path   string
		header http.Header
	}{
		"bearer":          {path: "/lookup"},
		"odd scheme":      {path: "/lookup", header: http.Header{"Authorization": {"bEaReR " + testKey}}},
		"both":            {path: "/lookup", header: http.Header{"X-Api-Key": {testKey}}},
		"odd case":        {path: "/lookup", header: http.Header{"x-aPI-key": {testKey}}},
		"another header":  {path: "/lookup", header: http.Header{"X-Other": {"a " + testKey}, "Cookie": {"k=" + testKey}}},
		"underscore":      {path: "/lookup", header: http.Header{"X_Api_Key": {"second"}}},
		"base64":          {path: "/lookup", header: http.Header{"X-Basic": {"Basic dTpmcy10ZXN0LWtleS0wMTIzNDU2Nzg5"}}},
		"query":           {path: "/lookup?api_key=" + testKey + "&key=" + testKey + "&Access_Token=" + testKey},
		"escaped query":   {path: "/lookup?key=fs%2Dtest%2Dkey%2D0123456789&x=1"},
		"key as name":     {path: "/lookup?" + testKey},
		"connection name": {path: "/lookup", header: http.Header{"Connection": {"X-Hop"}, "X-Hop": {"hop"}}},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := ts.request(t, http.MethodGet, c.path, "", c.header); err != nil {
				t.Fatal(err)
			}
			got := <-seen
			for _, secret := range []string{testKey, "fs%2Dtest", "second", "dTpmcy10", "hop", "Authorization"} {
				if strings.Contains(got, secret) {
					t.Error(secret, got)
				}
			}
		})
	}
}

func TestSpoofedOrganisation(t *testing.T) {
	seen := make(chan http.Header, 1)
	ts := newTestServer(t, service(t, "a", func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header }))
	header := http.Header{
		"X-Figshift-Organisation": {"Other"}, "x_figshift_organisation": {"Other"},
		"X-Organization": {"Other"}, "X-Figshift-Attempt": {"Other"},
	}
	if _, _, err := ts.request(t, http.MethodGet, "/lookup", "", header); err != nil {
		t.Fatal(err)
	}
	got := <-seen
	if diff := cmp.Diff([]string{"Ledger"}, got.Values(wire.HeaderOrganisation)); diff != "" {
		t.Error(diff)
	}
	if strings.Contains(fmt.Sprint(got), "Other") {
		t.Error(got)
	}
}

// Callers' paths reached the endpoints escaped anew, or without what followed a "#".
func TestPathReachesTheEndpointAsItIs(t *testing.T) {
	seen := make(chan string, 1)
	ts := newTestServer(t, service(t, "a", func(_ http.ResponseWriter, r *http.Request) { seen <- r.RequestURI }))
	for _, target := range []string{"/lookup/a%2Fb", "/lookup/a|b", `/lookup/{"a"}?x=1`, "/lookup/a^`b\\<c>", "/lookup/\u00e9", "/lookup/a#b"} {
		req, err := conns.NewRequest(context.Background(), http.MethodGet, strings.TrimPrefix(ts.url, "http://"), target)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", target, resp.StatusCode)
		} else if diff := cmp.Diff(target, <-seen); diff != "" {
			t.Errorf("target (-want +got):\n%s", diff)
		}
	}
}
