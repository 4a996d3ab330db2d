package items

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Readers wait 1.5 s longer than they ask the host to: a host that can't be sure must refuse the read before.
func TestReadIsAnsweredWhileTheReaderWaits(t *testing.T) {
	const longer = 1500 * time.Millisecond
	late := func(d time.Duration) func() delays { return func() delays { return delays{after: d} } }
	cases := map[string]struct {
		get, list, peer time.Duration
		host            string
		wait            time.Duration
	}{
		"the owner, slow store":             {900 * time.Millisecond, 1800 * time.Millisecond, 0, "h1", time.Second},
		"the owner, slow store, no wait":    {900 * time.Millisecond, 1800 * time.Millisecond, 0, "h1", 0},
		"the owner, silent store":           {time.Minute, time.Minute, 0, "h1", time.Second},
		"another host, slow store":          {900 * time.Millisecond, 1800 * time.Millisecond, time.Minute, "h3", 0},
		"another host, silent store":        {time.Minute, time.Minute, time.Minute, "h3", 0},
		"another host, owner slow to check": {600 * time.Millisecond, 1200 * time.Millisecond, 200 * time.Millisecond, "h3", 400 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReadingHosts(t, "h1", "h2", "h3")
				r.own("h1")
				for _, h := range r.hosts {
					if _, err := h.loadJobCached(context.Background(), "j1"); err != nil {
						t.Fatal(err)
					}
					h.store.get, h.store.list = late(c.get), late(c.list)
				}
				r.peer = late(c.peer)
				asked := time.Now()
				_, err := r.hosts[c.host].Page(context.Background(), "j1", 0, c.wait)
				if took := time.Since(asked); took >= c.wait+longer {
					t.Errorf("the read took %v (%v), want less than %v", took, err, c.wait+longer)
				}
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
