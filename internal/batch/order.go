package batch

import "cmp"

// Candidate holds the properties of a waiting item by which an Order compares it.
type Candidate struct {
	Needed    bool  // its group is one that the trainer is expected to wait for
	Priority  int   // priority of the route, 0 first
	DueAt     int64 // when the job is due; jobs of one route are due in the order of their submission
	Hint      int   // expected output, in tokens
	HasEvents bool  // events of an earlier run are held
	Group     int
	Index     int
}

// Order decides which of two waiting items is dispatched first.
type Order interface {
	// Compare is negative when a goes before b and positive when b goes before a.
	Compare(a, b Candidate) int
}

// NeededFirst dispatches items of the groups that the trainer waits for before all others. Within each of the two, the job
// that is due first goes first, since a trainer needs its steps one after the other; in a job, items with held events and
// then the longest ones, since a group is complete only when its longest item is.
type NeededFirst struct{}

// Compare is negative when a goes before b and positive when b goes before a.
func (NeededFirst) Compare(a, b Candidate) int {
	return cmp.Or(
		trueFirst(a.Needed, b.Needed),
		cmp.Compare(a.DueAt, b.DueAt),
		trueFirst(a.HasEvents, b.HasEvents),
		cmp.Compare(b.Hint, a.Hint),
		cmp.Compare(a.Group, b.Group),
		cmp.Compare(a.Index, b.Index),
	)
}

// trueFirst compares two values such that true goes before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// ArrivalOrder dispatches items in the order in which their jobs were submitted. It is the baseline for other orders.
type ArrivalOrder struct{}

// Compare is negative when a goes before b and positive when b goes before a.
func (ArrivalOrder) Compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.DueAt, b.DueAt), cmp.Compare(a.Index, b.Index))
}
