package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// Many trainers submit steps of many groups, and each chunk costs a call to the store. Whole groups must wait to be listed
// together until the trainer has all the groups that it waits for, since it gains nothing from the earlier ones alone.
func TestListingWaitsForTheTrainer(t *testing.T) {
	const groups, size = 3, 2
	cases := map[string]struct {
		target int
		ends   []int         // items that end at the start, in order
		due    time.Duration // of the job, from now
		want   []int         // sizes of the chunks within 500 ms
		later  []int         // sizes of all chunks after another maxListDelay
	}{
		"part of a group":    {groups, []int{0}, time.Minute, nil, []int{1}},
		"first group":        {groups, []int{0, 1}, time.Minute, nil, []int{2}},
		"groups in a row":    {groups, []int{0, 1, 2, 3}, time.Minute, nil, []int{4}},
		"last awaited group": {2, []int{0, 1, 2, 3}, time.Minute, []int{4}, []int{4}},
		"all groups":         {groups, []int{0, 1, 2, 3, 4, 5}, time.Minute, []int{6}, []int{6}},
		"due soon":           {groups, []int{0, 1}, time.Second, []int{2}, []int{2}},
		"no target":          {0, []int{0, 1, 2, 3}, time.Minute, nil, []int{4}},
		"beyond the target":  {1, []int{0, 1, 2}, time.Minute, []int{2}, []int{2, 1}},
		"past its due time":  {groups, []int{0, 1}, -time.Second, nil, []int{2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
			head := testHead(groups, size, noHints)
			head.Target = c.target
			r.submit("j1", head)
			r.p.jobs["j1"].head.Due = r.now + c.due
			attempts := map[int]uint64{}
			for _, run := range take[event.RunItem](r) {
				attempts[run.Item] = run.Attempt
			}
			for _, i := range c.ends {
				r.step(event.ItemEnded{Job: "j1", Item: i, Attempt: attempts[i], Events: 1, Versions: []uint64{1}})
			}
			if diff := cmp.Diff(c.want, r.chunks(500*time.Millisecond)); diff != "" {
				t.Errorf("chunks at once (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.later, r.chunks(maxListDelay)); diff != "" {
				t.Errorf("chunks in all (-want +got):\n%s", diff)
			}
		})
	}
}

// A step whose groups become whole one by one shortly before it is due must list them at intervals: each chunk sends the
// reader away for listInterval, and the last one would find it away.
func TestListingBeforeTheDueTime(t *testing.T) {
	r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
	head := testHead(4, 1, noHints)
	r.submit("j1", head)
	r.p.jobs["j1"].head.Due = r.now + dueMargin
	for _, run := range take[event.RunItem](r) {
		r.step(event.ItemEnded{Job: "j1", Item: run.Item, Attempt: run.Attempt, Events: 1, Versions: []uint64{1}})
		r.chunks(100 * time.Millisecond)
		if run.Item == 2 {
			break
		}
	}
	if diff := cmp.Diff([]int{1}, r.chunks(100*time.Millisecond)); diff != "" {
		t.Errorf("chunks within listInterval (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{1, 2}, r.chunks(listInterval)); diff != "" {
		t.Errorf("chunks after it (-want +got):\n%s", diff)
	}
}

// Power fails on all hosts after steps whose results are all listed. The hosts that start must find those steps ended, and
// not read all their results to take them over: the owner has the end stored, once, and answers no caller by it.
func TestEndOfAListedJobIsStored(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.submit("j1", testHead(1, 2, noHints))
	for _, run := range take[event.RunItem](r) {
		r.step(event.ItemEnded{Job: "j1", Item: run.Item, Attempt: run.Attempt, Events: 1, Versions: []uint64{1}})
	}
	r.chunks(time.Second)
	if diff := cmp.Diff([]event.EndJob{{Job: "j1", Budget: listedEndBudget, Listed: true}}, take[event.EndJob](r)); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	r.effects = nil
	r.step(event.JobEnded{Job: "j1"})
	r.tick(time.Second)
	if len(r.effects) > 0 {
		t.Errorf("effects of its outcome: %v", r.effects)
	}
}

// chunks advances the clock, stores the chunks of job j1 meanwhile, and returns the sizes of all chunks since the start.
func (r *rig) chunks(pass time.Duration) []int {
	var sizes []int
	for end := r.now + pass; r.now < end; r.tick(50 * time.Millisecond) {
		sizes = nil
		for _, chunk := range take[event.StoreChunk](r) {
			sizes = append(sizes, len(chunk.Items))
			if chunk.Number >= r.p.jobs["j1"].chunks {
				r.step(event.ChunkStored{Job: "j1", Number: chunk.Number, Items: chunk.Items})
			}
		}
	}
	return sizes
}

// A takeover read a chunk that this host was storing, and the outcome was passed over: the job listed nothing more.
func TestChunkThatATakeoverHasRead(t *testing.T) {
	head := testHead(1, 2, noHints)
	head.ID, head.Route, head.GiveUp = "j1", "rollouts", time.Hour
	for name, kind := range map[string]kinds.Kind{"stored": "", "stored by another host": kinds.Conflict, "answer lost": kinds.StoreUnavailable} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: head})
			r.step(event.JobKept{Seq: 1, Job: "j1", Kind: kinds.OutcomeUnknown})
			for _, run := range take[event.RunItem](r) {
				r.step(event.ItemEnded{Job: "j1", Item: run.Item, Attempt: run.Attempt, Events: 1, Versions: []uint64{1}})
			}
			r.step(event.JobKept{Seq: 1, Job: "j1"})
			r.step(event.JobTaken{Job: "j1", Epoch: 1, Head: head, Chunks: 1, Listed: []int{0}})
			r.step(event.ChunkStored{Job: "j1", Number: 0, Items: []int{0}, Kind: kind})
			r.tick(2 * maxListDelay)
			want := []event.StoreChunk{{Job: "j1", Number: 0, Items: []int{0, 1}, Down: []bool{false, false}}, {Job: "j1", Number: 1, Items: []int{1}, Down: []bool{false}}}
			if diff := cmp.Diff(want, take[event.StoreChunk](r)); diff != "" {
				t.Errorf("chunks (-want +got):\n%s", diff)
			}
		})
	}
}
