package relay

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/kinds"
)

const (
	// hedgeDelay is the time without an answer after which a list is also asked for through hedgeWidth further hosts.
	hedgeDelay = 300 * time.Millisecond
	hedgeWidth = 2
	// maxHedges is the maximum number of other hosts that are asked for one list.
	maxHedges = 6
)

// way is a way by which a call can be made.
type way func(ctx context.Context) (answer, error)

// list makes the call of a list, which may be made more than once: directly if direct calls work, and through other hosts as well
// as long as there is no answer. All hosts learn of changes from the few that list, so that one of these must not wait for an answer
// that others would get.
func (s *Store) list(ctx context.Context, c call) (answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // of the ways that are left
	var ways []way
	direct := s.useDirect()
	if direct {
		ways = append(ways, func(ctx context.Context) (answer, error) {
			a, err := execute(ctx, s.Direct, c)
			if ctx.Err() != context.Canceled {
				s.recordOutcome(kinds.KindOf(err))
			}
			return a, err
		})
	}
	for _, address := range s.candidates(maxHedges, true) {
		ways = append(ways, func(ctx context.Context) (answer, error) {
			a, _ := s.callHost(ctx, address, c)
			if ctx.Err() != context.Canceled {
				s.noteRelay(address, a.Kind)
			}
			return a, answerError(a, c)
		})
	}
	a, index, err := firstAnswer(ctx, ways, !direct)
	if direct && index > 0 {
		s.recordOutcome(kinds.StoreUnavailable) // others were served while this host had no answer
	}
	return a, err
}

// firstAnswer tries ways until one answers, and returns its answer and index. It begins with the first, or with hedgeWidth of them
// when wide is set, goes on to the next when one fails, and to hedgeWidth more after each hedgeDelay. When all fail it returns the
// last failure.
func firstAnswer(ctx context.Context, ways []way, wide bool) (answer, int, error) {
	type result struct {
		answer answer
		err    error
		index  int
	}
	results := make(chan result, len(ways))
	begun, open := 0, 0
	begin := func(n int) {
		for ; n > 0 && begun < len(ways); n-- {
			index := begun
			begun++
			open++
			go func() {
				a, err := ways[index](ctx)
				results <- result{a, err, index}
			}()
		}
	}
	last := result{answer: answer{Kind: kinds.StoreRefused}, err: kinds.New(kinds.StoreRefused, "no way to the store")}
	begin(1)
	if wide {
		begin(hedgeWidth - 1)
	}
	for open > 0 {
		timer := time.NewTimer(hedgeDelay)
		select {
		case last = <-results:
			open--
			if !isFailure(kinds.KindOf(last.err)) {
				timer.Stop()
				return last.answer, last.index, last.err
			}
			begin(1)
		case <-timer.C:
			begin(hedgeWidth)
		case <-ctx.Done():
			timer.Stop()
			return answer{Kind: kinds.StoreUnavailable}, last.index, kinds.New(kinds.StoreUnavailable, "no answer in time")
		}
		timer.Stop()
	}
	return last.answer, last.index, last.err
}
