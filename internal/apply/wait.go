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

// HostsPrefix is the prefix of the objects that tell of one host each.
const HostsPrefix = wire.PrefixHosts

// pollEvery is the interval at which hosts are asked for their revisions.
const pollEvery = 200 * time.Millisecond

// Revision returns what a host has acknowledged, as one report tells.
type Revision func(host wire.HostStatus) uint64

// ConfigRevision is the configuration's revision of a host.
func ConfigRevision(host wire.HostStatus) uint64 { return host.ConfigRevision }

// KeysRevision is the key table's revision of a host.
func KeysRevision(host wire.HostStatus) uint64 { return host.KeysRevision }

// Acknowledged says how many of the known hosts have a revision in force.
type Acknowledged struct {
	Hosts   []string // all known hosts, sorted
	Missing []string // those that have not, sorted
}

// Majority reports whether more than half of the known hosts have it.
func (a Acknowledged) Majority() bool { return 2*(len(a.Hosts)-len(a.Missing)) > len(a.Hosts) }

// String returns the count and the names of the missing hosts.
func (a Acknowledged) String() string {
	if len(a.Missing) == 0 {
		return "all hosts"
	}
	return "all hosts but " + strings.Join(a.Missing, ",")
}

// Wait polls reports until a majority of the hosts that the store lists has want in force. It fails with kind NotReady
// when ctx ends before, and then tells who is missing. It may be called concurrently.
func Wait(ctx context.Context, store Store, reports func(context.Context) []wire.Status, of Revision, want uint64) (Acknowledged, error) {
	var names []string
	var seen Acknowledged
	for {
		if names == nil {
			names = hostNames(ctx, store)
		}
		seen = acknowledged(names, reports(ctx), of, want)
		if len(names) > 0 && seen.Majority() {
			return seen, nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return seen, kinds.New(kinds.NotReady, "stored, but not acknowledged by a majority of %d hosts in time; missing %s",
				len(names), strings.Join(seen.Missing, ","))
		}
	}
}

// hostNames returns the admitted hosts, whose majorities count, and nil while the store does not answer.
func hostNames(ctx context.Context, store Store) []string {
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

func acknowledged(names []string, reports []wire.Status, of Revision, want uint64) Acknowledged {
	has := map[string]bool{}
	for _, r := range reports {
		own := wire.HostStatus{ConfigRevision: r.ConfigRevision, KeysRevision: r.KeysRevision}
		has[r.Host] = has[r.Host] || of(own) >= want
		for _, h := range r.Hosts {
			has[h.Host] = has[h.Host] || of(h) >= want
		}
	}
	a := Acknowledged{Hosts: names}
	for _, n := range names {
		if !has[n] {
			a.Missing = append(a.Missing, n)
		}
	}
	return a
}
