package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// The owner stopped a job as soon as its end was asked. When the store then refused to record the end, the job stood still for
// good, although its caller had been told that nothing had ended.
func TestEndTakesEffectOnceItIsStored(t *testing.T) {
	unknown := event.JobEnded{Job: "j1", Kind: kinds.OutcomeUnknown}
	refused := event.JobEnded{Job: "j1", Kind: kinds.StoreRefused}
	stored := event.JobEnded{Job: "j1"}
	cases := map[string]struct {
		outcomes []event.Event
		answer   kinds.Kind
		goesOn   bool
	}{
		"not answered yet":      {nil, "", true},
		"refused":               {[]event.Event{refused}, kinds.StoreRefused, true},
		"unknown":               {[]event.Event{unknown}, kinds.OutcomeUnknown, true},
		"unknown, then stored":  {[]event.Event{unknown, stored}, kinds.OutcomeUnknown, false},
		"stored":                {[]event.Event{stored}, "", false},
		"there is no such job":  {[]event.Event{event.JobEnded{Job: "j1", Kind: kinds.NotFound}}, kinds.NotFound, true},
		"unknown, then refused": {[]event.Event{unknown, refused}, kinds.OutcomeUnknown, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.submit("j1", testHead(3, 2, noHints)) // two items more than the engine has slots
			runs := take[event.RunItem](r)
			r.step(event.JobCalled{Seq: 2, Call: event.JobEnd, Job: "j1"})
			for _, outcome := range c.outcomes {
				r.step(outcome)
			}
			var got []kinds.Kind
			for _, a := range take[event.JobAnswer](r) {
				if a.Seq == 2 {
					got = append(got, a.Kind)
				}
			}
			var want []kinds.Kind
			if len(c.outcomes) > 0 {
				want = []kinds.Kind{c.answer}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
			if stopped := len(take[event.StopItem](r)); (stopped == 0) != c.goesOn {
				t.Errorf("%d runs are stopped, want the job to go on: %v", stopped, c.goesOn)
			}
			r.step(event.ItemEnded{Job: "j1", Item: runs[0].Item, Attempt: runs[0].Attempt, Events: 3, Versions: []uint64{1}})
			r.tick(time.Second)
			if further := len(take[event.RunItem](r)) - len(runs); (further == 1) != c.goesOn {
				t.Errorf("%d further items began, want the job to go on: %v", further, c.goesOn)
			}
			if lists := len(take[event.StoreChunk](r)); c.goesOn && lists != 1 {
				t.Errorf("%d chunks of results, want one of the whole item", lists)
			}
		})
	}
}

// A job was ended while this host was taking it over. The host that then owned it ran all of it, even when it had acknowledged
// the end itself.
func TestEndedJobIsNotRunByItsNextOwner(t *testing.T) {
	const job = "j1"
	head := testHead(1, 2, noHints)
	head.ID, head.Route, head.GiveUp = job, "rollouts", time.Hour
	taken := event.JobTaken{Job: job, Head: head, Epoch: 1}
	ended := event.JobEnded{Job: job}
	endCall := event.JobCalled{Seq: 9, Call: event.JobEnd, Job: job}
	submission := event.JobCalled{Seq: 8, Call: event.JobSubmit, Path: "/r/x", Job: job, Head: head}
	news := newsFrom("h3", event.JobSeen{Job: job, Ended: true})
	record := event.JobSeen{Job: job, Host: "h2", Incarnation: "1", Ended: true}
	cases := map[string]struct {
		events  []event.Event
		started int // runs before the end was known here
	}{
		"ended here, then taken":          {[]event.Event{endCall, ended, taken}, 0},
		"taken, then ended here":          {[]event.Event{endCall, taken, ended}, 2},
		"ended by another host":           {[]event.Event{news, taken}, 0},
		"taken, then ended elsewhere":     {[]event.Event{taken, news}, 2},
		"found ended at the same epoch":   {[]event.Event{event.JobsListed{Jobs: []event.JobSeen{record}}, taken}, 0},
		"not found, then submitted again": {[]event.Event{news, event.JobTaken{Job: job, Kind: kinds.NotFound}, submission, event.Tick{}}, 0},
		"submitted again in an outage":    {[]event.Event{news, submission, event.Tick{}}, 0},
		"stored by another submission":    {[]event.Event{news, submission, event.JobKept{Seq: 8, Job: job, Kind: kinds.Conflict, Owner: event.JobSeen{Job: job, Host: "h1", Incarnation: "1"}}, taken}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.tick(startupGrace)
			r.step(newsFrom("h2", event.JobSeen{Job: job, Host: "h2", Incarnation: "1"}))
			r.step(event.PeerDown{Host: "h2", Incarnation: "1"})
			r.tick(disconnectGrace)
			r.tick(rankDelay)
			if got := take[event.TakeJob](r); len(got) != 1 {
				t.Fatalf("%d takeovers, want 1", len(got))
			}
			for _, ev := range c.events {
				if ev == (event.Tick{}) {
					r.now += startUnstoredAfter
				}
				r.step(ev)
			}
			if diff := cmp.Diff(c.started, len(take[event.RunItem](r))); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
			stopped := take[event.StopItem](r)
			if diff := cmp.Diff(c.started, len(stopped)); diff != "" {
				t.Errorf("stopped runs (-want +got):\n%s", diff)
			}
			r.effects = nil
			for _, s := range stopped {
				r.step(event.ItemEnded{Job: job, Item: s.Item, Attempt: s.Attempt, Reason: event.ReasonStopped})
			}
			r.tick(time.Second)
			if got := r.running(); len(got) > 0 {
				t.Errorf("runs of the ended job: %v", got)
			}
		})
	}
}

// The host that had acknowledged the end of a job was gone before any other host heard of it. Only the store's record tells
// the owner then.
func TestOwnerThatDoesNotHearAllHostsReadsTheRecord(t *testing.T) {
	cases := map[string]struct {
		events []event.Event
		want   int
	}{
		"all are heard":  {nil, 0},
		"disconnected":   {[]event.Event{event.PeerDown{Host: "h2", Incarnation: "1"}}, 1},
		"never heard":    {[]event.Event{event.HostsChanged{Hosts: []event.Host{{Name: "h1"}, {Name: "h2"}, {Name: "h3"}}}}, 1},
		"connected anew": {[]event.Event{event.PeerDown{Host: "h2", Incarnation: "1"}, event.PeerUp{Host: "h2", Incarnation: "2"}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.step(event.HostsChanged{Hosts: r.alive})
			r.submit("j1", testHead(1, 1, noHints))
			for _, ev := range c.events {
				r.step(ev)
			}
			r.tick(ownershipCheckInterval)
			if diff := cmp.Diff(c.want, len(take[event.CheckJob](r))); diff != "" {
				t.Errorf("reads of the record (-want +got):\n%s", diff)
			}
		})
	}
}

// The news of a job's end was sent once and got lost with a silent connection. The owner ran the whole job although its
// heartbeats told every host that it did not know.
func TestEndIsRepeatedToAnOwnerThatMissedIt(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	owned := wire.JobNews{Job: "j1", Host: "h2", Incarnation: "1", Route: "rollouts", Items: 1}
	r.step(event.BeatSeen{Host: "h2", Anchored: true, Beat: wire.Beat{Jobs: []wire.JobNews{owned}}})
	r.step(event.PeerReceived{Host: "h3", Message: wire.Message{News: &wire.JobNews{Job: "j1", Ended: true}}})
	cases := []struct {
		name string
		wait time.Duration
		jobs []wire.JobNews
		want int
	}{
		{"named again", 0, []wire.JobNews{owned}, 1},
		{"named at once", endRepeatInterval / 2, []wire.JobNews{owned}, 0},
		{"still named", endRepeatInterval, []wire.JobNews{owned}, 1},
		{"no longer named", time.Second, nil, 0},
	}
	for _, c := range cases {
		r.effects = nil
		r.now += c.wait
		r.step(event.BeatSeen{Host: "h2", Anchored: true, Beat: wire.Beat{Jobs: c.jobs}})
		sent := take[event.SendPeer](r)
		if diff := cmp.Diff(c.want, len(sent)); diff != "" {
			t.Fatalf("%s: messages (-want +got):\n%s", c.name, diff)
		}
		for _, s := range sent {
			if s.Host != "h2" || s.Message.News == nil || !s.Message.News.Ended {
				t.Errorf("%s: sent %+v to %s, want the end of the job to its owner", c.name, s.Message.News, s.Host)
			}
		}
	}
}

// A job that bears the id of another organisation's job must not be accepted: its results would be the other one's.
func TestIDOfAnotherOrganisationsJobIsRefused(t *testing.T) {
	cases := map[string]func(r *rig){
		"it runs here": func(r *rig) {
			r.submit("j1", testHead(1, 1, noHints))
			r.p.jobs["j1"].head.Organisation = "South"
			r.effects = nil
			r.step(event.JobCalled{Seq: 2, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 1, noHints)})
		},
		"the store has it": func(r *rig) {
			r.step(event.JobCalled{Seq: 2, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 1, noHints)})
			r.step(event.JobKept{Seq: 2, Job: "j1", Kind: kinds.Conflict, Owner: event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}, Organisation: "South"})
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			play(r)
			var got []kinds.Kind
			for _, answer := range take[event.JobAnswer](r) {
				got = append(got, answer.Kind)
			}
			if diff := cmp.Diff([]kinds.Kind{kinds.Forbidden}, got); diff != "" {
				t.Errorf("kinds of the answers (-want +got):\n%s", diff)
			}
		})
	}
}
