package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

func TestAttemptEnds(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		run     kinds.Run
		reason  string
		begun   bool
		resumes bool
		again   bool
		kind    kinds.Kind
	}{
		"whole":                          {path: "/order", run: kinds.Ran},
		"dial failed":                    {path: "/order", run: kinds.NotRun, reason: event.ReasonDial, again: true},
		"refused":                        {path: "/order", run: kinds.NotRun, reason: event.ReasonRefused, again: true},
		"broken, not idempotent":         {path: "/order", run: kinds.Unknown, reason: event.ReasonBroken, kind: kinds.OutcomeUnknown},
		"broken, idempotent":             {path: "/lookup", run: kinds.Unknown, reason: event.ReasonBroken, again: true},
		"status, not idempotent":         {path: "/order", run: kinds.Unknown, reason: event.ReasonStatus, kind: kinds.OutcomeUnknown},
		"cut, begun":                     {path: "/lookup", run: kinds.Unknown, reason: event.ReasonCut, begun: true, kind: kinds.StreamCut},
		"cut, begun, can resume":         {path: "/lookup", run: kinds.Unknown, reason: event.ReasonCut, begun: true, resumes: true, again: true},
		"cut, not idempotent, resumable": {path: "/order", run: kinds.Unknown, reason: event.ReasonCut, begun: true, resumes: true, kind: kinds.StreamCut},
		"caller lost":                    {path: "/lookup", run: kinds.Unknown, reason: event.ReasonCaller, kind: kinds.StreamCut},
		"deadline, nothing written":      {path: "/order", run: kinds.NotRun, reason: event.ReasonStopped, kind: kinds.DeadlineExceeded},
		"deadline, written":              {path: "/order", run: kinds.Unknown, reason: event.ReasonStopped, kind: kinds.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			s := g.run(t, arrival(1, "Ledger", c.path))
			d := done(s, c.run, c.reason)
			d.Begun, d.CanResume = c.begun, c.resumes
			effects := g.step(d)
			if !c.again {
				wantAnswers(t, effects, c.kind)
				return
			}
			wantAnswers(t, effects)
			again := started(t, g.after(time.Second))
			if again.Endpoint == s.Endpoint {
				t.Error("the same endpoint was tried again before the other one")
			}
		})
	}
}

func TestTruthOutlivesRetry(t *testing.T) {
	g := newRig()
	s := g.run(t, arrival(1, "Ledger", "/lookup"))
	effects := g.step(done(s, kinds.Unknown, event.ReasonBroken))
	for range 2 {
		wantAnswers(t, effects)
		s = started(t, g.after(time.Second))
		effects = g.step(done(s, kinds.NotRun, event.ReasonDial))
	}
	wantAnswers(t, effects, kinds.OutcomeUnknown)
}

func TestLateAttemptIsDropped(t *testing.T) {
	g := newRig()
	first := g.run(t, arrival(1, "Ledger", "/lookup"))
	g.step(done(first, kinds.Unknown, event.ReasonBroken))
	second := started(t, g.after(time.Second))
	wantAnswers(t, g.step(done(first, kinds.Ran, "")))
	if sent := pick[event.SendAttempt](g.step(event.AttemptConnected{Request: 1, Attempt: first.Attempt})); len(sent) != 0 {
		t.Error("a former attempt was let to write")
	}
	wantAnswers(t, g.step(done(second, kinds.Ran, "")), "")
	wantAnswers(t, g.step(done(second, kinds.Ran, "")))
}

func TestBoundedQueue(t *testing.T) {
	g := newRig()
	id := uint64(0)
	send := func(key string, n int) (refused int) {
		for range n {
			id++
			for _, a := range pick[event.AnswerRequest](g.step(arrival(id, key, "/lookup"))) {
				if diff := cmp.Diff(kinds.QueueFull, a.Kind); diff != "" || a.RetryAfter == 0 {
					t.Error(diff, a)
				}
				refused++
			}
		}
		return refused
	}
	if diff := cmp.Diff(4, send("Ledger", 10)); diff != "" {
		t.Error("the organisation's bound:", diff)
	}
	if diff := cmp.Diff(1, send("Andina", 3)); diff != "" {
		t.Error("room is made at the cost of the longest queue:", diff)
	}
}

func TestDeadlineTooShort(t *testing.T) {
	g := newRig()
	first := g.run(t, arrival(1, "Ledger", "/lookup"))
	g.now += time.Second
	g.step(done(first, kinds.Ran, ""))
	for i := range uint64(4) {
		g.step(arrival(i+2, "Ledger", "/lookup"))
	}
	send := func(request uint64, organisation string, limit time.Duration) []event.Effect {
		a := arrival(request, organisation, "/lookup")
		a.Deadline = g.now + limit
		return g.step(a)
	}
	wantAnswers(t, send(10, "Ledger", 2*time.Second), kinds.DeadlineTooShort)
	wantAnswers(t, send(11, "Andina", 2*time.Second))
	wantAnswers(t, send(12, "Andina", time.Second), kinds.DeadlineTooShort)
	g.after(6 * time.Second)
	wantAnswers(t, send(13, "Ledger", time.Second))
}

func TestDeadlineInQueue(t *testing.T) {
	g := newRig()
	for i := range uint64(2) {
		g.step(arrival(i+1, "Ledger", "/lookup"))
	}
	waits := arrival(3, "Ledger", "/lookup")
	waits.Deadline = g.now + time.Second
	wantAnswers(t, g.step(waits))
	wantAnswers(t, g.after(time.Second), kinds.DeadlineExceeded)
}

func TestLeaveMarkIsFinal(t *testing.T) {
	mark := wire.LeaveMark{Endpoint: "a", Incarnation: "1"}
	leaving := rigEndpoint("a")
	leaving.State = wire.Leaving
	for name, tell := range map[string]func(g *rig){
		"list": func(g *rig) { g.list(leaving, rigEndpoint("b")) },
		"beat": func(g *rig) {
			g.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Leaving: []wire.LeaveMark{mark}}})
		},
		"poll": func(g *rig) { g.step(event.EndpointPolled{Endpoint: "a", Incarnation: "1", Leaving: true}) },
		"answer": func(g *rig) {
			for i := uint64(100); ; i++ {
				s := started(t, g.step(arrival(i, "Ledger", "/order")))
				d := done(s, kinds.Ran, "")
				d.Leaving = s.Endpoint == "a"
				g.step(d)
				if d.Leaving {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			tell(g)
			for i := range uint64(20) {
				g.list(rigEndpoint("a"), rigEndpoint("b"))
				s := started(t, g.step(arrival(i+1, "Ledger", "/lookup")))
				if s.Endpoint == "a" {
					t.Fatal("new work for a leaving endpoint")
				}
				g.step(done(s, kinds.Ran, ""))
				g.list(leaving, rigEndpoint("b"))
			}
			var beat wire.Beat
			g.part.Contribute(g.now, &beat)
			if diff := cmp.Diff([]wire.LeaveMark{mark}, beat.Leaving); diff != "" {
				t.Error(diff)
			}
			again := rigEndpoint("a")
			again.Incarnation = "2"
			g.list(again)
			if diff := cmp.Diff("a", started(t, g.step(arrival(50, "Ledger", "/lookup"))).Endpoint); diff != "" {
				t.Error("another incarnation:", diff)
			}
		})
	}
}

func TestNoWorkBeforePeersAreHeard(t *testing.T) {
	fresh := func() *rig {
		g := newRig()
		g.part = &Part{Host: "h1", Trust: g.trust, Keys: g.keys, Random: g.part.Random}
		g.state.Parts = []event.Part{g.part}
		g.step(event.ConfigInForce{Site: rigSite()})
		g.list(rigEndpoint("a"), rigEndpoint("b"))
		g.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1"}, {Name: "h2"}, {Name: "h3"}}})
		if len(pick[event.StartAttempt](g.step(arrival(1, "Ledger", "/lookup")))) != 0 {
			t.Error("work before the peers told their leave marks")
		}
		return g
	}
	beat := event.BeatSeen{Host: "h2", Beat: wire.Beat{Leaving: []wire.LeaveMark{{Endpoint: "a", Incarnation: "1"}}}}
	if diff := cmp.Diff("b", started(t, fresh().step(beat)).Endpoint); diff != "" {
		t.Error(diff)
	}
	started(t, fresh().after(peersWait))
}

func TestEjection(t *testing.T) {
	g := newRig()
	g.list(rigEndpoint("a"))
	for i := range uint64(3) {
		g.step(done(g.run(t, arrival(i+1, "Ledger", "/order")), kinds.Unknown, event.ReasonBroken))
	}
	wantAnswers(t, g.step(arrival(4, "Ledger", "/order")), kinds.NoEndpoint)
	if len(pick[event.StartAttempt](g.step(arrival(5, "Ledger", "/reconcile")))) != 0 {
		t.Error("an ejected endpoint got work")
	}
	trial := started(t, g.after(time.Second))
	g.step(done(trial, kinds.Ran, ""))
	if g.part.table.All()[0].Ejected(g.now) {
		t.Error("a trial that succeeded did not end the ejection")
	}
}

func TestDrain(t *testing.T) {
	g := newRig()
	g.part.Process.BalancerDelay = time.Second
	s := g.run(t, arrival(1, "Ledger", "/lookup"))
	if len(pick[event.BeginDrain](g.step(event.StopAsked{}))) != 1 {
		t.Error("the listener was not told")
	}
	late := started(t, g.step(arrival(2, "Ledger", "/lookup")))
	if len(pick[event.StopListening](g.after(time.Second))) != 1 {
		t.Error("the listener was not closed")
	}
	g.step(done(s, kinds.Ran, ""))
	g.step(done(late, kinds.Ran, ""))
	g.step(event.ListenerClosed{})
	g.after(0)
	if !g.part.drain.done {
		t.Error("not drained")
	}
}

func TestGivenUpIsNoRefusal(t *testing.T) {
	cases := map[string]event.Event{
		"the caller has gone":      event.CallerGone{Request: 1},
		"the sample is not needed": event.CancelRequest{Request: 1},
	}
	for name, ev := range cases {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			s := g.run(t, arrival(1, "Ledger", "/lookup"))
			effects := append(g.step(ev), g.step(done(s, kinds.Unknown, event.ReasonCaller))...)
			counts := map[string]int64{}
			for _, e := range effects {
				if c, ok := e.(event.Count); ok {
					counts[c.Name] += c.N
				}
			}
			if diff := cmp.Diff(map[string]int64{"GivenUp": 1}, counts); diff != "" {
				t.Errorf("counts (-want +got):\n%s", diff)
			}
		})
	}
}
