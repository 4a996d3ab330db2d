package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// The store fails while several hosts are asked to take the same step, and the host that it then names as the owner
// crashes. Each of the others may take another one for the owner, so that nobody runs the step: the store's record must
// decide.
func TestOwnerByTheStoreRecord(t *testing.T) {
	self := event.Host{Name: "h1", Incarnation: "1"}
	other := event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}
	taken := func(r *rig) []event.TakeJob { return take[event.TakeJob](r) }
	cases := map[string]struct {
		events []event.Event
		check  func(r *rig) any
		want   any
	}{
		"another host takes this one for the owner": {
			events: []event.Event{newsFrom("h2", other), newsFrom("h2", event.JobSeen{Job: "j1", Host: self.Name, Incarnation: self.Incarnation})},
			check:  func(r *rig) any { return take[event.CheckJob](r) },
			want:   []event.CheckJob{{Job: "j1"}},
		},
		"it asks again": {
			events: []event.Event{
				newsFrom("h2", other), newsFrom("h2", event.JobSeen{Job: "j1", Host: self.Name, Incarnation: self.Incarnation}),
				newsFrom("h3", event.JobSeen{Job: "j1", Host: self.Name, Incarnation: self.Incarnation}),
			},
			check: func(r *rig) any { return take[event.CheckJob](r) },
			want:  []event.CheckJob{{Job: "j1"}},
		},
		"the record names a host that is gone": {
			events: []event.Event{newsFrom("h2", other), newsFrom("", event.JobSeen{Job: "j1", Host: "h9", Incarnation: "1"})},
			check:  func(r *rig) any { return taken(r) },
			want:   []event.TakeJob{{Job: "j1", Host: "h9"}},
		},
		"a job without a record is forgotten, and taken over once it has one": {
			events: []event.Event{
				newsFrom("h9", event.JobSeen{Job: "j1", Host: "h9", Incarnation: "1"}),
				event.Tick{}, // this host's turn comes after that of another one
				event.JobTaken{Job: "j1", Kind: kinds.NotFound},
				newsFrom("", event.JobSeen{Job: "j1", Host: "h9", Incarnation: "1"}),
			},
			check: func(r *rig) any { return taken(r) },
			want:  []event.TakeJob{{Job: "j1", Host: "h9"}, {Job: "j1", Host: "h9"}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.tick(startupGrace)
			for _, ev := range c.events {
				r.step(ev)
				r.tick(rankDelay)
			}
			r.tick(rankDelay)
			if diff := cmp.Diff(c.want, c.check(r)); diff != "" {
				t.Errorf("effects (-want +got):\n%s", diff)
			}
		})
	}
}

// A caller submits a step twice to its owner, whose first answer from the store was lost while another host announced
// itself. The owner must list the results although the second submission names the other host.
func TestSubmissionFindsItselfAsOwner(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	head := testHead(1, 1, noHints)
	self := event.JobSeen{Job: "j1", Host: "h1", Incarnation: "1"}
	r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: head})
	r.step(event.JobKept{Seq: 1, Job: "j1", Kind: kinds.OutcomeUnknown})
	r.step(newsFrom("h2", event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}))
	r.step(event.JobCalled{Seq: 2, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: head})
	r.step(event.JobKept{Seq: 2, Job: "j1", Kind: kinds.Conflict, Owner: self})
	run := take[event.RunItem](r)[0]
	r.step(event.ItemEnded{Job: "j1", Item: run.Item, Attempt: run.Attempt, Events: 1, Versions: []uint64{1}})
	r.tick(maxListDelay + 100*time.Millisecond)
	if diff := cmp.Diff([]event.StoreChunk{{Job: "j1", Items: []int{0}, Down: []bool{false}}}, take[event.StoreChunk](r)); diff != "" {
		t.Errorf("chunks (-want +got):\n%s", diff)
	}
}

// The store has named a job's owner, which is gone, and a host that began the job as well still claims the same epoch: its message
// was under way, or it has not heard from the store. The job stood still until that host had been asked.
func TestClaimAfterTheStoreRecord(t *testing.T) {
	const gone = "h9"
	stored := event.JobSeen{Job: "j1", Host: gone, Incarnation: "1"}
	claim := newsFrom("h2", event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1", Next: "h2"})
	submitted := event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 1, noHints)}
	unknown := event.JobKept{Seq: 1, Job: "j1", Kind: kinds.OutcomeUnknown}
	met := event.JobKept{Seq: 1, Job: "j1", Kind: kinds.Conflict, Owner: stored}
	cases := map[string][]event.Event{
		"read at a check":                {newsFrom("", stored), claim},
		"read at a check, claimed first": {claim, newsFrom("", stored)},
		"listed":                         {event.JobsListed{Jobs: []event.JobSeen{stored}}, claim},
		"listed, claimed first":          {claim, event.JobsListed{Jobs: []event.JobSeen{stored}}},
		"met by a submission":            {submitted, met, claim},
		"met, claimed first":             {submitted, claim, met},
		"met, begun here":                {submitted, unknown, met, claim},
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.tick(startupGrace)
			for _, ev := range events {
				r.step(ev)
			}
			for range 4 {
				r.tick(rankDelay)
			}
			if diff := cmp.Diff([]event.TakeJob{{Job: "j1", Host: gone}}, take[event.TakeJob](r)); diff != "" {
				t.Errorf("takeovers (-want +got):\n%s", diff)
			}
		})
	}
}

// Readers and submissions that come again and again repeat whom this host takes for a job's owner, which may be a host that is
// alive and does not know the job. They put off the question to that host without end, and nobody ran the job.
func TestSilentOwnerIsQueried(t *testing.T) {
	owner := event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}
	const interval = 500 * time.Millisecond
	cases := map[string]func(r *rig, n uint64){
		"nobody asks": func(*rig, uint64) {},
		"read":        func(r *rig, _ uint64) { r.step(event.JobSought{Seen: owner}) },
		"submitted": func(r *rig, n uint64) {
			r.step(event.JobCalled{Seq: n, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 1, noHints)})
			r.step(event.JobKept{Seq: n, Job: "j1", Kind: kinds.Conflict, Owner: owner})
		},
	}
	for name, ask := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.tick(startupGrace)
			r.step(newsFrom("h2", owner))
			r.effects = nil
			for n := range uint64(2 * ownerSilenceTimeout / interval) {
				r.tick(interval)
				ask(r, n+1)
			}
			r.tick(interval)
			news := wire.JobNews(owner)
			want := event.SendPeer{Host: "h2", Message: wire.Message{News: &news}}
			if diff := cmp.Diff([]event.SendPeer{want, want}, take[event.SendPeer](r)); diff != "" {
				t.Errorf("messages (-want +got):\n%s", diff)
			}
		})
	}
}

// Power returns to all hosts at once, and no host has heard another one yet. A job whose owner's process is known to be
// gone must be taken over at once; any other owner may be alive.
func TestTakeoverAtAStart(t *testing.T) {
	owner := event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}
	self := event.Host{Name: "h1", Zone: "a", Incarnation: "1"}
	cases := map[string]struct {
		hosts []event.Host
		early bool
	}{
		"the owner's host has started again": {[]event.Host{self, {Name: "h2", Incarnation: "2"}}, true},
		"the owner's process is listed":      {[]event.Host{self, {Name: "h2", Incarnation: "1"}}, false},
		"the owner's host is not listed":     {[]event.Host{self}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.alive = r.alive[:1]
			r.step(event.HostsChanged{Hosts: c.hosts})
			r.step(event.JobsListed{Jobs: []event.JobSeen{owner}})
			r.tick(10 * time.Millisecond)
			r.tick(rankDelay)
			if diff := cmp.Diff(c.early, len(take[event.TakeJob](r)) > 0); diff != "" {
				t.Errorf("taken over before other hosts are heard (-want +got):\n%s", diff)
			}
			r.tick(startupGrace)
			r.tick(2 * rankDelay)
			if diff := cmp.Diff([]event.TakeJob{{Job: "j1", Host: "h2"}}, take[event.TakeJob](r)); diff != "" {
				t.Errorf("takeovers in all (-want +got):\n%s", diff)
			}
		})
	}
}

// A job's owner stops, and its caller submits the job again to the host that is taking it over. Each item must run once at a
// time, whichever answer of the store comes first: two runs would add their events to one text.
func TestSubmissionDuringATakeover(t *testing.T) {
	const items = 4
	self := event.JobSeen{Job: "j1", Host: "h1", Incarnation: "1", Epoch: 1}
	head := testHead(1, items, noHints)
	taken := event.JobTaken{Job: "j1", Epoch: 1, Head: head, Chunks: 1, Listed: []int{0}}
	taken.Head.ID, taken.Head.Route, taken.Head.GiveUp = "j1", "rollouts", time.Hour
	submitted := event.JobCalled{Seq: 7, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: head}
	cases := map[string]struct {
		events []event.Event
		want   int // runs
	}{
		"the store names this host, then the takeover ends": {[]event.Event{submitted, event.JobKept{Seq: 7, Job: "j1", Kind: kinds.Conflict, Owner: self}, taken}, items - 1},
		"the takeover ends first":                           {[]event.Event{submitted, taken, event.JobKept{Seq: 7, Job: "j1", Kind: kinds.Conflict, Owner: self}}, items - 1},
		"the items ran before the store answered":           {[]event.Event{submitted, event.JobKept{Seq: 7, Job: "j1", Kind: kinds.OutcomeUnknown}, taken}, items},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
			r.tick(startupGrace)
			r.step(newsFrom("h2", event.JobSeen{Job: "j1", Next: "h1"})) // its owner has released it
			r.tick(10 * time.Millisecond)
			if got := len(take[event.TakeJob](r)); got != 1 {
				t.Fatalf("%d takeovers, want 1", got)
			}
			for _, ev := range c.events {
				r.step(ev)
			}
			r.tick(100 * time.Millisecond)
			if diff := cmp.Diff(c.want, len(take[event.RunItem](r))); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
			if j := r.p.jobs["j1"]; j == nil || j.unstored || j.chunks != 1 || j.unlisted != items-1 {
				t.Errorf("job = %+v, want it stored with one listed item", j)
			}
		})
	}
}

// newsFrom returns news of a job from a host, or from the store's record when the host is "".
func newsFrom(host string, s event.JobSeen) event.PeerReceived {
	news := wire.JobNews(s)
	return event.PeerReceived{Host: host, Message: wire.Message{News: &news}}
}
