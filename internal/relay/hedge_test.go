package relay

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// silentLists answers no list.
type silentLists struct{ stubStore }

func (s *silentLists) List(ctx context.Context, _ string) (wire.ObjectList, error) {
	s.calls++
	<-ctx.Done()
	return wire.ObjectList{}, kinds.New(kinds.StoreUnavailable, "silent")
}

// The few hosts that list for all waited for the whole time of a call each when the store was silent to them, and then asked the
// others one after the other, those that were turned away too among them.
func TestListIsHedged(t *testing.T) {
	cases := map[string]struct {
		own    kinds.Kind
		silent bool         // the store is silent to this host
		others []kinds.Kind // "silent" for a host to which the store is silent
		want   kinds.Kind
		within time.Duration
		asked  int // other hosts at most
	}{
		"calm":                  {"", false, []kinds.Kind{"", ""}, "", hedgeDelay, 0},
		"refused":               {kinds.StoreRefused, false, []kinds.Kind{"", ""}, "", hedgeDelay, 1},
		"silent":                {"", true, []kinds.Kind{"", ""}, "", 2 * hedgeDelay, 2},
		"silent to three":       {"", true, []kinds.Kind{"silent", "silent", "", "", ""}, "", 3*hedgeDelay + hedgeDelay/2, 4},
		"refused, two silent":   {kinds.StoreRefused, false, []kinds.Kind{"silent", "silent", "", ""}, "", 3 * hedgeDelay, 4},
		"all refused":           {kinds.StoreRefused, false, []kinds.Kind{kinds.StoreRefused, kinds.StoreRefused}, kinds.StoreRefused, hedgeDelay, 2},
		"an answer that is no":  {"", true, []kinds.Kind{kinds.HistoryGone, kinds.HistoryGone}, kinds.HistoryGone, 2 * hedgeDelay, 2},
		"nobody is served soon": {"", true, []kinds.Kind{"silent", "silent", "silent", "silent"}, kinds.StoreUnavailable, 3 * time.Second, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestStore(t, &stubStore{kind: c.own})
			if c.silent {
				s.Direct = &silentLists{}
			}
			asked := make(chan struct{}, 100)
			for _, k := range c.others {
				addTestHost(t, s, k, asked)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err := s.List(ctx, "Config/")
			if took := time.Since(start); kinds.KindOf(err) != c.want || took > c.within {
				t.Errorf("kind %q after %v, want %q within %v", kinds.KindOf(err), took, c.want, c.within)
			}
			if n := len(asked); n > c.asked {
				t.Errorf("%d other hosts were asked, want %d at most", n, c.asked)
			}
		})
	}
}

// After a list that others answered, the next calls don't wait for the silent store.
func TestLateStoreCountsAsFailing(t *testing.T) {
	s := newTestStore(t, &stubStore{}, &stubStore{})
	s.Direct = &silentLists{}
	var ways []bool
	for range 2 {
		if _, err := s.List(context.Background(), "Config/"); err != nil {
			t.Fatal(err)
		}
		ways = append(ways, s.directFailing)
	}
	if diff := cmp.Diff([]bool{true, true}, ways); diff != "" {
		t.Errorf("direct calls fail (-want +got):\n%s", diff)
	}
}
