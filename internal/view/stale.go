package view

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
)

const (
	// staleShare is the part of ApplyBound after which a host that can't tell whether its copy is complete reads the store itself.
	staleShare = 0.65
	// staleStep is the time between the reads of two hosts whose copies become stale at once, so that all hosts together read at
	// most 1,000 times a second, for the prefixes that are listed periodically.
	staleStep = 3 * time.Millisecond
	// minStalePause and maxStalePause bound the pause between two such reads of a host that fail.
	minStalePause = 500 * time.Millisecond
	maxStalePause = 8 * time.Second
	// ageUnknown is the value in Beat.Ages for a prefix whose changes may not all be known.
	ageUnknown = -1
)

// prove records that all changes that the store had accepted by a time are known.
func (c *prefixCache) prove(at time.Duration) {
	c.proven = true
	c.provenAt = max(c.provenAt, at)
	c.freshen(at)
}

// freshen records the same of a time that is estimated, for this host's own decisions: told on, the error of the estimate would
// grow from host to host.
func (c *prefixCache) freshen(at time.Duration) {
	if at > c.freshAt {
		c.freshAt, c.staleReads = at, 0
	}
}

// ages returns the age of what is known under each prefix in milliseconds, rounded up.
func (p *Component) ages(now time.Duration) []int64 {
	ages := make([]int64, len(p.caches))
	for i, c := range p.caches {
		ages[i] = ageUnknown
		if c.proven {
			ages[i] = int64(math.Ceil((now - c.provenAt).Seconds() * 1000))
		}
	}
	return ages
}

// takeAges takes the ages that another host tells, for the prefixes under which it knows no change that this host doesn't.
func (p *Component) takeAges(now time.Duration, e event.BeatSeen) {
	if !e.Anchored || len(e.Beat.Ages) != len(p.caches) || len(e.Beat.Positions) != len(p.caches) {
		return
	}
	sent := now
	if p.site != nil { // a heartbeat may have waited in a buffer: it was sent about an interval after the one that it echoes
		sent = min(now, e.Anchor+2*p.site.Trust.Beat)
	}
	for i, c := range p.caches {
		age := time.Duration(e.Beat.Ages[i]) * time.Millisecond
		if age >= 0 && c.listed && e.Beat.Positions[i] <= c.newestRevision {
			c.prove(e.Anchor - age)
			c.freshen(sent - age)
		}
	}
}

// readStale lists a prefix directly when no host has told for long that it knows all changes: the hosts that read for all may be
// turned away or suspended, and may not know it.
func (p *Component) readStale(now time.Duration, c *prefixCache, out *event.Batch) {
	if p.ApplyBound == 0 || !c.relists || !c.listed || c.relistSeq != 0 || now < c.nextStaleRead {
		return
	}
	age := now - c.freshAt
	if allowed := time.Duration(staleShare * float64(p.ApplyBound)); age < allowed || age < allowed+p.staleDelay(c) {
		return
	}
	c.nextStaleRead = now + min(minStalePause<<min(c.staleReads, 8), maxStalePause)
	c.staleReads++
	p.callSeq++
	c.relistSeq = p.callSeq
	out.Emit(event.ListObjects{Call: event.ObjectCall{Owner: callOwner, Seq: p.callSeq}, Prefix: c.prefix, Direct: true})
	out.Emit(event.Count{Name: "StaleReads", Tags: []event.Field{{Key: "Prefix", Value: c.prefix}}, N: 1})
	out.Emit(event.Log{Level: "info", Event: "StaleRead", Fields: []event.Field{
		{Key: "Prefix", Value: c.prefix}, {Key: "AgeMS", Value: strconv.FormatInt(age.Milliseconds(), 10)},
	}})
}

// staleDelay returns how much later than the first host this one reads, by its rank among all hosts.
func (p *Component) staleDelay(c *prefixCache) time.Duration {
	names := slices.Sorted(maps.Keys(p.zoneOf))
	if !slices.Contains(names, p.Host) {
		names = append(names, p.Host)
	}
	return time.Duration(ranks.Rank(c.prefix, names, p.Host)) * staleStep
}
