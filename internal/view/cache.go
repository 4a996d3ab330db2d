package view

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// prefixCache holds the objects under one prefix and the state of the calls that keep it up to date.
type prefixCache struct {
	prefix         string
	objects        map[string]wire.Object
	removed        map[string]uint64 // revisions of removals; an older copy from a peer does not restore the object
	listed         bool
	syncedRevision uint64 // store revision up to which all changes are known
	newestRevision uint64 // highest revision of an object or removal
	inFlight       bool
	callSeq        uint64
	nextCall       time.Duration
	watchFrom      time.Duration // end of the start-up delay, which holds in fleets that may be large
	failures       int

	unreadable int // objects without readable metadata in the last list

	relists    bool   // is listed again periodically
	relistSeq  uint64 // number of the periodic list in flight, 0 for none
	nextRelist time.Duration

	proven        bool          // whether provenAt is known
	provenAt      time.Duration // all changes that the store had accepted by then are known
	freshAt       time.Duration // the same, as estimated
	nextStaleRead time.Duration
	staleReads    int // since freshAt
}

func newPrefixCache(prefix string, relists bool) *prefixCache {
	return &prefixCache{prefix: prefix, relists: relists, objects: map[string]wire.Object{}, removed: map[string]uint64{}}
}

// update stores an object that is newer than the known one and reports whether the contents changed.
func (c *prefixCache) update(o wire.Object) bool {
	if o.Revision <= c.objects[o.Name].Revision || o.Revision <= c.removed[o.Name] {
		return false
	}
	c.newestRevision = max(c.newestRevision, o.Revision)
	if o.Deleted {
		_, known := c.objects[o.Name]
		delete(c.objects, o.Name)
		c.removed[o.Name] = o.Revision
		return known
	}
	c.objects[o.Name] = o
	delete(c.removed, o.Name)
	return true
}

// replace applies a complete list and returns what changed, removals included.
func (c *prefixCache) replace(list wire.ObjectList) []wire.Object {
	var changed []wire.Object
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
		if c.update(o) {
			changed = append(changed, o)
		}
	}
	for _, o := range c.sorted() {
		if listed[o.Name] || o.Revision > list.Revision {
			continue
		}
		o.Deleted, o.Revision = true, list.Revision
		if c.update(o) {
			changed = append(changed, o)
		}
	}
	return changed
}

// sorted returns the objects sorted by name.
func (c *prefixCache) sorted() []wire.Object {
	all := make([]wire.Object, 0, len(c.objects))
	for _, o := range c.objects {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b wire.Object) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (p *Component) objectsDone(now time.Duration, e event.ObjectsDone, out *event.Batch) {
	c := p.prefixCache(e.Prefix)
	if e.Call.Owner != callOwner || c == nil {
		return
	}
	if c.relistSeq == e.Call.Seq {
		p.relistDone(now, c, e, out)
		return
	}
	if c.callSeq != e.Call.Seq {
		return
	}
	c.inFlight = false
	switch e.Kind {
	case "":
		p.storeAnswered(now, out)
		if p.hasHubs() && c.listed {
			c.nextCall = now + watchPause
		}
		e.List.Objects = p.cutOddEntries(c, e.List.Objects, out)
		p.mergeAnswer(now, c, e, out)
	case kinds.HistoryGone:
		p.storeAnswered(now, out)
		c.listed = false
		out.Emit(event.Log{Level: "info", Event: "ListAgain", Fields: []event.Field{
			{Key: "Prefix", Value: c.prefix}, {Key: "Position", Value: strconv.FormatUint(c.syncedRevision, 10)},
		}})
	default:
		c.nextCall = now + min(minRetryDelay<<min(c.failures, 8), maxRetryDelay)
		c.failures++
		if c.failures == 1 {
			out.Emit(event.Log{Level: "warn", Event: "StoreLost", Fields: []event.Field{
				{Key: "Prefix", Value: c.prefix}, {Key: "Kind", Value: string(e.Kind)},
			}})
		}
	}
}

// relistDone applies a periodic list, which may be in flight at the same time as a watch.
func (p *Component) relistDone(now time.Duration, c *prefixCache, e event.ObjectsDone, out *event.Batch) {
	c.relistSeq = 0
	if e.Kind != "" {
		c.failures++
		return
	}
	p.storeAnswered(now, out)
	if e.List.Revision < c.newestRevision {
		return // older than the cache
	}
	p.reportUnreadable(c, e.List.Unreadable, out)
	e.List.Objects = p.cutOddEntries(c, e.List.Objects, out)
	changed := c.replace(e.List)
	c.prove(e.SentAt)
	c.syncedRevision = max(c.syncedRevision, e.List.Revision)
	if len(changed) > 0 && c.inFlight {
		c.inFlight, c.callSeq = false, 0 // the watch has missed a change: do not wait for its answer
	}
	p.pushChanges(now, c, changed, out)
	p.apply(now, c, changed, p.storeRecentlyRecovered(now), out)
}

// reportUnreadable reports the objects that a list lacks, when their number has changed.
func (p *Component) reportUnreadable(c *prefixCache, n int, out *event.Batch) {
	if n != c.unreadable && n > 0 {
		reportUndecodable(c.prefix, errors.Errorf("%d objects have no readable metadata", n), out)
	}
	c.unreadable = n
}

// storeAnswered records that the store has answered.
func (p *Component) storeAnswered(now time.Duration, out *event.Batch) {
	if p.storeUnavailable() {
		p.recoveredAt = now
		out.Emit(event.Log{Level: "info", Event: "StoreBack", Fields: []event.Field{
			{Key: "AwayMS", Value: strconv.FormatInt((now - p.lastAnswer).Milliseconds(), 10)},
		}})
	}
	p.lastAnswer = now
	for _, c := range p.caches {
		c.failures = 0
	}
}

// storeUnavailable reports whether a call to the store has failed since its last answer.
func (p *Component) storeUnavailable() bool {
	for _, c := range p.caches {
		if c.failures > 0 {
			return true
		}
	}
	return false
}

func (p *Component) mergeAnswer(now time.Duration, c *prefixCache, e event.ObjectsDone, out *event.Batch) {
	list := e.List
	var changed []wire.Object
	if c.listed {
		changed = c.updateAll(list.Objects)
	} else {
		if list.Revision < c.syncedRevision {
			c.nextCall = now + minRetryDelay // an answer older than the cache
			return
		}
		p.reportUnreadable(c, list.Unreadable, out)
		changed = c.replace(list)
		if c.syncedRevision == 0 && c.prefix != PrefixHosts { // the first list of this process
			c.watchFrom, c.nextRelist = now+startupDelay, now+startupDelay
		}
	}
	if c.listed {
		p.pushChanges(now, c, changed, out)
	}
	c.prove(e.SentAt)
	c.listed = true
	c.syncedRevision = max(c.syncedRevision, list.Revision)
	p.apply(now, c, changed, p.storeRecentlyRecovered(now), out)
}

// updateAll stores the objects that are newer than the known ones and returns them. A deleted one carries its last
// value.
func (c *prefixCache) updateAll(objects []wire.Object) []wire.Object {
	var changed []wire.Object
	for _, o := range objects {
		old := c.objects[o.Name]
		if !c.update(o) {
			continue
		}
		if o.Deleted {
			o.Value = old.Value
		}
		changed = append(changed, o)
	}
	return changed
}
