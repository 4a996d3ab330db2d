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

// A host that had begun a job before it was stored, while another host stored it, took its own copy of the job for the store's record,
// which names itself, and listed results beside the owner.
func TestOwnerIsReadFromTheStore(t *testing.T) {
	store := &memoryStore{objects: map[string]wire.Object{}}
	var kept event.JobKept
	x := &Executor{Host: "h2", Incarnation: "1", Store: store, Now: func() time.Duration { return time.Minute }}
	x.Post = func(ev event.Event) bool {
		kept = ev.(event.JobKept)
		return true
	}
	x.Prepare()
	own := testJob()
	own.Host, own.Incarnation = "h2", "1"
	stored := own
	stored.Host, stored.Incarnation = "h1", "7"
	value, err := encode(stored)
	if err != nil {
		t.Fatal(err)
	}
	store.objects[wire.PrefixJobs+own.ID] = wire.Object{Name: wire.PrefixJobs + own.ID, Version: 1, Writer: "h1/7/1", Value: value}
	x.jobTable.add(own)
	x.storeJob(context.Background(), event.KeepJob{Seq: 3, Job: own.ID, Organisation: own.Organisation, Host: "h2", Incarnation: "1", Budget: time.Second})
	want := event.JobKept{Seq: 3, Job: own.ID, Kind: kinds.Conflict, Owner: event.JobSeen{Job: own.ID, Host: "h1", Incarnation: "7"}, Organisation: stored.Organisation}
	if diff := cmp.Diff(want, kept); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// A host that is taken for the owner of a job learns from the store who owns it. It learnt nothing of a job that no host had taken
// over, so that hosts that took each other for the owner went on doing so, and nobody ran the job.
func TestCheckedOwner(t *testing.T) {
	news := func(n wire.JobNews) []event.Event {
		return []event.Event{event.PeerReceived{Message: wire.Message{News: &n}}}
	}
	cases := map[string]struct {
		before func(x *Executor, store *memoryStore)
		want   []event.Event
		reads  int
	}{
		"taken over":       {ownerRecord, news(wire.JobNews{Job: "j1", Host: "h3", Incarnation: "1", Epoch: 1}), 1},
		"never taken over": {nil, news(wire.JobNews{Job: "j1", Host: "h2", Incarnation: "7"}), 2},
		"never taken over, begun here as well": {func(x *Executor, _ *memoryStore) {
			job := testJob()
			job.Host, job.Incarnation = "h1", "1"
			x.jobTable.add(job)
			x.jobTable.markStored("j1", job.Organisation)
		}, news(wire.JobNews{Job: "j1", Host: "h2", Incarnation: "7"}), 2},
		"runs here":  {func(x *Executor, _ *memoryStore) { x.jobTable.addStored(testJob()); x.jobTable.setOwned("j1", true) }, nil, 1},
		"not stored": {func(_ *Executor, store *memoryStore) { delete(store.objects, jobObject) }, nil, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, _ := newExecutor(t)
			var got []event.Event
			x.Post = func(ev event.Event) bool { got = append(got, ev); return true }
			stored := testJob()
			stored.Host, stored.Incarnation = "h2", "7"
			store.seed(t, jobObject, stored)
			if c.before != nil {
				c.before(x, store)
			}
			store.reads = 0
			x.checkOwner(context.Background(), "j1")
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if store.reads != c.reads {
				t.Errorf("%d calls to the store, want %d", store.reads, c.reads)
			}
		})
	}
}

// A submission whose caller had left was stored as the copy of another host's job, with that host as its owner, and run here; or as
// another organisation's job.
func TestSubmissionWhoseCallerHasLeft(t *testing.T) {
	cases := map[string]struct {
		organisation string // of the copy
		kind         kinds.Kind
		owner        string
	}{
		"of the job that is copied here": {"North", "", "h1"},
		"another organisation's copy":    {"South", kinds.Internal, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, _ := newExecutor(t)
			delete(store.objects, wire.PrefixJobs+"j1")
			var kept event.JobKept
			x.Post = func(ev event.Event) bool { kept = ev.(event.JobKept); return true }
			job := testJob()
			job.Organisation = c.organisation
			x.applyCopies([]jobCopy{{Job: "j1", Body: &job}})
			x.storeJob(context.Background(), event.KeepJob{Seq: 1, Job: "j1", Organisation: "North", Host: "h1", Incarnation: "1", Budget: time.Second})
			stored, _ := x.readJob(context.Background(), "j1") // no job when there is none
			owner := x.currentOwner(context.Background(), stored)
			if diff := cmp.Diff([]any{c.kind, c.owner, c.owner != ""}, []any{kept.Kind, owner.Host, x.jobTable.owns("j1")}); diff != "" {
				t.Errorf("outcome, stored owner, owned here (-want +got):\n%s", diff)
			}
		})
	}
}
