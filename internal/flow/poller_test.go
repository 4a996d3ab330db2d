package flow

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
)

// countPollers returns the minimum and maximum number of hosts that poll one of 1,000 endpoints, and how many endpoints
// each host polls.
func countPollers(hosts []event.Host, lost map[string]bool) (minPollers, maxPollers int, byHost map[string]int) {
	byHost = map[string]int{}
	minPollers = len(hosts)
	for i := range 1000 {
		n := 0
		for _, h := range hosts {
			pl := poller{host: h.Name, lost: lost}
			pl.setHosts(hosts)
			if !lost[h.Name] && pl.assigned(fmt.Sprint("e", i)) {
				n++
				byHost[h.Name]++
			}
		}
		minPollers, maxPollers = min(minPollers, n), max(maxPollers, n)
	}
	return minPollers, maxPollers, byHost
}

func TestEachEndpointHasTwoPollers(t *testing.T) {
	var hosts []event.Host
	for i := range 8 {
		hosts = append(hosts, event.Host{Name: fmt.Sprint("h", i)})
	}
	for name, lost := range map[string]map[string]bool{"all": {}, "two lost": {"h1": true, "h5": true}} {
		t.Run(name, func(t *testing.T) {
			minPollers, maxPollers, byHost := countPollers(hosts, lost)
			if diff := cmp.Diff([]int{pollersPerEndpoint, pollersPerEndpoint}, []int{minPollers, maxPollers}); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(len(hosts)-len(lost), len(byHost)); diff != "" {
				t.Error("hosts that poll:", diff)
			}
		})
	}
	minPollers, maxPollers, _ := countPollers(hosts[:1], nil)
	if diff := cmp.Diff([]int{1, 1}, []int{minPollers, maxPollers}); diff != "" {
		t.Error("a single host:", diff)
	}
}
