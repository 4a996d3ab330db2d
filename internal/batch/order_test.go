package batch

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Two steps of a trainer are open after a delay and wait for the same few slots. The trainer needs the older one first, and
// its next step but one waits for that: the older step must end as early as if it were alone, and the other one no later
// than under the baseline. The longest items of a step come late in it, as hints cannot be relied on for the arrival order.
func TestOlderStepEndsFirst(t *testing.T) {
	const slots, itemsOfAStep = 8, 48
	older, younger := stepCandidates(1, itemsOfAStep), stepCandidates(2, itemsOfAStep)
	alone, _ := endsOfSteps(NeededFirst{}, slots, older)
	first, second := endsOfSteps(NeededFirst{}, slots, append(slices.Clone(younger), older...))
	if diff := cmp.Diff(alone, first); diff != "" {
		t.Errorf("end of the older step (-alone +beside another):\n%s", diff)
	}
	baselineFirst, baselineSecond := endsOfSteps(ArrivalOrder{}, slots, append(slices.Clone(younger), older...))
	if first >= baselineFirst || second > baselineSecond {
		t.Errorf("steps end after %d and %d, with the baseline after %d and %d", first, second, baselineFirst, baselineSecond)
	}
}

// stepCandidates returns the items of a step, one in twelve of which is long.
func stepCandidates(due int64, n int) []Candidate {
	var all []Candidate
	for i := range n {
		c := Candidate{Needed: true, DueAt: due, Hint: 10, Group: i / 8, Index: i}
		if i%12 == 11 {
			c.Hint = 100
		}
		all = append(all, c)
	}
	return all
}

// endsOfSteps runs the items in the order that an Order gives, each for the time of its hint, and returns when the last
// item of the older and of the younger step ends.
func endsOfSteps(o Order, slots int, items []Candidate) (older, younger int) {
	items = slices.Clone(items)
	slices.SortStableFunc(items, o.Compare)
	free := make([]int, slots)
	for _, c := range items {
		slot := slices.Index(free, slices.Min(free))
		free[slot] += c.Hint
		if c.DueAt == 1 {
			older = max(older, free[slot])
		} else {
			younger = max(younger, free[slot])
		}
	}
	return older, younger
}
