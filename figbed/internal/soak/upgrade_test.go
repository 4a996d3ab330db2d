package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Each host must change to the new build once and back once, with a kill while both builds run.
func TestDrawUpgrade(t *testing.T) {
	const hosts, span = 5, time.Minute
	faults := DrawUpgrade(7, hosts, span)
	if diff := cmp.Diff(faults, DrawUpgrade(7, hosts, span)); diff != "" {
		t.Errorf("the same seed again (-want +got):\n%s", diff)
	}
	if cmp.Equal(faults, DrawUpgrade(8, hosts, span)) {
		t.Error("two seeds draw the same faults")
	}
	builds := map[int][]int{}
	running, mixedKills, last := 0, 0, time.Duration(0)
	for _, f := range faults {
		if f.Start < last || f.Start >= span {
			t.Errorf("%s is out of order or too late", f)
		}
		last = f.Start
		switch f.Kind {
		case HostBuild:
			builds[f.Target] = append(builds[f.Target], f.Amount)
			running += 2*f.Amount - 1
		case HostKill:
			if running > 0 && running < hosts {
				mixedKills++
			}
		}
	}
	for host := 1; host <= hosts; host++ {
		if diff := cmp.Diff([]int{buildNew, buildOld}, builds[host]); diff != "" {
			t.Errorf("builds of host-%d (-want +got):\n%s", host, diff)
		}
	}
	if mixedKills != 2 {
		t.Errorf("%d kills while both builds run, want 2", mixedKills)
	}
}

// Guards against ends of jobs that are acknowledged and forgotten.
func TestItemsAfterTheEndOfTheirJobAreFound(t *testing.T) {
	cases := map[string]struct {
		ended, ran float64
		spans      []Span
		want       string
	}{
		"never ended":         {0, 9, nil, ""},
		"soon after the end":  {2, 4.9, nil, ""},
		"long after the end":  {2, 5.1, nil, "UNASKED: item j1-0 began at engine-1"},
		"during a disruption": {2, 5.1, cutSpans(1, 3), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			if c.ended > 0 {
				h.Jobs[0].Ending, h.Jobs[0].Ended = at(c.ended), at(c.ended)
			}
			h.Runs[2].At, h.Spans, h.Drains = at(c.ran), c.spans, nil
			got := strings.Join(CheckHistory(h), "\n")
			if c.want == "" && got != "" || !strings.HasPrefix(got, c.want) || strings.Count(got, "\n") > 0 {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
	h := validHistory()
	h.Jobs[0].Ending, h.Reads = at(2), nil
	if missing := CheckCompleteness(h); len(missing) > 0 {
		t.Errorf("missing items of an ended job are reported: %v", missing)
	}
}
