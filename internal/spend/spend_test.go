package spend_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/spend"
)

func siteWithZones(zones ...string) *config.Site {
	s := config.Defaults()
	for _, n := range zones {
		z := config.DefaultZone(n)
		z.Model, z.TokensPerEngine, z.OnDemandFloor, z.MaxEndpoints, z.MaxCheap = "m", 1000, 1, 8, 6
		s.Zones[n] = z
	}
	return s
}

func TestDemandWants(t *testing.T) {
	cases := map[string]struct {
		zones []string
		need  spend.Need
		want  spend.Target // of the first zone
	}{
		"idle keeps the floor":           {zones: []string{"a"}, want: spend.Target{OnDemand: 1}},
		"interactive on demand":          {zones: []string{"a"}, need: spend.Need{Interactive: 2001}, want: spend.Target{OnDemand: 3}},
		"rollouts on cheap":              {zones: []string{"a"}, need: spend.Need{Rollout: 4000, Background: 500}, want: spend.Target{OnDemand: 1, Cheap: 5}},
		"cheap limit":                    {zones: []string{"a"}, need: spend.Need{Rollout: 40000}, want: spend.Target{OnDemand: 1, Cheap: 6}},
		"all limits":                     {zones: []string{"a"}, need: spend.Need{Interactive: 4000, Rollout: 40000}, want: spend.Target{OnDemand: 4, Cheap: 4}},
		"two zones":                      {zones: []string{"a", "b"}, need: spend.Need{Interactive: 5000, Rollout: 4000}, want: spend.Target{OnDemand: 2, Cheap: 2}},
		"no cheap, one trainer":          {zones: []string{"a"}, need: spend.Need{Rollout: 5000, CheapUnavailable: true, Trainers: 1}, want: spend.Target{OnDemand: 3, Cheap: 5}},
		"no cheap, two trainers":         {zones: []string{"a"}, need: spend.Need{Rollout: 5000, CheapUnavailable: true, Trainers: 2}, want: spend.Target{OnDemand: 5, Cheap: 3}},
		"some cheap":                     {zones: []string{"a"}, need: spend.Need{Rollout: 5000, Cheap: 4, CheapUnavailable: true, Trainers: 2}, want: spend.Target{OnDemand: 2, Cheap: 5}},
		"no cheap, no trainer":           {zones: []string{"a"}, need: spend.Need{Rollout: 5000, CheapUnavailable: true}, want: spend.Target{OnDemand: 1, Cheap: 5}},
		"no cheap, only background work": {zones: []string{"a"}, need: spend.Need{Background: 5000, CheapUnavailable: true, Trainers: 2}, want: spend.Target{OnDemand: 1, Cheap: 5}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := spend.PolicyFor(config.FollowDemand).Target(siteWithZones(c.zones...), "a", c.need)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	if got := spend.PolicyFor(config.HoldPeak).Target(siteWithZones("a"), "a", spend.Need{}); got != (spend.Target{OnDemand: 8}) {
		t.Errorf("PeakPolicy wants %+v, want 8 on-demand endpoints", got)
	}
}

func TestZoneSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		tokens := rapid.IntRange(0, 6000*len(zones)).Draw(t, "tokens")
		s := siteWithZones(zones...)
		engines := 0
		for _, z := range zones {
			w := spend.DemandPolicy{}.Target(s, z, spend.Need{Rollout: tokens})
			if w.OnDemand < 1 || w.OnDemand+w.Cheap > 8 {
				t.Fatalf("zone %s wants %+v, want 1 on-demand endpoint or more and 8 in all or fewer", z, w)
			}
			engines += w.Cheap
		}
		if engines != (tokens+999)/1000 {
			t.Fatalf("%d cheap endpoints for %d tokens, want one for each 1000", engines, tokens)
		}
	})
}

func TestRecentRange(t *testing.T) {
	r := spend.RecentRange[int]{MaxAge: 10 * time.Second}
	for i, v := range []int{9, 3, 7, 5} {
		r.Add(time.Duration(i)*time.Second, v)
	}
	cases := map[string]struct {
		period           time.Duration
		minimum, maximum int
		known            bool
	}{
		"whole":                {period: 3 * time.Second, minimum: 3, maximum: 9, known: true},
		"last two":             {period: time.Second, minimum: 5, maximum: 7, known: true},
		"latest":               {minimum: 5, maximum: 5, known: true},
		"longer than recorded": {period: 4 * time.Second},
		"between steps":        {period: 1500 * time.Millisecond, minimum: 3, maximum: 7, known: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			minimum, known := r.Min(3*time.Second, c.period)
			maximum, _ := r.Max(3*time.Second, c.period)
			if known != c.known || minimum != c.minimum || maximum != c.maximum {
				t.Errorf("Min() = %d, Max() = %d, %v", minimum, maximum, known)
			}
		})
	}
}
