package items

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// southJob returns another organisation's job that has the id of testJob and fewer items.
func southJob() wire.Job {
	job := testJob()
	job.Organisation, job.Items = "South", job.Items[:2]
	return job
}

// A submission that the store doesn't answer was run on the copy of another organisation's job of the same id: with the bodies and
// texts of the other one, and beyond its last item, which ended the host.
func TestSubmissionBesideACopyOfAnotherOrganisationsJob(t *testing.T) {
	cases := map[string]struct {
		owned bool // this host has taken the other job over meanwhile
		call  func(x *Executor, e event.KeepJob)
		want  []any // organisation, number of items and of texts with events, whether it runs here
	}{
		"begun before it is stored": {false, func(x *Executor, e event.KeepJob) { x.beginJob(event.BeginJob{Keep: e}) }, []any{"North", 4, 0, true}},
		"the outcome is unknown":    {false, func(x *Executor, e event.KeepJob) { x.storeJob(context.Background(), e) }, []any{"North", 4, 0, true}},
		"begun, the other runs here": {
			true, func(x *Executor, e event.KeepJob) { x.beginJob(event.BeginJob{Keep: e}) }, []any{"South", 2, 1, true},
		},
		"unknown, the other runs here": {
			true, func(x *Executor, e event.KeepJob) {
				e.Host = "h2"
				x.storeJob(context.Background(), e)
			}, []any{"South", 2, 1, true},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store := beganElsewhere(t, southJob())
			x.jobTable.setOwned("j1", c.owned)
			store.nextLoss = func() loss { return lossChange }
			keep := event.KeepJob{Seq: 1, Job: "j1", Organisation: "North", GiveUp: time.Minute, Host: x.Host, Incarnation: x.Incarnation}
			own := testJob()
			own.Host = x.Host
			x.submissions[keep.Seq], x.storing[keep.Seq] = own, own
			c.call(x, keep)
			j := x.jobTable.get("j1")
			got := []any{j.job.Organisation, len(j.texts), len(j.heldItems()), j.owned}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("job in memory (-want +got):\n%s", diff)
			}
		})
	}
}

// A host ended when an item was to run, or to be scored, of a job in whose place another one of that id has been stored.
func TestItemOfAJobThatWasReplaced(t *testing.T) {
	x, _, _ := newExecutor(t)
	x.jobTable.addSubmitted(testJob(), true)
	x.jobTable.addStored(southJob())
	var scored event.ItemScored
	x.Post = func(e event.Event) bool {
		scored = e.(event.ItemScored)
		return true
	}
	x.score(event.ScoreItem{Job: "j1", Item: 3})
	ran := x.run(context.Background(), func() {}, event.RunItem{Job: "j1", Item: 3, Attempt: 1, Silence: time.Second})
	if diff := cmp.Diff([]any{kinds.NotFound, event.ReasonBodyMissing}, []any{scored.Kind, ran.Reason}); diff != "" {
		t.Errorf("ends of the score call and of the run (-want +got):\n%s", diff)
	}
}

// Copies of two organisations' jobs of one id must not be mixed: their host may take over either.
func TestCopiesOfTwoJobsOfOneID(t *testing.T) {
	north, south := testJob(), southJob()
	part := func(from int, data string) []textCopy {
		return []textCopy{{From: from, Events: from + 1, Last: "1", Versions: []uint64{1}, Data: []byte(data)}}
	}
	type held struct {
		Fits, Stored       bool
		Organisation, Text string
	}
	cases := map[string]struct {
		before, then jobCopy
		want         held
	}{
		"neither is stored":       {jobCopy{Body: &south, Parts: part(0, "s")}, jobCopy{Body: &north, Parts: part(0, "n")}, held{true, false, "North", "n"}},
		"the first is stored":     {jobCopy{Body: &south, Stored: true, Parts: part(0, "s")}, jobCopy{Body: &north, Parts: part(0, "n")}, held{false, true, "South", "s"}},
		"the second is stored":    {jobCopy{Body: &south, Parts: part(0, "s")}, jobCopy{Body: &north, Stored: true, Parts: part(0, "n")}, held{true, true, "North", "n"}},
		"without the body":        {jobCopy{Body: &south, Parts: part(0, "s")}, jobCopy{Organisation: "North", Parts: part(1, "n")}, held{false, false, "South", "s"}},
		"found in the store":      {jobCopy{Body: &south, Parts: part(0, "s")}, jobCopy{Organisation: "North", Stored: true}, held{false, false, "South", "s"}},
		"the same, as it goes on": {jobCopy{Body: &south, Parts: part(0, "s")}, jobCopy{Organisation: "South", Stored: true, Parts: part(1, "t")}, held{true, true, "South", "st"}},
		"of an older build":       {jobCopy{Body: &south, Parts: part(0, "s")}, jobCopy{Parts: part(1, "t")}, held{true, false, "South", "st"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, _ := newExecutor(t)
			c.before.Job, c.then.Job = "j1", "j1"
			x.applyCopies([]jobCopy{c.before})
			fits := x.applyCopies([]jobCopy{c.then})
			j := x.jobTable.get("j1")
			got := held{fits, j.stored, j.job.Organisation, string(j.texts[0].text.data)}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("copy (-want +got):\n%s", diff)
			}
		})
	}
}

// readsOnce is a store that answers a number of reads and then none.
type readsOnce struct {
	*memoryStore
	left int
}

func (r *readsOnce) Get(ctx context.Context, name string) (wire.Object, error) {
	if r.left--; r.left < 0 {
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "away")
	}
	return r.memoryStore.Get(ctx, name)
}

// A submission whose id is another organisation's was answered as accepted when the store stopped to answer after the conflict.
func TestConflictTellsWhoseJobItIs(t *testing.T) {
	for reads, want := range []event.JobKept{
		{Kind: kinds.OutcomeUnknown, Owner: event.JobSeen{Job: "j1"}},
		{Kind: kinds.Conflict, Organisation: "South", Owner: event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}},
		{Kind: kinds.Conflict, Organisation: "South", Owner: event.JobSeen{Job: "j1", Host: "h3", Incarnation: "2", Epoch: 4}},
	} {
		x, store, _ := newExecutor(t)
		store.seed(t, jobObject, southJob())
		store.objects[ownerObject] = wire.Object{Name: ownerObject, Version: 1, Value: []byte(`{"Host":"h3","Incarnation":"2","Epoch":4}`)}
		x.Store = &readsOnce{store, reads}
		var got event.JobKept
		x.Post = func(e event.Event) bool {
			got = e.(event.JobKept)
			return true
		}
		x.submissions[1] = testJob()
		x.storeJob(context.Background(), event.KeepJob{Seq: 1, Job: "j1", Organisation: "North", GiveUp: time.Minute, Host: x.Host, Incarnation: "1"})
		want.Seq, want.Job = 1, "j1"
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("outcome after %d reads (-want +got):\n%s", reads, diff)
		}
	}
}
