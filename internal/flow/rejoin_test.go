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

// A host that had just started took a stream up again while it knew no endpoint yet. Whether such a call is bound to the version
// that began its stream was decided by the endpoints that were listed just then, so the stream went on at any version.
func TestStreamIsBoundWhileNoEndpointIsKnown(t *testing.T) {
	v1, v2 := softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2")
	cases := map[string]struct {
		class    config.Class
		resumes  string
		asks     bool // other hosts can be asked, and none of them knows the stream
		cutOff   bool // the host passes its calls on
		later    []wire.Endpoint
		endpoint string
		kind     kinds.Kind
	}{
		"background":                       {config.Background, "elsewhere", false, false, []wire.Endpoint{v2}, "", kinds.StreamUnresumable},
		"background, asks":                 {config.Background, "elsewhere", true, false, []wire.Endpoint{v2}, "", kinds.StreamUnresumable},
		"interactive":                      {config.Interactive, "elsewhere", true, false, []wire.Endpoint{v2}, "", kinds.StreamUnresumable},
		"not named":                        {config.Background, "", false, false, []wire.Endpoint{v2}, "", kinds.StreamUnresumable},
		"passed on":                        {config.Interactive, "elsewhere", false, true, nil, "", kinds.StreamUnresumable},
		"of the other version":             {config.Background, "first", false, false, []wire.Endpoint{v2}, "", kinds.StreamUnresumable},
		"of a version that is listed next": {config.Background, "first", false, false, []wire.Endpoint{v2, v1}, "", kinds.StreamUnresumable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, origins := newStreamRig()
			origins.asks = c.asks
			if c.cutOff {
				g.component.Links = &fakeLinks{cutOff: true, relays: []string{"h2"}}
			}
			site := rigSite()
			site.Routes["Stream"] = config.Route{Name: "Stream", Prefix: "/stream", Service: "s", Streaming: true, Class: c.class}
			g.step(event.ConfigInForce{Site: site})
			effects := g.step(resumed(1, c.resumes))
			if c.asks {
				effects = append(effects, g.step(event.StreamSought{Organisation: "Ledger", ID: c.resumes})...)
			}
			effects = append(effects, g.list(c.later...)...)
			effects = append(effects, g.advance(time.Second)...)
			if started := effectsOf[event.StartAttempt](effects); len(started) > 0 {
				t.Errorf("the stream goes on at %+v", started)
			}
			wantAnswers(t, effects, c.kind)
		})
	}
}

// Endpoints that tell no software version were taken for one version, also when the stream began at an endpoint that tells one,
// or when their versions became known while the call waited.
func TestStreamAtEndpointsWithoutAVersion(t *testing.T) {
	plain := rigEndpoint("a")
	cases := map[string]struct {
		resumes string
		busy    bool
		later   []wire.Endpoint
		want    string
		kind    kinds.Kind
	}{
		"goes on":                   {"other", false, nil, "a", ""},
		"began at a version":        {"first", false, nil, "", kinds.StreamUnresumable},
		"waits":                     {"other", true, []wire.Endpoint{plain, rigEndpoint("b")}, "b", ""},
		"their version is told":     {"other", true, []wire.Endpoint{softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2")}, "", kinds.StreamUnresumable},
		"others have a version":     {"other", true, []wire.Endpoint{plain, softwareEndpoint("b", "v2")}, "", ""},
		"the origin is asked for":   {"asked", false, nil, "a", ""},
		"asked, began at a version": {"asked first", false, nil, "", kinds.StreamUnresumable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, origins := newStreamRig(plain)
			if c.busy {
				requireStarted(t, g.step(resumed(1, "other")))
			}
			origins.asks = c.resumes == "asked" || c.resumes == "asked first"
			effects := g.step(resumed(2, c.resumes))
			if origins.asks {
				if c.kind != "" {
					origins.known[origin.Stream{Organisation: "Ledger", ID: c.resumes}] = origin.Origin{Service: "s", Software: "v1"}
				}
				effects = append(effects, g.step(event.StreamSought{Organisation: "Ledger", ID: c.resumes})...)
			}
			if c.later != nil {
				effects = append(effects, g.list(c.later...)...)
			}
			var got []string
			for _, s := range effectsOf[event.StartAttempt](effects) {
				got = append(got, s.Endpoint)
			}
			var want []string
			if c.want != "" {
				want = []string{c.want}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("endpoints (-want +got):\n%s", diff)
			}
			if c.kind != "" {
				wantAnswers(t, effects, c.kind)
			}
		})
	}
}

// A host whose list of endpoints was old, and told no versions yet, took a stream up that had begun at a version through another host,
// from which no answer came.
func TestUnknownStreamIsRefusedWhileOtherHostsDoNotAnswer(t *testing.T) {
	cases := map[string]struct {
		crowd, asks, unsure bool
		kind                kinds.Kind
	}{
		"alone":                           {false, false, false, ""},
		"nobody is alive":                 {true, false, false, kinds.StreamUnresumable},
		"one does not answer":             {true, true, true, kinds.StreamUnresumable},
		"all say that they don't know it": {true, true, false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, origins := newStreamRig(rigEndpoint("a"))
			origins.crowd, origins.asks = c.crowd, c.asks
			effects := g.step(resumed(1, "elsewhere"))
			if c.asks {
				effects = append(effects, g.step(event.StreamSought{Organisation: "Ledger", ID: "elsewhere", Unsure: c.unsure})...)
			}
			if c.kind != "" {
				wantAnswers(t, effects, c.kind)
				return
			}
			requireStarted(t, effects)
		})
	}
}

// A host of an earlier version passed on a call that takes a stream up again without saying which software version began it, and
// the receiver sent it to any.
func TestPassedStreamIsBoundByTheReceiver(t *testing.T) {
	cases := map[string]struct {
		resumes string
		want    string
		kind    kinds.Kind
	}{
		"known":   {"first", "a", ""},
		"unknown": {"elsewhere", "", kinds.StreamUnresumable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, _ := newStreamRig(softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2"), softwareEndpoint("c", "v2"))
			effects := g.step(event.RequestArrived{
				Request: 1, ID: "again", Path: "/stream", Own: true, Organisation: "Ledger", Class: config.Interactive, LastEvent: "5", Resumes: c.resumes,
				Deadline: time.Minute, Tokens: 10, Pass: &wire.PassTerms{Service: "s", Class: "Interactive", Streaming: true, Resumes: c.resumes},
			})
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
