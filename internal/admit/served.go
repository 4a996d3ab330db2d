package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

const (
	reportInterval     = time.Second     // minimum interval between two heartbeats that carry counts
	fullReportInterval = 5 * time.Second // time after which unchanged counts are sent again
)

// ServedTokens counts the tokens served to each organisation by this daemon and by the others.
// Its zero value is empty. It must not be used concurrently.
type ServedTokens struct {
	local          map[accountKey]uint64            // served by this daemon
	peers          map[string]map[accountKey]uint64 // served by each other host, as of its last heartbeat
	byOrganisation map[string]uint64                // served by all daemons
	totalTokens    uint64                           // served by all daemons

	reported     map[accountKey]uint64 // local counts as last sent
	fullReportAt time.Duration         // time of the last heartbeat that carried all counts
	reportAt     time.Duration         // time of the last call of Changes that was not rate limited
}

// Add counts tokens that this daemon served.
func (l *ServedTokens) Add(organisation string, class config.Class, tokens uint64) {
	if l.local == nil {
		l.local = map[accountKey]uint64{}
	}
	l.local[accountKey{class: class, organisation: organisation}] += tokens
	l.addTotal(organisation, tokens)
}

func (l *ServedTokens) addTotal(organisation string, tokens uint64) {
	if l.byOrganisation == nil {
		l.byOrganisation = map[string]uint64{}
	}
	l.byOrganisation[organisation] += tokens
	l.totalTokens += tokens
}

// RecordPeer records the counts of another host and calls charge with the tokens served to each organisation there since
// the previous counts. The first counts of a host, and counts that went down because it restarted, only set the new
// base.
func (l *ServedTokens) RecordPeer(host string, served []wire.Served, charge func(organisation string, class config.Class, tokens uint64)) {
	counts, known := l.peers[host]
	if !known {
		counts = map[accountKey]uint64{}
		if l.peers == nil {
			l.peers = map[string]map[accountKey]uint64{}
		}
		l.peers[host] = counts
	}
	for _, s := range served {
		key := accountKey{class: config.Class(s.Class), organisation: s.Organisation}
		before, counted := counts[key]
		counts[key] = s.Tokens
		if (!known && !counted) || s.Tokens <= before {
			continue
		}
		l.addTotal(s.Organisation, s.Tokens-before)
		charge(s.Organisation, key.class, s.Tokens-before)
	}
}

// Forget drops the counts of a lost host. Its tokens stay in the totals.
func (l *ServedTokens) Forget(host string) { delete(l.peers, host) }

// Share returns the share of an organisation in the tokens that all daemons served, from 0 to 1.
func (l *ServedTokens) Share(organisation string) float64 {
	if l.totalTokens == 0 {
		return 0
	}
	return float64(l.byOrganisation[organisation]) / float64(l.totalTokens)
}

// Changes returns the counts of this daemon to send in a heartbeat, sorted by organisation and class: those that
// changed at intervals of reportInterval, all of them at intervals of fullReportInterval, and nil in between.
func (l *ServedTokens) Changes(now time.Duration) []wire.Served {
	if l.reported != nil && now-l.reportAt < reportInterval {
		return nil
	}
	l.reportAt = now
	if l.reported == nil || now-l.fullReportAt >= fullReportInterval {
		l.reported, l.fullReportAt = map[accountKey]uint64{}, now
	}
	var all []wire.Served
	for key, tokens := range l.local {
		if l.reported[key] != tokens {
			l.reported[key] = tokens
			all = append(all, wire.Served{Organisation: key.organisation, Class: string(key.class), Tokens: tokens})
		}
	}
	slices.SortFunc(all, func(a, b wire.Served) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	return all
}
