package apply

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// HostsPrefix is the prefix of the objects that describe one host each.
const HostsPrefix = wire.PrefixHosts

// pollInterval is the interval at which WaitForMajority asks for reports.
const pollInterval = 200 * time.Millisecond

// RevisionFunc returns the revision that a host has acknowledged according to one report.
type RevisionFunc func(host wire.HostStatus) uint64

// ConfigRevision returns the revision of the configuration that a host has in force.
func ConfigRevision(host wire.HostStatus) uint64 { return host.ConfigRevision }

// KeysRevision returns the revision of the key table that a host has in force.
func KeysRevision(host wire.HostStatus) uint64 { return host.KeysRevision }

// Acknowledged says which of the admitted hosts have a revision in force.
type Acknowledged struct {
	Hosts   []string // all admitted hosts, sorted
	Missing []string // those that don't have it in force, sorted
}

// Majority reports whether more than half of the admitted hosts have the revision in force.
func (a Acknowledged) Majority() bool { return 2*(len(a.Hosts)-len(a.Missing)) > len(a.Hosts) }

// String returns a text that names the missing hosts.
func (a Acknowledged) String() string {
	if len(a.Missing) == 0 {
		return "all hosts"
	}
	return "all hosts but " + strings.Join(a.Missing, ",")
}

// WaitForMajority polls reports until a majority of the admitted hosts in the store have revision want in force. It
// fails with kind NotReady if ctx ends before that; the result then tells which hosts are missing. It may be called
// concurrently.
func WaitForMajority(ctx context.Context, store Store, reports func(context.Context) []wire.Status, revisionOf RevisionFunc, want uint64) (Acknowledged, error) {
	var hosts []string
	var acknowledged Acknowledged
	for {
		if hosts == nil {
			hosts = admittedHosts(ctx, store)
		}
		acknowledged = acknowledgedBy(hosts, reports(ctx), revisionOf, want)
		if len(hosts) > 0 && acknowledged.Majority() {
			return acknowledged, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return acknowledged, kinds.New(kinds.NotReady, "stored, but not acknowledged by a majority of %d hosts in time; missing %s",
				len(hosts), strings.Join(acknowledged.Missing, ","))
		}
	}
}

// admittedHosts returns the sorted names of the admitted hosts, of which a majority is needed, or nil if the store does
// not answer.
func admittedHosts(ctx context.Context, store Store) []string {
	list, err := store.List(ctx, HostsPrefix)
	if err != nil {
		return nil
	}
	var names []string
	for _, o := range list.Objects {
		var host event.Host
		if !o.Deleted && json.Unmarshal(o.Value, &host) == nil && host.Admitted {
			names = append(names, strings.TrimPrefix(o.Name, HostsPrefix))
		}
	}
	sort.Strings(names)
	return names
}

func acknowledgedBy(hosts []string, reports []wire.Status, revisionOf RevisionFunc, want uint64) Acknowledged {
	reached := map[string]bool{}
	for _, r := range reports {
		own := wire.HostStatus{ConfigRevision: r.ConfigRevision, KeysRevision: r.KeysRevision}
		reached[r.Host] = reached[r.Host] || revisionOf(own) >= want
		for _, h := range r.Hosts {
			reached[h.Host] = reached[h.Host] || revisionOf(h) >= want
		}
	}
	a := Acknowledged{Hosts: hosts}
	for _, host := range hosts {
		if !reached[host] {
			a.Missing = append(a.Missing, host)
		}
	}
	return a
}
