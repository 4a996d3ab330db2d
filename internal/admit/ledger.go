package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

const (
	newsEvery    = time.Second     // least time between two beats that carry counts
	refreshEvery = 5 * time.Second // time after which the counts are told again though they have not changed
)

// Ledger counts the tokens served to each organisation, here and by the other daemons.
// Its zero value is empty. It must not be used concurrently.
type Ledger struct {
	own   map[accountKey]uint64
	hosts map[string]map[accountKey]uint64 // by host, as its last beat told
	total map[string]uint64                // by organisation, all daemons
	sum   uint64

	told   map[accountKey]uint64 // own counts in the last beats
	toldAt time.Duration         // time of the last beat that carried all
	newsAt time.Duration         // time of the last beat that carried any
}

// Serve counts tokens that this daemon served.
func (l *Ledger) Serve(organisation string, class config.Class, tokens uint64) {
	if l.own == nil {
		l.own = map[accountKey]uint64{}
	}
	l.own[accountKey{class: class, organisation: organisation}] += tokens
	l.count(organisation, tokens)
}

func (l *Ledger) count(organisation string, tokens uint64) {
	if l.total == nil {
		l.total = map[string]uint64{}
	}
	l.total[organisation] += tokens
	l.sum += tokens
}

// Seen takes a host's counts and calls charge with what each organisation was served there since the last ones.
// The first counts of a host, and those of one that started again, only set the mark.
func (l *Ledger) Seen(host string, served []wire.Served, charge func(organisation string, class config.Class, tokens uint64)) {
	last, ok := l.hosts[host]
	if !ok {
		last = map[accountKey]uint64{}
		if l.hosts == nil {
			l.hosts = map[string]map[accountKey]uint64{}
		}
		l.hosts[host] = last
	}
	for _, s := range served {
		id := accountKey{class: config.Class(s.Class), organisation: s.Organisation}
		before, known := last[id]
		last[id] = s.Tokens
		if (!ok && !known) || s.Tokens <= before {
			continue
		}
		l.count(s.Organisation, s.Tokens-before)
		charge(s.Organisation, id.class, s.Tokens-before)
	}
}

// Forget drops a lost host's counts.
func (l *Ledger) Forget(host string) { delete(l.hosts, host) }

// Share returns an organisation's part of the tokens that all daemons served, 0 to 1.
func (l *Ledger) Share(organisation string) float64 {
	if l.sum == 0 {
		return 0
	}
	return float64(l.total[organisation]) / float64(l.sum)
}

// News returns this daemon's counts for a beat, sorted: about once a second those that changed, from time to time all.
func (l *Ledger) News(now time.Duration) []wire.Served {
	if l.told != nil && now-l.newsAt < newsEvery {
		return nil
	}
	l.newsAt = now
	if l.told == nil || now-l.toldAt >= refreshEvery {
		l.told, l.toldAt = map[accountKey]uint64{}, now
	}
	var all []wire.Served
	for id, tokens := range l.own {
		if l.told[id] != tokens {
			l.told[id] = tokens
			all = append(all, wire.Served{Organisation: id.organisation, Class: string(id.class), Tokens: tokens})
		}
	}
	slices.SortFunc(all, func(a, b wire.Served) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	return all
}
