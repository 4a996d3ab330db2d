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
		retried bool
		kind    kinds.Kind
	}{
		"whole":                          {path: "/order", run: kinds.Ran},
		"dial failed":                    {path: "/order", run: kinds.NotRun, reason: event.ReasonDial, retried: true},
		"refused":                        {path: "/order", run: kinds.NotRun, reason: event.ReasonRefused, retried: true},
		"broken, not idempotent":         {path: "/order", run: kinds.Unknown, reason: event.ReasonBroken, kind: kinds.OutcomeUnknown},
		"broken, idempotent":             {path: "/lookup", run: kinds.Unknown, reason: event.ReasonBroken, retried: true},
		"status, not idempotent":         {path: "/order", run: kinds.Unknown, reason: event.ReasonStatus, kind: kinds.OutcomeUnknown},
		"cut, begun":                     {path: "/lookup", run: kinds.Unknown, reason: event.ReasonCut, begun: true, kind: kinds.StreamCut},
		"cut, begun, can resume":         {path: "/lookup", run: kinds.Unknown, reason: event.ReasonCut, begun: true, resumes: true, retried: true},
		"cut, not idempotent, resumable": {path: "/order", run: kinds.Unknown, reason: event.ReasonCut, begun: true, resumes: true, kind: kinds.StreamCut},
		"caller lost":                    {path: "/lookup", run: kinds.Unknown, reason: event.ReasonCallerWrite, kind: kinds.StreamCut},
		"deadline, nothing written":      {path: "/order", run: kinds.NotRun, reason: event.ReasonStopped, kind: kinds.DeadlineExceeded},
		"deadline, written":              {path: "/order", run: kinds.Unknown, reason: event.ReasonStopped, kind: kinds.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			s := g.startRunning(t, arrival(1, "Ledger", c.path))
			d := attemptDone(s, c.run, c.reason)
			d.Begun, d.CanResume = c.begun, c.resumes
			effects := g.step(d)
			if !c.retried {
				wantAnswers(t, effects, c.kind)
				return
			}
			wantAnswers(t, effects)
			retried := requireStarted(t, g.advance(time.Second))
			if retried.Endpoint == s.Endpoint {
				t.Error("the retry went to the same endpoint although another one was free")
			}
		})
	}
}

func TestRetryKeepsOutcomeUnknown(t *testing.T) {
	g := newRig()
	s := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
	effects := g.step(attemptDone(s, kinds.Unknown, event.ReasonBroken))
	for range 2 {
		wantAnswers(t, effects)
		s = requireStarted(t, g.advance(time.Second))
		effects = g.step(attemptDone(s, kinds.NotRun, event.ReasonDial))
	}
	wantAnswers(t, effects, kinds.OutcomeUnknown)
}

func TestLateAttemptIsDropped(t *testing.T) {
	g := newRig()
	first := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
	g.step(attemptDone(first, kinds.Unknown, event.ReasonBroken))
	second := requireStarted(t, g.advance(time.Second))
	wantAnswers(t, g.step(attemptDone(first, kinds.Ran, "")))
	if sent := effectsOf[event.SendAttempt](g.step(event.AttemptConnected{Request: 1, Attempt: first.Attempt})); len(sent) != 0 {
		t.Error("an earlier attempt was allowed to write")
	}
	wantAnswers(t, g.step(attemptDone(second, kinds.Ran, "")), "")
	wantAnswers(t, g.step(attemptDone(second, kinds.Ran, "")))
}

func TestBoundedQueue(t *testing.T) {
	g := newRig()
	id := uint64(0)
	send := func(key string, n int) (refused int) {
		for range n {
			id++
			for _, a := range effectsOf[event.AnswerRequest](g.step(arrival(id, key, "/lookup"))) {
				if diff := cmp.Diff(kinds.QueueFull, a.Kind); diff != "" || a.RetryAfter == 0 {
					t.Error(diff, a)
				}
				refused++
			}
		}
		return refused
	}
	if diff := cmp.Diff(4, send("Ledger", 10)); diff != "" {
		t.Error("refusals at the organisation's limit (-want +got):", diff)
	}
	if diff := cmp.Diff(1, send("Andina", 3)); diff != "" {
		t.Error("requests evicted from the longest queue (-want +got):", diff)
	}
}

func TestDeadlineTooShort(t *testing.T) {
	g := newRig()
	first := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
	g.now += time.Second
	g.step(attemptDone(first, kinds.Ran, ""))
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
	g.advance(6 * time.Second)
	wantAnswers(t, send(13, "Ledger", time.Second))
}

// A call with a large body was refused after calls with small ones, since its run was expected to last longer by as much.
func TestLargeCallIsNotTooLate(t *testing.T) {
	g := newRig()
	small := arrival(1, "Ledger", "/lookup")
	small.Tokens = 50
	first := g.startRunning(t, small)
	g.now += 5 * time.Millisecond
	g.step(attemptDone(first, kinds.Ran, ""))
	large := arrival(2, "Ledger", "/lookup")
	large.Tokens, large.Deadline = 250_000, g.now+time.Second
	effects := g.step(large)
	wantAnswers(t, effects)
	requireStarted(t, effects)
}

func TestDeadlineInQueue(t *testing.T) {
	g := newRig()
	for i := range uint64(2) {
		g.step(arrival(i+1, "Ledger", "/lookup"))
	}
	queuedRequest := arrival(3, "Ledger", "/lookup")
	queuedRequest.Deadline = g.now + time.Second
	wantAnswers(t, g.step(queuedRequest))
	wantAnswers(t, g.advance(time.Second), kinds.DeadlineExceeded)
}

func TestLeaveMarkIsFinal(t *testing.T) {
	mark := wire.LeaveMark{Endpoint: "a", Incarnation: "1"}
	leaving := rigEndpoint("a")
	leaving.State = wire.Leaving
	for name, markLeaving := range map[string]func(g *rig){
		"list": func(g *rig) { g.list(leaving, rigEndpoint("b")) },
		"heartbeat": func(g *rig) {
			g.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Leaving: []wire.LeaveMark{mark}}})
		},
		"poll": func(g *rig) { g.step(event.EndpointPolled{Endpoint: "a", Incarnation: "1", Leaving: true}) },
		"answer to anything": func(g *rig) {
			g.step(event.EndpointAnswered{Endpoint: "a", Incarnation: "1", Leaving: true})
			g.step(event.EndpointAnswered{Endpoint: "a", Incarnation: "1"}) // to what was sent before
		},
		"answer": func(g *rig) {
			for i := uint64(100); ; i++ {
				s := requireStarted(t, g.step(arrival(i, "Ledger", "/order")))
				d := attemptDone(s, kinds.Ran, "")
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
			markLeaving(g)
			for i := range uint64(20) {
				g.list(rigEndpoint("a"), rigEndpoint("b"))
				s := requireStarted(t, g.step(arrival(i+1, "Ledger", "/lookup")))
				if s.Endpoint == "a" {
					t.Fatal("attempt started at a leaving endpoint")
				}
				g.step(attemptDone(s, kinds.Ran, ""))
				g.list(leaving, rigEndpoint("b"))
			}
			var heartbeat wire.Beat
			g.component.FillBeat(g.now, &heartbeat)
			if diff := cmp.Diff([]wire.LeaveMark{mark}, heartbeat.Leaving); diff != "" {
				t.Error(diff)
			}
			restarted := rigEndpoint("a")
			restarted.Incarnation = "2"
			g.list(restarted)
			if diff := cmp.Diff("a", requireStarted(t, g.step(arrival(50, "Ledger", "/lookup"))).Endpoint); diff != "" {
				t.Error("endpoint after a restart (-want +got):", diff)
			}
		})
	}
}

func TestNoWorkBeforePeerHeartbeats(t *testing.T) {
	newStarting := func() *rig {
		g := newRig()
		g.component = &Component{Host: "h1", Trust: g.trust, Keys: g.keys, Random: g.component.Random}
		g.state.Components = []event.Part{g.component}
		g.step(event.ConfigInForce{Site: rigSite()})
		g.list(rigEndpoint("a"), rigEndpoint("b"))
		g.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1"}, {Name: "h2"}, {Name: "h3"}}})
		if len(effectsOf[event.StartAttempt](g.step(arrival(1, "Ledger", "/lookup")))) != 0 {
			t.Error("attempt started before the peers' leave marks were known")
		}
		return g
	}
	heartbeat := event.BeatSeen{Host: "h2", Beat: wire.Beat{Leaving: []wire.LeaveMark{{Endpoint: "a", Incarnation: "1"}}}}
	if diff := cmp.Diff("b", requireStarted(t, newStarting().step(heartbeat)).Endpoint); diff != "" {
		t.Error(diff)
	}
	requireStarted(t, newStarting().advance(maxPeerWait))
}

func TestEjection(t *testing.T) {
	g := newRig()
	g.list(rigEndpoint("a"))
	for i := range uint64(3) {
		g.step(attemptDone(g.startRunning(t, arrival(i+1, "Ledger", "/order")), kinds.Unknown, event.ReasonBroken))
	}
	wantAnswers(t, g.step(arrival(4, "Ledger", "/order")), kinds.NoEndpoint)
	if len(effectsOf[event.StartAttempt](g.step(arrival(5, "Ledger", "/reconcile")))) != 0 {
		t.Error("attempt started at an ejected endpoint")
	}
	trial := requireStarted(t, g.advance(time.Second))
	g.step(attemptDone(trial, kinds.Ran, ""))
	if g.component.table.All()[0].Ejected(g.now) {
		t.Error("a successful trial did not end the ejection")
	}
}

func TestDrain(t *testing.T) {
	g := newRig()
	g.component.Process.BalancerDelay = time.Second
	s := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
	if len(effectsOf[event.BeginDrain](g.step(event.StopAsked{}))) != 1 {
		t.Error("BeginDrain was not emitted")
	}
	late := requireStarted(t, g.step(arrival(2, "Ledger", "/lookup")))
	if len(effectsOf[event.StopListening](g.advance(time.Second))) != 1 {
		t.Error("StopListening was not emitted")
	}
	g.step(attemptDone(s, kinds.Ran, ""))
	g.step(attemptDone(late, kinds.Ran, ""))
	g.step(event.ListenerClosed{})
	g.advance(0)
	if !g.component.drain.done {
		t.Error("the drain did not end")
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
			s := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
			effects := append(g.step(ev), g.step(attemptDone(s, kinds.Unknown, event.ReasonCallerWrite))...)
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
