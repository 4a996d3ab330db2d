package relay

import (
	"context"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// silentStore answers no call before its caller leaves.
type silentStore struct{ stubStore }

func (s *silentStore) Get(ctx context.Context, _ string) (wire.Object, error) {
	<-ctx.Done()
	return wire.Object{}, kinds.New(kinds.StoreUnavailable, "%v", ctx.Err())
}

// A caller that leaves says nothing about the store: the calls of others went through other hosts for a second afterwards.
func TestCallerThatLeavesDoesNotChangeTheWay(t *testing.T) {
	s := newTestStore(t, &stubStore{}, &stubStore{})
	own := &silentStore{}
	s.Direct = own
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := s.Get(ctx, "Owners/j1"); err == nil {
		t.Fatal("the call did not fail")
	}
	if s.directFailing {
		t.Error("direct calls count as failing")
	}
}
