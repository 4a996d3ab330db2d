package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// watcher checks what must hold of the effects of any order of events.
type watcher struct {
	tb       rapid.TB
	rig      *rig
	live     map[uint64]event.StartAttempt // attempts without an end, by request
	last     []event.StartAttempt
	answered map[uint64]bool
	unknown  map[uint64]bool // requests of which an attempt may have run
	left     map[wire.LeaveMark]bool
}

func (w *watcher) step(ev event.Event) {
	w.take(w.rig.step(ev))
	own, all, retried := 0, 0, 0
	for _, r := range w.rig.part.requests {
		if r.tries > 0 && r.phase == queued {
			retried++
		}
	}
	for _, name := range []string{"Ledger", "Andina", ""} {
		own, all = w.rig.part.Queue.Len(name)
		// Requests that are tried again keep their place beyond the bound.
		if own > w.rig.part.site.Limits.QueuePerOrg+retried {
			w.tb.Fatalf("%d requests of %q wait", own, name)
		}
	}
	if all > w.rig.part.site.Limits.QueuePerDaemon+retried {
		w.tb.Fatalf("%d requests wait", all)
	}
}

func (w *watcher) take(effects []event.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case event.StartAttempt:
			w.start(e)
		case event.AnswerRequest:
			w.answer(e)
		}
	}
}

func (w *watcher) start(e event.StartAttempt) {
	if _, ok := w.live[e.Request]; ok || w.answered[e.Request] {
		w.tb.Fatalf("request %d has another attempt or its answer", e.Request)
	}
	if w.left[wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}] {
		w.tb.Fatalf("new work for the leaving endpoint %s", e.Endpoint)
	}
	if w.unknown[e.Request] && !e.Idempotent {
		w.tb.Fatalf("request %d is not idempotent and may run twice", e.Request)
	}
	w.live[e.Request] = e
	w.last = append(w.last, e)
}

func (w *watcher) answer(e event.AnswerRequest) {
	if w.answered[e.Request] {
		w.tb.Fatalf("request %d has a second answer", e.Request)
	}
	w.answered[e.Request] = true
	if e.Kind != "" && kinds.Of(e.Kind).Run == kinds.NotRun && w.unknown[e.Request] {
		w.tb.Fatalf("request %d may have run and got %s", e.Request, e.Kind)
	}
}

// end gives an end of a live attempt, in the way that the executor does: one for each attempt.
func (w *watcher) end(d event.AttemptDone) {
	if w.live[d.Request].Attempt == d.Attempt {
		delete(w.live, d.Request)
		if d.Run != kinds.NotRun {
			w.unknown[d.Request] = true
		}
	}
	w.step(d)
}

var reasons = []string{
	"", event.ReasonDial, event.ReasonExpired, event.ReasonRefused, event.ReasonBroken, event.ReasonStatus,
	event.ReasonCut, event.ReasonStopped, event.ReasonCaller, event.ReasonGone,
}

// drawDone makes an end whose parts agree as the executor's do.
func drawDone(rt *rapid.T, s event.StartAttempt) event.AttemptDone {
	d := event.AttemptDone{Request: s.Request, Attempt: s.Attempt, Reason: rapid.SampledFrom(reasons).Draw(rt, "reason")}
	d.Run = rapid.SampledFrom([]kinds.Run{kinds.NotRun, kinds.Unknown}).Draw(rt, "run")
	d.CanResume = rapid.Bool().Draw(rt, "resume")
	d.Leaving = rapid.IntRange(0, 9).Draw(rt, "leaving") == 0
	switch d.Reason {
	case "":
		d.Run, d.Whole, d.Begun = kinds.Ran, true, true
	case event.ReasonDial, event.ReasonRefused, event.ReasonExpired, event.ReasonGone:
		d.Run = kinds.NotRun
	case event.ReasonBroken, event.ReasonStatus, event.ReasonCut:
		d.Run = kinds.Unknown
	}
	d.Begun = d.Begun || (d.Run == kinds.Unknown && rapid.Bool().Draw(rt, "begun"))
	return d
}

func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &watcher{
			tb: rt, rig: newRig(), live: map[uint64]event.StartAttempt{}, answered: map[uint64]bool{},
			unknown: map[uint64]bool{}, left: map[wire.LeaveMark]bool{},
		}
		requests := uint64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				requests++
				w.step(arrival(requests, rapid.SampledFrom([]string{"Ledger", "Andina", "", "x"}).Draw(rt, "key"),
					rapid.SampledFrom([]string{"/lookup", "/order", "/reconcile", "/public", "/none"}).Draw(rt, "path")))
			},
			"connect": func(rt *rapid.T) {
				if len(w.last) > 0 {
					s := rapid.SampledFrom(w.last).Draw(rt, "attempt")
					w.step(event.AttemptConnected{Request: s.Request, Attempt: s.Attempt})
				}
			},
			"end": func(rt *rapid.T) {
				if len(w.last) > 0 {
					w.end(drawDone(rt, rapid.SampledFrom(w.last).Draw(rt, "attempt")))
				}
			},
			"time": func(rt *rapid.T) {
				w.take(w.rig.after(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "ms")) * time.Millisecond))
			},
			"cancel": func(rt *rapid.T) { w.step(event.CancelRequest{Request: rapid.Uint64Range(0, 20).Draw(rt, "id")}) },
			"key": func(rt *rapid.T) {
				state := rapid.SampledFrom([]keys.State{keys.Active, keys.Withdrawn}).Draw(rt, "state")
				w.rig.keys.Entries["Ledger"] = keys.Entry{Organisation: "Ledger", State: state}
				w.step(event.KeysInForce{})
			},
			"trust": func(rt *rapid.T) {
				w.rig.trust.until = w.rig.now + time.Duration(rapid.IntRange(0, 100_000).Draw(rt, "ms"))*time.Millisecond
			},
			"leave": func(rt *rapid.T) {
				mark := wire.LeaveMark{Endpoint: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "endpoint"), Incarnation: fmt.Sprint(requests)}
				w.left[mark] = true
				w.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Leaving: []wire.LeaveMark{mark}}})
			},
			"list": func(rt *rapid.T) {
				a, b := rigEndpoint("a"), rigEndpoint("b")
				a.Incarnation = fmt.Sprint(rapid.Uint64Range(0, requests).Draw(rt, "incarnation"))
				a.State = rapid.SampledFrom([]wire.EndpointState{wire.Live, wire.Leaving, wire.Starting}).Draw(rt, "state")
				w.step(event.EndpointsListed{List: wire.EndpointList{Endpoints: []wire.Endpoint{a, b}}})
			},
		})
		w.settle(rt)
	})
}

// settle ends every attempt and lets all time pass; nothing may be left then.
func (w *watcher) settle(rt *rapid.T) {
	for range 100 {
		var live []event.StartAttempt
		for _, s := range w.live {
			live = append(live, s)
		}
		slices.SortFunc(live, func(a, b event.StartAttempt) int { return int(a.Request) - int(b.Request) })
		for _, s := range live {
			w.end(drawDone(rt, s))
		}
		w.take(w.rig.after(time.Minute))
	}
	if diff := cmp.Diff(0, len(w.rig.part.requests)); diff != "" {
		rt.Fatal("requests are left:", diff)
	}
}

func TestSameEventsGiveSameEffects(t *testing.T) {
	play := func() []event.Effect {
		g := newRig()
		var all []event.Effect
		for i := range uint64(200) {
			all = append(all, g.step(arrival(i, []string{"Ledger", "Andina"}[i%2], "/lookup"))...)
			for _, s := range pick[event.StartAttempt](all) {
				if s.Attempt%3 != i%3 {
					all = append(all, g.step(done(s, kinds.Unknown, event.ReasonBroken))...)
				}
			}
			all = append(all, g.after(100*time.Millisecond)...)
			all = append(all, g.step(event.StatusAsked{Seq: i})...)
		}
		return all
	}
	if diff := cmp.Diff(play(), play()); diff != "" {
		t.Error(diff)
	}
}
