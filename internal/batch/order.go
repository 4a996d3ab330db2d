package batch

import "cmp"

// Candidate is an item that waits, as an Order sees it.
type Candidate struct {
	Needed    bool // of a group that the trainer waits for
	Urgent    int  // the route's rank, 0 first
	Submitted int64
	Hint      int // expected output left, in tokens
	Begun     bool
	Group     int
	Index     int
}

// Order says which of two waiting items goes first.
type Order interface {
	// Compare is negative when a goes before b.
	Compare(a, b Candidate) int
}

// NeededFirst starts the groups that the trainer waits for before the others, and among them what was begun before and
// the longest first, since the longest item of a group ends it.
type NeededFirst struct{}

// Compare is negative when a goes before b.
func (NeededFirst) Compare(a, b Candidate) int {
	return cmp.Or(
		first(a.Needed, b.Needed),
		first(a.Begun, b.Begun),
		cmp.Compare(b.Hint, a.Hint),
		cmp.Compare(a.Submitted, b.Submitted),
		cmp.Compare(a.Group, b.Group),
		cmp.Compare(a.Index, b.Index),
	)
}

func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Arrival runs items in the order in which their jobs came; it is the baseline.
type Arrival struct{}

// Compare is negative when a goes before b.
func (Arrival) Compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.Index, b.Index))
}
