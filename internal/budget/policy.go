package budget

import (
	"cmp"
	"slices"
)

// Policy chooses which claims give way when the budget is spent.
type Policy interface {
	// Yield returns those of the others that are to be ended for a newcomer, in order, at time now. Bytes of the newcomer are what
	// it would hold.
	Yield(now int64, newcomer Candidate, others []Candidate) []Candidate
}

// Candidate is a claim whose client is awaited.
type Candidate struct {
	Bytes int64
	Since int64 // when the client began to be awaited

	claim *Claim
}

// Newcomer is the baseline: whoever comes when the budget is spent is refused.
type Newcomer struct{}

// Yield returns none.
func (Newcomer) Yield(int64, Candidate, []Candidate) []Candidate { return nil }

// Heaviest lets those give way that hold the most for the longest, if that is more than what the newcomer asks for.
type Heaviest struct{}

// Yield returns the others that outweigh the newcomer, the heaviest first.
func (Heaviest) Yield(now int64, newcomer Candidate, others []Candidate) []Candidate {
	own := newcomer.weight(now)
	others = slices.DeleteFunc(others, func(c Candidate) bool { return c.weight(now) <= own })
	slices.SortFunc(others, func(a, b Candidate) int {
		switch x, y := a.weight(now), b.weight(now); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return others
}

// Largest lets those give way that hold the most, if that is more than what the newcomer asks for. It suits memory that is held for
// as long as the sound ones need it, however long that is.
type Largest struct{}

// Yield returns the others that are larger than the newcomer, the largest first.
func (Largest) Yield(_ int64, newcomer Candidate, others []Candidate) []Candidate {
	others = slices.DeleteFunc(others, func(c Candidate) bool { return c.Bytes <= newcomer.Bytes })
	slices.SortFunc(others, func(a, b Candidate) int { return cmp.Compare(b.Bytes, a.Bytes) })
	return others
}

// weight returns the bytes times the units of time for which they are held, the begun one included.
func (c Candidate) weight(now int64) int64 { return c.Bytes * (now - c.Since + 1) }
