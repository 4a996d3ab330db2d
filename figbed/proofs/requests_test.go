package proofs

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/servc"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// shortTimeout limits single requests and changes that take effect within seconds.
const shortTimeout = 5 * time.Second

func serviceEndpoints(n int) []proc.Endpoint {
	var endpoints []proc.Endpoint
	for i := range n {
		endpoints = append(endpoints, proc.Endpoint{Name: fmt.Sprint("s", i+1), Zone: []string{"a", "b"}[i%2]})
	}
	return endpoints
}

func engineEndpoints(n int) []proc.Endpoint {
	var endpoints []proc.Endpoint
	for i := range n {
		endpoints = append(endpoints, proc.Endpoint{Name: fmt.Sprint("e", i+1), Zone: []string{"a", "b"}[i%2]})
	}
	return endpoints
}

// waitServices waits until every daemon serves lookups.
func waitServices(t *testing.T, c *proc.Cluster) {
	t.Helper()
	for _, h := range c.Hosts {
		proc.WaitUntil(t, shortTimeout, "lookups are served by "+h.Name, func() bool { return h.Get("/open", "").Status == http.StatusOK })
	}
}

// waitEngines waits until every daemon serves generations.
func waitEngines(t *testing.T, c *proc.Cluster) {
	t.Helper()
	for _, h := range c.Hosts {
		proc.WaitUntil(t, shortTimeout, "generations are served by "+h.Name, func() bool {
			return h.Generate(c.Key("North"), wire.Generate{Prompt: "warm", MaxTokens: 1}).Complete()
		})
	}
}

// runCount returns how often a request id ran on all plain services together.
func runCount(c *proc.Cluster, id string) int {
	n := 0
	for _, r := range c.Endpoints {
		n += r.Received().Runs[id]
	}
	return n
}

// runHeader returns what the daemon's response says about whether the request ran.
func runHeader(r proc.Response) string { return r.Header.Get("X-Figshift-Run") }

func kindHeader(r proc.Response) string { return r.Header.Get("X-Figshift-Kind") }

// Callers of two organisations share a connection, send headers that name another organisation, and a key is given to
// another organisation. Endpoints must always see the organisation of the request's key, and none without a key.
func TestOwnOrganisationOnly(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 1, Services: serviceEndpoints(2)}
	c.Start(t)
	waitServices(t, c)
	h := c.Hosts[0]
	organisation := func(key string, header http.Header) string {
		req, err := http.NewRequest(http.MethodGet, h.URL()+"/lookup", nil)
		if err != nil {
			t.Fatal(err)
		}
		for name, values := range header {
			req.Header[name] = values
		}
		req.Header.Set("X-Api-Key", key)
		return c.Do(req).Echo().Organisation
	}
	const spoof = "Spoofed"
	spoofed := http.Header{
		wire.HeaderOrganisation: {spoof}, "x-figshift-organisation": {spoof},
		"X_Figshift_Organisation": {spoof}, "X-Organisation": {spoof}, "Connection": {wire.HeaderOrganisation},
	}
	// The client reuses its connections, so that the two keys alternate on the same one.
	for range 20 {
		if diff := cmp.Diff([]string{"North", "South"}, []string{organisation(c.Key("North"), spoofed), organisation(c.Key("South"), nil)}); diff != "" {
			t.Fatal(diff)
		}
	}
	open, err := http.NewRequest(http.MethodGet, h.URL()+"/open", nil)
	if err != nil {
		t.Fatal(err)
	}
	open.Header = spoofed
	if diff := cmp.Diff("", c.Do(open).Echo().Organisation); diff != "" {
		t.Error("organisation on an open route without a key:", diff)
	}
	for _, e := range c.Endpoints {
		for _, q := range e.Received().Contains(spoof) {
			t.Errorf("%s got a spoofed organisation: %+v", e.Name, q)
		}
	}
	a := h.Get("/lookup", "nobody's")
	if diff := cmp.Diff([]string{"KeyUnknown", "NotRun"}, []string{kindHeader(a), runHeader(a)}); diff != "" {
		t.Error(diff)
	}
	moved := c.Key("North")
	c.AddKey("South", moved)
	proc.WaitUntil(t, shortTimeout, "the moved key belongs to its new organisation", func() bool { return organisation(moved, nil) == "South" })
	for range 20 {
		if diff := cmp.Diff("South", organisation(moved, nil)); diff != "" {
			t.Fatal(diff)
		}
	}
}

// A request carries its key not only in X-Api-Key, but also in another header, a cookie, the query or a trailer, in
// some cases encoded. No endpoint, first or retried, may get the key, and the log must not contain it.
func TestNoKeyAtEndpoints(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{
		Daemons: 1, Services: serviceEndpoints(2), Engines: engineEndpoints(2),
		Site: func(s *config.Site) { s.Retry.BudgetShare = 1 },
	}
	c.Start(t)
	waitServices(t, c)
	waitEngines(t, c)
	key := c.Key("North")
	encodedKey := base64.StdEncoding.EncodeToString([]byte("user:" + key))
	for name, addKey := range map[string]func(*http.Request){
		"bearer":        func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) },
		"odd scheme":    func(r *http.Request) { r.Header["authorization"] = []string{"bEARER  " + key} },
		"api key":       func(r *http.Request) { r.Header["x-aPi-kEy"] = []string{key} },
		"underscore":    func(r *http.Request) { r.Header["X_Api_Key"] = []string{key} },
		"other header":  func(r *http.Request) { r.Header.Set("X-Trace", "a;"+key) },
		"cookie":        func(r *http.Request) { r.AddCookie(&http.Cookie{Name: "session", Value: key}) },
		"base64":        func(r *http.Request) { r.Header.Set("X-Basic", "Basic "+encodedKey) },
		"query":         func(r *http.Request) { r.URL.RawQuery = "api_key=" + key + "&Key=" + key + "&x=1" },
		"escaped query": func(r *http.Request) { r.URL.RawQuery = "x=" + strings.ReplaceAll(url.QueryEscape(key), "-", "%2D") },
		"trailer": func(r *http.Request) {
			r.ContentLength = -1
			r.Trailer = http.Header{"X-Api-Key": {key}, "X-Sum": {key}}
		},
	} {
		for _, path := range []string{"/lookup", "/write", wire.PathGenerate} {
			// The local endpoint refuses once, so that the retry goes to another one.
			c.Endpoints["s1"].SetServiceFaults(servc.Faults{Refuse: 1})
			c.Endpoints["e1"].SetFaults(engin.Faults{Refuse: 1})
			body := `{"Prompt":"p","MaxTokens":2}`
			req, err := http.NewRequest(http.MethodPost, c.Hosts[0].URL()+path, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Api-Key", key)
			addKey(req)
			if a := c.Do(req); a.Err != nil || a.Status != http.StatusOK {
				t.Errorf("%s %s: %d %v %s", name, path, a.Status, a.Err, a.Body)
			}
			// A successful call keeps the local endpoint from being ejected.
			clearFaults(c)
			c.Hosts[0].Post("/lookup", key, "")
			c.Hosts[0].Generate(key, wire.Generate{Prompt: "p", MaxTokens: 1})
		}
	}
	for _, e := range c.Endpoints {
		record := e.Received()
		if len(record.Requests) < 10 {
			t.Errorf("%s got only %d requests", e.Name, len(record.Requests))
		}
		for _, secret := range []string{key, encodedKey, strings.ReplaceAll(key, "-", "%2D")} {
			for _, q := range record.Contains(secret) {
				t.Errorf("%s got a key: %+v", e.Name, q)
			}
		}
	}
	if strings.Contains(c.Hosts[0].Output(), key) {
		t.Error("the log contains a key")
	}
}

func clearFaults(c *proc.Cluster) {
	for _, e := range c.Endpoints {
		if e.Name[0] == 's' {
			e.SetServiceFaults(servc.Faults{})
		} else {
			e.SetFaults(engin.Faults{})
		}
	}
}

// Engines cut or delay streams, and services answer late and out of order, under concurrent calls. Every caller must
// get its own response, complete.
func TestAnswersCompleteAndNotMixed(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 1, Engines: engineEndpoints(2), Services: serviceEndpoints(2)}
	c.Start(t)
	waitEngines(t, c)
	waitServices(t, c)
	for name, faults := range map[string]engin.Faults{
		"cut in the middle":   {Cut: 1, CutSegments: 3},
		"ended early":         {EndEarly: 1, CutSegments: 3},
		"cut before":          {CutBefore: 1},
		"failed after start":  {FailAfterStart: 1},
		"late first segments": {Hang: 1, HangMS: 300},
	} {
		t.Run(name, func(t *testing.T) {
			c.Endpoints["e1"].SetFaults(faults)
			answers := make(chan error)
			const callers = 12
			for i := range callers {
				g := wire.Generate{Prompt: fmt.Sprint(name, i), MaxTokens: 24, Seed: int64(i)}
				go func() {
					a := c.Hosts[0].Generate(c.Key([]string{"North", "South"}[i%2]), g)
					diff := cmp.Diff(engin.Tokens(g), a.Tokens())
					if !a.Complete() || diff != "" {
						answers <- fmt.Errorf("status %d, error %v, kind %s: %s", a.Status, a.Err, kindHeader(a), diff)
						return
					}
					answers <- nil
				}()
			}
			for range callers {
				if err := <-answers; err != nil {
					t.Error(err)
				}
			}
		})
	}
	t.Run("late and out of order", func(t *testing.T) {
		for _, name := range []string{"s1", "s2"} {
			c.Endpoints[name].SetServiceFaults(servc.Faults{Late: 5, LateMS: 400})
		}
		answers := make(chan string)
		const callers = 40
		for i := range callers {
			go func() {
				id := fmt.Sprint("own", i)
				echo := c.Hosts[0].Post("/lookup?Id="+id, c.Key("North"), "body "+id).Echo()
				answers <- cmp.Diff([]string{id, "body " + id}, []string{echo.ID, echo.Body})
			}()
		}
		for range callers {
			if diff := <-answers; diff != "" {
				t.Error(diff)
			}
		}
	})
}

// The only endpoint cuts every response. The caller must get an error or an unknown outcome, never a response that
// looks complete.
func TestCutAnswerIsSeen(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 1, Engines: engineEndpoints(1), Services: serviceEndpoints(1)}
	c.Start(t)
	waitEngines(t, c)
	waitServices(t, c)
	c.Endpoints["e1"].SetFaults(engin.Faults{Cut: 1000, CutSegments: 1})
	a := c.Hosts[0].Generate(c.Key("North"), wire.Generate{Prompt: "p", MaxTokens: 400})
	if a.Err == nil || a.Complete() {
		t.Errorf("a cut generation looks complete: status %d: %s", a.Status, a.Body)
	}
	c.Endpoints["s1"].SetServiceFaults(servc.Faults{CutMiddle: 1000})
	b := c.Hosts[0].Post("/write?Id=cut", c.Key("North"), "body")
	if b.Err == nil && runHeader(b) != "Unknown" {
		t.Errorf("a cut answer looks complete: status %d: %s", b.Status, b.Body)
	}
}

// Endpoints and connections fail before, during and after calls on a route that is not idempotent. Each call must run
// at most once, and one whose response says NotRun must not have run.
func TestRunHeaderMatchesExecution(t *testing.T) {
	t.Parallel()
	both := func(f servc.Faults) func(c *proc.Cluster) {
		return func(c *proc.Cluster) {
			for _, e := range c.Endpoints {
				e.SetServiceFaults(f)
			}
		}
	}
	limit := func(n int64) func(c *proc.Cluster) {
		return func(c *proc.Cluster) {
			for _, e := range c.Endpoints {
				e.Link.LimitRequests(n)
			}
		}
	}
	for name, fault := range map[string]struct {
		set  func(c *proc.Cluster)
		want string // run header of every response, "" for any correct one
		runs bool   // every call must have run
	}{
		"none":                      {set: both(servc.Faults{}), runs: true},
		"refused by one":            {set: func(c *proc.Cluster) { c.Endpoints["s1"].SetServiceFaults(servc.Faults{RefuseAll: true}) }, runs: true},
		"refused by all":            {set: both(servc.Faults{RefuseAll: true}), want: "NotRun"},
		"cut before the run":        {set: both(servc.Faults{CutBefore: 1000}), want: "Unknown"},
		"cut after the run":         {set: both(servc.Faults{CutAfter: 1000}), want: "Unknown"},
		"failed after the run":      {set: both(servc.Faults{FailAfter: 1000})},
		"failed before the run":     {set: both(servc.Faults{FailBefore: 1000})},
		"cut within the answer":     {set: both(servc.Faults{CutMiddle: 1000})},
		"no connection":             {set: func(c *proc.Cluster) { c.Endpoints["s1"].Link.Cut(); c.Endpoints["s2"].Link.Cut() }, want: "NotRun"},
		"cut before the first byte": {set: limit(0)},
		"cut within the head":       {set: limit(40)},
		"cut within the body":       {set: limit(500)},
	} {
		t.Run(name, func(t *testing.T) {
			c := &proc.Cluster{Daemons: 1, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}, {Name: "s2", Zone: "a"}}}
			c.Start(t)
			waitBothServices(t, c)
			warmConnections(c)
			fault.set(c)
			for i, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key", "", "Idempotency-Key", ""} {
				id := strings.ReplaceAll(fmt.Sprint(name, i), " ", "-")
				method, body := http.MethodPost, strings.Repeat("x", 4000)
				if i > 2 {
					method, body = http.MethodGet, ""
				}
				req, err := http.NewRequest(method, c.Hosts[0].URL()+"/write?Id="+id, strings.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Api-Key", c.Key("North"))
				if header != "" {
					req.Header.Set(header, id)
				}
				a := c.Do(req)
				checkRunHeader(t, a, runCount(c, id), fault.want, fault.runs)
				if a.Duration > shortTimeout {
					t.Errorf("answered after %v", a.Duration)
				}
			}
		})
	}
}

// waitBothServices waits until both services serve lookups, also after an ejection.
func waitBothServices(t *testing.T, c *proc.Cluster) {
	t.Helper()
	proc.WaitUntil(t, 4*shortTimeout, "both services serve", func() bool {
		names := map[string]bool{}
		for range 10 {
			for _, h := range c.Hosts {
				names[h.Post("/lookup", c.Key("North"), "").Echo().Service] = true
			}
		}
		return names["s1"] && names["s2"]
	})
}

// warmConnections makes the daemon open connections to the services that stay idle for the calls to come.
func warmConnections(c *proc.Cluster) {
	const calls = 16
	var warm sync.WaitGroup
	for range calls {
		warm.Go(func() { c.Hosts[0].Get("/write?DelayMS=50&Id=warm", c.Key("North")) })
	}
	warm.Wait()
}

func checkRunHeader(t *testing.T, r proc.Response, runs int, want string, mustRun bool) {
	t.Helper()
	if runs > 1 {
		t.Errorf("ran %d times", runs)
	}
	if runHeader(r) == "NotRun" && runs != 0 {
		t.Errorf("kind %s: the answer says NotRun, but the call ran", kindHeader(r))
	}
	if want != "" && runHeader(r) != want && kindHeader(r) != "NoEndpoint" {
		t.Errorf("status %d, kind %s: run header %q, want %q (%v)", r.Status, kindHeader(r), runHeader(r), want, r.Err)
	}
	if mustRun && (r.Status != http.StatusOK || runs != 1) {
		t.Errorf("status %d, kind %s, %d runs", r.Status, kindHeader(r), runs)
	}
}
