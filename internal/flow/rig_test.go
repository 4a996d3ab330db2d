package flow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

// fakeTrust is an event.Trust that trusts the authority until a time that the test sets.
type fakeTrust struct{ until time.Duration }

func (e *fakeTrust) Trusted(now time.Duration) (time.Duration, bool) { return e.until, now < e.until }

func (e *fakeTrust) Holds(string, time.Duration) (time.Duration, uint64, bool) { return 0, 0, false }

// rig steps a Component in virtual time.
type rig struct {
	trust     *fakeTrust
	keys      *keys.Table
	component *Component
	state     *reduce.State
	now       time.Duration
}

const initialTrust = time.Hour // time until which the authority is trusted at first

func newRig() *rig {
	g := &rig{trust: &fakeTrust{until: initialTrust}, keys: &keys.Table{Entries: map[string]keys.Entry{}}}
	for _, name := range []string{"Ledger", "Andina"} {
		g.keys.Entries[name] = keys.Entry{Organisation: name, State: keys.Active}
	}
	g.component = &Component{Host: "h1", Zone: "z1", Trust: g.trust, Keys: g.keys, Random: rand.New(rand.NewPCG(1, 2))}
	g.state = &reduce.State{Components: []event.Part{g.component}}
	g.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1"}}})
	g.step(event.ConfigInForce{Site: rigSite()})
	g.step(event.EndpointsListed{List: wire.EndpointList{Endpoints: []wire.Endpoint{rigEndpoint("a"), rigEndpoint("b")}}})
	return g
}

func rigSite() *config.Site {
	site := config.Defaults()
	site.Organisations["Ledger"] = config.Organisation{Name: "Ledger", Weight: 1}
	site.Organisations["Andina"] = config.Organisation{Name: "Andina", Weight: 1}
	site.Routes["Lookup"] = config.Route{Name: "Lookup", Prefix: "/lookup", Service: "s", Idempotent: true}
	site.Routes["Order"] = config.Route{Name: "Order", Prefix: "/order", Service: "s"}
	site.Routes["Reconcile"] = config.Route{Name: "Reconcile", Prefix: "/reconcile", Service: "s", Class: config.Background, Idempotent: true}
	site.Routes["Public"] = config.Route{Name: "Public", Prefix: "/public", Service: "s", Open: true, Idempotent: true}
	site.Limits.ConcurrencyPerNode = 1
	site.Limits.QueuePerOrg = 4
	site.Limits.QueuePerDaemon = 6
	return site
}

func rigEndpoint(name string) wire.Endpoint {
	return wire.Endpoint{Name: name, Incarnation: "1", Kind: wire.Service, Service: "s", State: wire.Live, Zone: "z1", Price: wire.OnDemand}
}

func (g *rig) step(ev event.Event) []event.Effect {
	g.now += time.Millisecond
	return g.state.Step(g.now, ev)
}

// advance moves the clock and steps one tick.
func (g *rig) advance(d time.Duration) []event.Effect {
	g.now += d
	return g.step(event.Tick{})
}

func arrival(request uint64, key, path string) event.RequestArrived {
	return event.RequestArrived{Request: request, KeyHash: key, Path: path, Tokens: 10}
}

// effectsOf returns the effects of type E.
func effectsOf[E event.Effect](effects []event.Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// requireStarted returns the single attempt that effects start.
func requireStarted(tb testing.TB, effects []event.Effect) event.StartAttempt {
	tb.Helper()
	all := effectsOf[event.StartAttempt](effects)
	if len(all) != 1 {
		tb.Fatalf("%d attempts started, want 1", len(all))
	}
	return all[0]
}

// wantAnswers checks the kinds of the answers, in the order of the effects.
func wantAnswers(tb testing.TB, effects []event.Effect, want ...kinds.Kind) {
	tb.Helper()
	var got []kinds.Kind
	for _, a := range effectsOf[event.AnswerRequest](effects) {
		got = append(got, a.Kind)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		tb.Error(diff)
	}
}

// startRunning starts a request and lets its attempt write.
func (g *rig) startRunning(tb testing.TB, a event.RequestArrived) event.StartAttempt {
	tb.Helper()
	s := requireStarted(tb, g.step(a))
	sent := effectsOf[event.SendAttempt](g.step(event.AttemptConnected{Request: s.Request, Attempt: s.Attempt}))
	if len(sent) != 1 {
		tb.Fatalf("%d attempts allowed to write, want 1", len(sent))
	}
	return s
}

func attemptDone(s event.StartAttempt, run kinds.Run, reason string) event.AttemptDone {
	return event.AttemptDone{Request: s.Request, Attempt: s.Attempt, Run: run, Reason: reason, Whole: reason == ""}
}

func (g *rig) list(endpoints ...wire.Endpoint) []event.Effect {
	return g.step(event.EndpointsListed{List: wire.EndpointList{Endpoints: slices.Clone(endpoints)}})
}
