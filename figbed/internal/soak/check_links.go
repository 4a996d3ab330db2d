package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// The platform's rule on hosts that reach no server: later than linksGrace after that began, first tries at them are served
// at least linksShare as often as at the others, or at most linksExtra and one in linksPart of all fail there.
const (
	linksGrace = 3 * time.Second
	linksShare = 2.0 / 3
	linksExtra = 10
	linksPart  = 50
)

// checkSoftware checks that no stream and no item's text went on at another software version than the one that began it. An item
// may be begun anew while the text before is kept, so that its runs alone don't tell which text they go on from: checkResult
// checks the listed one.
func checkSoftware(h *History, _ map[string][]Run) (violations []string) {
	var streams, texts []estate.Run
	for _, r := range h.Runs {
		switch {
		case strings.HasPrefix(r.Path, estate.Streams):
			streams = append(streams, r.Run)
		case strings.HasPrefix(r.Path, estate.Rollouts):
			texts = append(texts, r.Run)
		}
	}
	for _, path := range append(estate.MixedRuns(streams), estate.MixedTexts(texts)...) {
		violations = append(violations, fmt.Sprintf("ORDER: %s holds events of two software versions: %s", path, h.describeRuns(path)))
	}
	return violations
}

// describeRuns returns the runs of a path in the order in which they began.
func (h *History) describeRuns(path string) string {
	var runs []Run
	for _, r := range h.Runs {
		if r.Path == path {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	var parts []string
	for _, r := range runs {
		parts = append(parts, fmt.Sprintf("%.3f s %s at %s after event %q: %d events", r.At.Sub(runs[0].At).Seconds(), r.Software, r.Server, r.LastEventID, len(r.EventVersions)))
	}
	return strings.Join(parts, "; ")
}

// checkLinks checks that callers of hosts that reach no server are served.
func checkLinks(h *History, _ map[string][]Run) (violations []string) {
	for _, s := range h.Spans {
		from := s.From.Add(linksGrace)
		if s.Fault.Kind != HostNoLinks || !h.undisturbed(s.From, s.To, disruptionRecovery) || h.otherNoLinks(s) {
			continue
		}
		var here, others tries
		for _, c := range h.Calls {
			if c.Key != estate.Key || c.Ended.IsZero() || c.Sent.Before(from) || c.Sent.After(s.To) || !isPlainCall(c) || h.stopsDuring(c) {
				continue
			}
			if c.Host == s.Fault.Target {
				here.add(c)
			} else {
				others.add(c)
			}
		}
		failed := here.all - here.served
		if here.share() < linksShare*others.share() && failed > linksExtra+(here.all+others.all)/linksPart {
			violations = append(violations, fmt.Sprintf("RECOVER: host-%d reached no server and served %d of %d calls, the others %d of %d", s.Fault.Target, here.served, here.all, others.served, others.all))
		}
	}
	return violations
}

// tries counts first tries.
type tries struct{ served, all int }

func (t *tries) add(c Call) {
	t.all++
	if c.Status == 200 {
		t.served++
	}
}

func (t *tries) share() float64 { return float64(t.served) / float64(max(1, t.all)) }

// isPlainCall reports whether a call is neither one that crashes servers nor a stream, whose outcome is not recorded.
func isPlainCall(c Call) bool {
	return !strings.HasPrefix(c.Path, harmfulPath) && !strings.HasPrefix(c.Path, estate.Streams)
}

// otherNoLinks reports whether another host has no links during part of a span.
func (h *History) otherNoLinks(span Span) bool {
	for _, s := range h.Spans {
		if s.Fault.Kind == HostNoLinks && s != span && s.From.Before(span.To) && s.To.After(span.From) {
			return true
		}
	}
	return false
}

// stopsDuring reports whether the host of a call is stopped while it lasts, or was shortly before.
func (h *History) stopsDuring(c Call) bool {
	for _, s := range h.Spans {
		if slices.Contains(stopKinds, s.Fault.Kind) && s.Fault.Target == c.Host && s.From.Before(c.Ended) && s.To.After(c.Sent.Add(-disruptionRecovery)) {
			return true
		}
	}
	return false
}
