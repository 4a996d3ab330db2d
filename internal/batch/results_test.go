package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
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
