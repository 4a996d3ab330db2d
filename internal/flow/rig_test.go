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

// evidence is trusted until a time that the test sets.
type evidence struct{ until time.Duration }

func (e *evidence) Trusted(now time.Duration) (time.Duration, bool) { return e.until, now < e.until }

func (e *evidence) Holds(string, time.Duration) (time.Duration, uint64, bool) { return 0, 0, false }

// rig steps a Part by hand.
type rig struct {
	trust *evidence
	keys  *keys.Table
	part  *Part
	state *reduce.State
	now   time.Duration
}

const farAhead = time.Hour

func newRig() *rig {
	g := &rig{trust: &evidence{until: farAhead}, keys: &keys.Table{Entries: map[string]keys.Entry{}}}
	for _, name := range []string{"Ledger", "Andina"} {
		g.keys.Entries[name] = keys.Entry{Organisation: name, State: keys.Active}
	}
	g.part = &Part{Host: "h1", Zone: "z1", Trust: g.trust, Keys: g.keys, Random: rand.New(rand.NewPCG(1, 2))}
	g.state = &reduce.State{Parts: []event.Part{g.part}}
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

// after lets time pass up to one tick.
func (g *rig) after(d time.Duration) []event.Effect {
	g.now += d
	return g.step(event.Tick{})
}

func arrival(request uint64, key, path string) event.RequestArrived {
	return event.RequestArrived{Request: request, KeyHash: key, Path: path, Tokens: 10}
}

func pick[E event.Effect](effects []event.Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// started returns the one attempt that effects start.
func started(tb testing.TB, effects []event.Effect) event.StartAttempt {
	tb.Helper()
	all := pick[event.StartAttempt](effects)
	if len(all) != 1 {
		tb.Fatalf("%d attempts started", len(all))
	}
	return all[0]
}

// wantAnswers checks the kinds of the answers in the order of the requests.
func wantAnswers(tb testing.TB, effects []event.Effect, want ...kinds.Kind) {
	tb.Helper()
	var got []kinds.Kind
	for _, a := range pick[event.AnswerRequest](effects) {
		got = append(got, a.Kind)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		tb.Error(diff)
	}
}

// run starts a request and lets its attempt write.
func (g *rig) run(tb testing.TB, a event.RequestArrived) event.StartAttempt {
	tb.Helper()
	s := started(tb, g.step(a))
	sent := pick[event.SendAttempt](g.step(event.AttemptConnected{Request: s.Request, Attempt: s.Attempt}))
	if len(sent) != 1 {
		tb.Fatalf("%d attempts let to write", len(sent))
	}
	return s
}

func done(s event.StartAttempt, run kinds.Run, reason string) event.AttemptDone {
	return event.AttemptDone{Request: s.Request, Attempt: s.Attempt, Run: run, Reason: reason, Whole: reason == ""}
}

func (g *rig) list(endpoints ...wire.Endpoint) []event.Effect {
	return g.step(event.EndpointsListed{List: wire.EndpointList{Endpoints: slices.Clone(endpoints)}})
}
