package items

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// outcome is what a call about a job leaves in the store, by name, and its kind.
type outcome struct {
	Kind    kinds.Kind
	Objects []string
}

const (
	jobObject   = wire.PrefixJobs + "j1"
	ownerObject = wire.PrefixOwners + "j1"
)

// beganElsewhere returns a host with a copy of job j1, which another host began while the store accepted nothing.
func beganElsewhere(t *testing.T, job wire.Job) (*Executor, *memoryStore) {
	t.Helper()
	x, store, _ := newExecutor(t)
	delete(store.objects, jobObject)
	if !x.applyCopies([]jobCopy{{Job: "j1", Body: &job, Parts: []textCopy{{Events: 1, Last: "1", Versions: []uint64{1}, Data: []byte("a")}}}}) {
		t.Fatal("the copy does not fit")
	}
	return x, store
}

func expiredJob() wire.Job {
	job := testJob()
	job.Submitted -= job.GiveUpMS
	return job
}

// A host took a job over from a copy of one that was never stored: it answered later submissions with 202, and nobody could read
// the job once it was dropped there.
func TestOwnerIsRecordedOnlyOfAStoredJob(t *testing.T) {
	takes := func(x *Executor) kinds.Kind {
		return x.tryTakeOver(context.Background(), event.TakeJob{Job: "j1", Host: "h2"}, &event.JobTaken{})
	}
	ends := func(x *Executor) kinds.Kind { return x.tryEndJob(context.Background(), "j1", &ending{}) }
	foreign := testJob()
	foreign.Organisation = "South"
	both := []string{jobObject, ownerObject}
	cases := map[string]struct {
		job    wire.Job // of the copy
		before func(x *Executor, store *memoryStore)
		call   func(x *Executor) kinds.Kind
		want   outcome
	}{
		"taken over":                           {testJob(), nil, takes, outcome{"", both}},
		"taken over past its deadline":         {expiredJob(), nil, takes, outcome{kinds.NotFound, nil}},
		"ended":                                {testJob(), nil, ends, outcome{"", both}},
		"ended past its deadline":              {expiredJob(), nil, ends, outcome{kinds.NotFound, nil}},
		"taken over, the store refuses":        {testJob(), loses(lossRefused), takes, outcome{kinds.StoreRefused, nil}},
		"ended, the store refuses":             {testJob(), loses(lossRefused), ends, outcome{kinds.StoreRefused, nil}},
		"taken over, the answer is lost":       {testJob(), loses(lossAnswer), takes, outcome{kinds.StoreUnavailable, []string{jobObject}}},
		"ended, the answer is lost":            {testJob(), loses(lossAnswer), ends, outcome{kinds.StoreUnavailable, []string{jobObject}}},
		"taken over, stored meanwhile":         {testJob(), storedMeanwhile(t, testJob()), takes, outcome{"", both}},
		"taken over, another has the id":       {testJob(), storedMeanwhile(t, foreign), takes, outcome{"", both}},
		"taken over without a copy":            {testJob(), dropsCopy, takes, outcome{kinds.NotFound, nil}},
		"ended without a copy":                 {testJob(), dropsCopy, ends, outcome{kinds.NotFound, nil}},
		"ended, known by another host's claim": {testJob(), knownByClaim, ends, outcome{kinds.StoreRefused, nil}},
		"ended, known to have no owner":        {testJob(), knownWithoutOwner, ends, outcome{kinds.NotFound, nil}},
		"taken over, an older build's record":  {expiredJob(), ownerRecord, takes, outcome{kinds.NotFound, nil}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store := beganElsewhere(t, c.job)
			if c.before != nil {
				c.before(x, store)
			}
			got := outcome{Kind: c.call(x), Objects: store.names()}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// loses has the first change in the store lost in a way.
func loses(first loss) func(*Executor, *memoryStore) {
	return func(_ *Executor, store *memoryStore) {
		changes := 0
		store.nextLoss = func() loss {
			if changes++; changes == 1 {
				return first
			}
			return lossNone
		}
	}
}

// storedMeanwhile has a job stored just before this host writes it.
func storedMeanwhile(t *testing.T, job wire.Job) func(*Executor, *memoryStore) {
	return func(_ *Executor, store *memoryStore) {
		store.nextLoss = func() loss {
			store.nextLoss = nil
			store.seed(t, jobObject, job)
			return lossNone
		}
	}
}

func dropsCopy(x *Executor, _ *memoryStore) { x.jobTable.drop("j1") }

func knownByClaim(x *Executor, _ *memoryStore) {
	x.jobTable.drop("j1")
	x.jobTable.setOwner(event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"})
}

func knownWithoutOwner(x *Executor, store *memoryStore) {
	knownByClaim(x, store)
	x.jobTable.setOwner(event.JobSeen{Job: "j1"})
}

func ownerRecord(_ *Executor, store *memoryStore) {
	store.objects[ownerObject] = wire.Object{Name: ownerObject, Version: 1, Value: []byte(`{"Host":"h3","Incarnation":"1","Epoch":1}`)}
}

// A job that is stored under the id of a copy's job may be another organisation's, whose items must not be run or read from the
// copy.
func TestCopyOfAnotherOrganisationsJob(t *testing.T) {
	x, store := beganElsewhere(t, testJob())
	theirs := testJob()
	theirs.Organisation, theirs.Items = "South", theirs.Items[:2]
	store.seed(t, jobObject, theirs)
	if page, err := x.Page(context.Background(), "j1", 0, 0); err != nil || page.Organisation != "South" {
		t.Errorf("page = %+v, %v; want that of the stored job", page, err)
	}
	var done event.JobTaken
	if kind := x.tryTakeOver(context.Background(), event.TakeJob{Job: "j1", Host: "h2"}, &done); kind != "" {
		t.Fatalf("kind %q", kind)
	}
	if diff := cmp.Diff([]any{"South", 2, 0}, []any{done.Head.Organisation, len(done.Head.Items), len(done.Held)}); diff != "" {
		t.Errorf("organisation, items and texts (-want +got):\n%s", diff)
	}
}

// Readers must not be told of a job that only a copy knows: it may never be accepted.
func TestReadsOfAJobThatIsNotStored(t *testing.T) {
	x, store := beganElsewhere(t, testJob())
	read := func() []kinds.Kind {
		_, pageErr := x.Page(context.Background(), "j1", 0, 0)
		_, _, bodyErr := x.Body(context.Background(), "j1", "i0")
		return []kinds.Kind{kinds.KindOf(pageErr), kinds.KindOf(bodyErr)}
	}
	if diff := cmp.Diff([]kinds.Kind{kinds.NotFound, kinds.NotFound}, read()); diff != "" {
		t.Errorf("before it is stored (-want +got):\n%s", diff)
	}
	store.seed(t, jobObject, testJob())
	if diff := cmp.Diff([]kinds.Kind{"", ""}, read()); diff != "" {
		t.Errorf("once it is stored (-want +got):\n%s", diff)
	}
}

// A takeover from a copy must not cost a read of the whole job when the owner has told that the store holds it.
func TestCopiesTellWhetherTheJobIsStored(t *testing.T) {
	x, store, peers := newExecutor(t)
	other, otherStore, _ := newExecutor(t)
	delete(store.objects, jobObject)
	peers.copyTo = other
	job := testJob()
	job.Host = x.Host
	keep := event.KeepJob{Seq: 1, Job: "j1", Organisation: job.Organisation, GiveUp: time.Minute, Host: x.Host, Incarnation: x.Incarnation, Budget: time.Second}
	x.storing[keep.Seq] = job
	x.beginJob(event.BeginJob{Keep: keep})
	x.setCopyHost(event.CopyJob{Job: "j1", To: "h3"})
	x.sendCopies(context.Background())
	_, before := other.jobTable.storedJob("j1")
	x.storeJob(context.Background(), keep)
	x.sendCopies(context.Background())
	_, after := other.jobTable.storedJob("j1")
	if diff := cmp.Diff([]bool{false, true}, []bool{before, after}); diff != "" {
		t.Errorf("known to be stored, before and after (-want +got):\n%s", diff)
	}
	x.sendCopies(context.Background())
	if diff := cmp.Diff(2, len(peers.copies)); diff != "" {
		t.Errorf("copies sent (-want +got):\n%s", diff)
	}
	if kind := other.tryTakeOver(context.Background(), event.TakeJob{Job: "j1", Host: "h2"}, &event.JobTaken{}); kind != "" {
		t.Fatalf("kind %q", kind)
	}
	if diff := cmp.Diff(3, otherStore.reads); diff != "" { // the owner, the chunks, the texts
		t.Errorf("reads (-want +got):\n%s", diff)
	}
}

// TestOwnersHaveJobs has hosts with copies store, take over and end a job in any order while calls to the store fail. At no time
// may an owner's record be there without the job.
func TestOwnersHaveJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &memoryStore{objects: map[string]wire.Object{}}
		store.nextLoss = func() loss { return loss(rapid.IntRange(int(lossNone), int(lossRefused)).Draw(rt, "loss")) }
		var hosts []*Executor
		for _, name := range []string{"h1", "h2", "h3"} {
			x := &Executor{Host: name, Incarnation: "1", Store: store, Peers: &fakePeers{running: map[string]bool{}}, Now: func() time.Duration { return 0 }}
			x.Post = func(event.Event) bool { return true }
			x.Prepare()
			job := testJob()
			job.Host = "h1"
			if name == "h1" {
				x.jobTable.add(job)
			} else {
				x.applyCopies([]jobCopy{{Job: "j1", Body: &job}})
			}
			hosts = append(hosts, x)
		}
		ctx := context.Background()
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			x := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]
			switch rapid.IntRange(0, 2).Draw(rt, "call") {
			case 0:
				x.storeJob(ctx, event.KeepJob{Seq: 1, Job: "j1", Organisation: "North", GiveUp: time.Minute, Host: x.Host, Incarnation: "1"})
			case 1:
				x.tryTakeOver(ctx, event.TakeJob{Job: "j1", Host: "h1", Epoch: 9}, &event.JobTaken{})
			case 2:
				x.tryEndJob(ctx, "j1", &ending{})
			}
			if names := strings.Join(store.names(), " "); strings.Contains(names, ownerObject) && !strings.Contains(names, jobObject) {
				rt.Fatalf("the store holds %s only", names)
			}
		}
	})
}
