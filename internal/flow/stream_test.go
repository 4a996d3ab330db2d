package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/origin"
	"github.com/figshift/figshift/internal/wire"
)

// fakeOrigins is an origin.Memory of which the test decides what it knows.
type fakeOrigins struct {
	known map[origin.Stream]origin.Origin
	asks  bool // other hosts can be asked
	crowd bool // there are other hosts
}

func (f *fakeOrigins) Began(_ time.Duration, s origin.Stream, at origin.Origin, _ *event.Batch) {
	f.known[s] = at
}

func (f *fakeOrigins) Lookup(_ time.Duration, s origin.Stream) (origin.Origin, bool) {
	at, ok := f.known[s]
	return at, ok
}

func (f *fakeOrigins) Alone() bool { return !f.crowd }

func (f *fakeOrigins) Seek(time.Duration, origin.Stream, *event.Batch) bool { return f.asks }

func softwareEndpoint(name, software string) wire.Endpoint {
	e := rigEndpoint(name)
	e.Software = software
	return e
}

func newStreamRig(endpoints ...wire.Endpoint) (*rig, *fakeOrigins) {
	origins := &fakeOrigins{known: map[origin.Stream]origin.Origin{{Organisation: "Ledger", ID: "first"}: {Service: "s", Software: "v1"}}}
	g := newRig()
	g.component.Origins = origins
	site := rigSite()
	site.Routes["Stream"] = config.Route{Name: "Stream", Prefix: "/stream", Service: "s", Streaming: true}
	g.step(event.ConfigInForce{Site: site})
	g.list(endpoints...)
	return g, origins
}

func resumed(request uint64, resumes string) event.RequestArrived {
	a := arrival(request, "Ledger", "/stream")
	a.ID, a.LastEvent, a.Resumes = "again", "5", resumes
	return a
}

// A caller's stream was taken up at endpoints of another software version than the one that began it.
func TestResumedStreamKeepsItsSoftware(t *testing.T) {
	leaving := softwareEndpoint("a", "v1")
	leaving.State = wire.Leaving
	cases := map[string]struct {
		endpoints []wire.Endpoint
		resumes   string
		busy      bool // the only endpoint of the version has no room
		want      string
		kind      kinds.Kind
	}{
		"SameVersion":         {[]wire.Endpoint{softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2"), softwareEndpoint("c", "v2")}, "first", false, "a", ""},
		"NoneOfThatVersion":   {[]wire.Endpoint{softwareEndpoint("b", "v2"), softwareEndpoint("c", "v2")}, "first", false, "", kinds.StreamUnresumable},
		"LastOneLeaves":       {[]wire.Endpoint{leaving, softwareEndpoint("b", "v2")}, "first", false, "", kinds.StreamUnresumable},
		"NoRoom":              {[]wire.Endpoint{softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2")}, "first", true, "", kinds.StreamUnresumable},
		"UnknownStream":       {[]wire.Endpoint{softwareEndpoint("a", "v1")}, "other", false, "", kinds.StreamUnresumable},
		"StreamNotNamed":      {[]wire.Endpoint{softwareEndpoint("a", "v1")}, "", false, "", kinds.StreamUnresumable},
		"ServiceWithoutAny":   {[]wire.Endpoint{rigEndpoint("a")}, "other", false, "a", ""},
		"VersionReturnsToOld": {[]wire.Endpoint{softwareEndpoint("a", "v2"), softwareEndpoint("b", "v1")}, "first", false, "b", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, _ := newStreamRig(c.endpoints...)
			if c.busy {
				first := resumed(1, "first")
				requireStarted(t, g.step(first))
			}
			effects := g.step(resumed(2, c.resumes))
			if c.kind != "" {
				wantAnswers(t, effects, c.kind)
				return
			}
			if diff := cmp.Diff(c.want, requireStarted(t, effects).Endpoint); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A caller that returned to another host than the one that began its stream went on at any endpoint.
func TestResumedStreamWaitsForItsOrigin(t *testing.T) {
	for name, known := range map[string]bool{"Found": true, "NotFound": false} {
		t.Run(name, func(t *testing.T) {
			g, origins := newStreamRig(softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2"))
			origins.asks = true
			effects := g.step(resumed(1, "elsewhere"))
			if len(effectsOf[event.StartAttempt](effects)) > 0 || len(effectsOf[event.AnswerRequest](effects)) > 0 {
				t.Fatal("the request did not wait for the origin of its stream")
			}
			if known {
				origins.known[origin.Stream{Organisation: "Ledger", ID: "elsewhere"}] = origin.Origin{Service: "s", Software: "v2"}
			}
			effects = g.step(event.StreamSought{Organisation: "Ledger", ID: "elsewhere"})
			if !known {
				wantAnswers(t, effects, kinds.StreamUnresumable)
				return
			}
			if s := requireStarted(t, effects); s.Endpoint != "b" {
				t.Errorf("the stream goes on at %s, want b", s.Endpoint)
			}
		})
	}
}

// The version of a stream must be that of the endpoint whose first event is passed on, and each part that is taken up again
// must count for the stream's first attempt.
func TestFirstEventBindsAStream(t *testing.T) {
	g, origins := newStreamRig(softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2"), softwareEndpoint("c", "v2"))
	a := arrival(1, "Ledger", "/stream")
	a.ID = "new"
	s := g.startRunning(t, a)
	if _, ok := origins.known[origin.Stream{Organisation: "Ledger", ID: "new"}]; ok {
		t.Error("a stream without an event is bound")
	}
	g.step(event.StreamBegan{Request: s.Request, Attempt: s.Attempt})
	again := resumed(2, "first")
	s = g.startRunning(t, again)
	g.step(event.StreamBegan{Request: s.Request, Attempt: s.Attempt})
	want := map[origin.Stream]origin.Origin{
		{Organisation: "Ledger", ID: "new"}:   {Service: "s", Software: "v2"},
		{Organisation: "Ledger", ID: "first"}: {Service: "s", Software: "v1"},
	}
	if diff := cmp.Diff(want, origins.known); diff != "" {
		t.Error(diff)
	}
}

// A generation whose answer had begun was resumed at an engine of another software version.
func TestGenerationKeepsItsSoftware(t *testing.T) {
	engine := func(name, software string) wire.Endpoint {
		return wire.Endpoint{Name: name, Incarnation: "1", Kind: wire.Engine, Model: "m", Software: software, State: wire.Live, Zone: "z1"}
	}
	cases := map[string]struct {
		begun bool
		left  []wire.Endpoint
		want  string
		kind  kinds.Kind
	}{
		"Begun":        {true, []wire.Endpoint{engine("b", "v2"), engine("c", "v1")}, "c", ""},
		"NotBegun":     {false, []wire.Endpoint{engine("b", "v2")}, "b", ""},
		"NoneToGoOnAt": {true, []wire.Endpoint{engine("b", "v2")}, "", kinds.StreamCut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			site := rigSite()
			site.Routes["Generate"] = config.Route{Name: "Generate", Prefix: "/generate", Model: "m", Idempotent: true}
			g.step(event.ConfigInForce{Site: site})
			g.list(engine("a", "v1"))
			request := arrival(1, "Ledger", "/generate")
			request.Generation = true
			s := g.startRunning(t, request)
			g.list(c.left...)
			done := attemptDone(s, kinds.Unknown, event.ReasonCut)
			done.Begun, done.CanResume = c.begun, true
			effects := g.step(done)
			effects = append(effects, g.advance(time.Second)...)
			if c.kind != "" {
				wantAnswers(t, effects, c.kind)
				return
			}
			if diff := cmp.Diff(c.want, requireStarted(t, effects).Endpoint); diff != "" {
				t.Error(diff)
			}
		})
	}
}
