package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/reach"
)

// cutLinks are the reach.Links of a host, of which some hosts are cut off.
type cutLinks struct {
	reach.Unbroken
	self string
	cut  []string
}

func (l cutLinks) CutOff(time.Duration) bool   { return slices.Contains(l.cut, l.self) }
func (l cutLinks) HostCutOff(host string) bool { return slices.Contains(l.cut, host) }

// A duty stayed without a holder for the whole cut, since all hosts that ranked first for it had given it up.
func TestHostsWithLinksCompeteForDuties(t *testing.T) {
	var fleet fleetMembership
	var all []string
	for i := range 8 {
		fleet.hosts = append(fleet.hosts, event.Host{Name: fmt.Sprintf("h%d", i), Zone: "a", Incarnation: "1"})
		all = append(all, fmt.Sprintf("h%d", i))
	}
	order := ranks.Order(testDuty, all)
	for name, c := range map[string]struct{ cut, want []string }{
		"NoneCut":  {nil, order[:maxCandidates]},
		"FirstCut": {order[:5], order[5:]},
		"AllCut":   {order, order[:maxCandidates]},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, host := range order {
				p := &Component{Self: fleet.hosts[slices.Index(all, host)], Membership: fleet, Links: cutLinks{self: host, cut: c.cut}, meshUpTo: len(all)}
				if _, _, ok := p.candidateRank(&duty{name: testDuty}, 0); ok {
					got = append(got, host)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("candidates (-want +got):\n%s", diff)
			}
		})
	}
}
