package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// A job that was never stored stayed in memory, as one that this host runs, at its host and at those with copies.
func TestJobThatIsNotStoredIsDropped(t *testing.T) {
	const second, notTold = time.Second, "not told"
	submitted := event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 2, noHints)}
	refused := event.JobKept{Seq: 1, Job: "j1", Kind: kinds.StoreRefused}
	unknown := event.JobKept{Seq: 1, Job: "j1", Kind: kinds.OutcomeUnknown}
	notFound := event.JobTaken{Job: "j1", Kind: kinds.NotFound}
	foreign := event.JobKept{Seq: 1, Job: "j1", Kind: kinds.Conflict, Organisation: "South", Owner: event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}}
	foreignHere := foreign
	foreignHere.Owner.Host = "h1"
	giveUpAfter := testSite().Routes["rollouts"].Jobs.GiveUpAfter
	type step struct {
		ev    event.Event
		after time.Duration
	}
	type end struct {
		Drops int
		Owner string // whom this host's readers and copies go by
		Runs  bool
	}
	cases := map[string]struct {
		steps []step
		want  end
	}{
		"a takeover finds no record":                          {[]step{{notFound, 0}}, end{Drops: 1}},
		"a takeover finds none of a job that is submitted":    {[]step{{submitted, 0}, {notFound, 0}}, end{Owner: notTold}},
		"a takeover finds none of a job that was begun":       {[]step{{submitted, 0}, {unknown, 0}, {notFound, 0}}, end{Owner: "h1", Runs: true}},
		"refused until its deadline":                          {[]step{{submitted, second}, {refused, giveUpAfter}, {refused, 0}}, end{Drops: 1}},
		"unknown until its deadline":                          {[]step{{submitted, 0}, {unknown, giveUpAfter}, {unknown, 0}}, end{Drops: 1}},
		"the id is another organisation's":                    {[]step{{submitted, second}, {foreign, 0}}, end{Drops: 1, Owner: "h2"}},
		"another organisation's, with this host as its owner": {[]step{{submitted, second}, {foreignHere, 0}}, end{Drops: 1, Owner: "h1"}},
		"unknown once this host's drain is over":              {[]step{{submitted, 0}, {event.StopAsked{}, second}, {event.Tick{}, second}, {unknown, 0}}, end{Runs: true}},
		"refused while this host stops":                       {[]step{{submitted, second}, {event.StopAsked{}, second}, {refused, second}}, end{Runs: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			for _, s := range c.steps {
				r.step(s.ev)
				if s.after > 0 {
					r.tick(s.after)
				}
			}
			got := end{Owner: notTold, Drops: len(take[event.DropJob](r)), Runs: r.p.jobs["j1"] != nil}
			for _, known := range take[event.KnowJob](r) {
				got.Owner = known.Seen.Host
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("end (-want +got):\n%s", diff)
			}
			r.tick(second)
		})
	}
}

// A host that had begun an organisation's job before it was stored took another organisation's job of the same id over as that one:
// its items ran and were listed as the other job's.
func TestTakeoverOfAnotherOrganisationsJob(t *testing.T) {
	for name, groups := range map[string]int{"with more items": 4, "with fewer items": 1} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(2, 2, noHints)})
			r.step(event.JobKept{Seq: 1, Job: "j1", Kind: kinds.OutcomeUnknown})
			r.tick(time.Second)
			began := len(take[event.RunItem](r))
			theirs := testHead(groups, 2, noHints)
			theirs.ID, theirs.Organisation, theirs.Route = "j1", "South", "rollouts"
			theirs.Due, theirs.GiveUp = r.now+7*time.Second, r.now+40*time.Second
			last := len(theirs.Items) - 1
			r.step(event.JobTaken{Job: "j1", Epoch: 1, Head: theirs, Listed: []int{last}, Chunks: 1})
			r.step(event.JobKept{Seq: 1, Job: "j1", Kind: kinds.Conflict, Organisation: "South", Owner: event.JobSeen{Job: "j1", Host: "h1", Incarnation: "1", Epoch: 1}})
			r.tick(time.Second)
			type end struct {
				Organisation           string
				Items, Unlisted, Drops int
				Stopped                int // of the runs that had begun
			}
			j := r.p.jobs["j1"]
			got := end{j.head.Organisation, len(j.items), j.unlisted, len(take[event.DropJob](r)), len(take[event.StopItem](r))}
			if diff := cmp.Diff(end{"South", 2 * groups, 2*groups - 1, 0, began}, got); diff != "" || began == 0 {
				t.Errorf("%d runs had begun; end (-want +got):\n%s", began, diff)
			}
		})
	}
}

// Guards against another organisation's job that the store holds with this host as its owner, by a submission at a host that took
// the own unstored job for it, and that nobody runs.
func TestStoredJobOfAnotherOrganisationIsTakenOver(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 2, noHints)})
	r.tick(time.Second)
	r.step(event.JobKept{Seq: 1, Job: "j1", Kind: kinds.Conflict, Organisation: "South", Owner: event.JobSeen{Job: "j1", Host: "h1", Incarnation: "1"}})
	r.tick(time.Second)
	r.tick(time.Second)
	if n := len(take[event.TakeJob](r)); n != 1 {
		t.Errorf("%d takeovers, want one", n)
	}
}

// A submission made another organisation's job of the same id, which this host had begun while both were being stored, the stored
// one: its items ran and were listed for the wrong organisation.
func TestSubmissionsOfOneIDByTwoOrganisations(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	submit := func(seq uint64) {
		r.step(event.JobCalled{Seq: seq, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 2, noHints)})
	}
	submit(1)
	r.organisation = "South"
	submit(2)
	r.tick(time.Second) // North's begins
	submit(3)
	type answer struct {
		Seq  uint64
		Kind kinds.Kind
	}
	var got []answer
	for _, a := range take[event.JobAnswer](r) {
		got = append(got, answer{a.Seq, a.Kind})
	}
	if diff := cmp.Diff([]answer{{2, kinds.StoreRefused}, {3, kinds.Forbidden}}, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if n := len(take[event.KeepJob](r)); n != 1 {
		t.Errorf("%d submissions are being stored, want one", n)
	}
}
