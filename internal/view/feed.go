package view

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// feed holds the objects under one prefix.
type feed struct {
	prefix   string
	objects  map[string]wire.Object
	removed  map[string]uint64 // revisions of removals, so that a peer's older copy does not bring an object back
	listed   bool
	position uint64 // store revision after which changes are not known
	newest   uint64 // highest revision of an object or removal
	busy     bool
	seq      uint64
	next     time.Duration
	failures int

	checked   bool   // is read again now and then
	checking  uint64 // call of the check under way, 0 for none
	nextCheck time.Duration
}

func newFeed(prefix string, checked bool) *feed {
	return &feed{prefix: prefix, checked: checked, objects: map[string]wire.Object{}, removed: map[string]uint64{}}
}

// take keeps an object that is newer than the known one and reports whether it was.
func (f *feed) take(o wire.Object) bool {
	if o.Revision <= f.objects[o.Name].Revision || o.Revision <= f.removed[o.Name] {
		return false
	}
	f.newest = max(f.newest, o.Revision)
	if o.Deleted {
		_, known := f.objects[o.Name]
		delete(f.objects, o.Name)
		f.removed[o.Name] = o.Revision
		return known
	}
	f.objects[o.Name] = o
	delete(f.removed, o.Name)
	return true
}

// replace takes a whole list and returns what changed, removals among them.
func (f *feed) replace(list wire.ObjectList) []wire.Object {
	var changed []wire.Object
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
		if f.take(o) {
			changed = append(changed, o)
		}
	}
	for _, o := range f.sorted() {
		if listed[o.Name] || o.Revision > list.Revision {
			continue
		}
		o.Deleted, o.Revision = true, list.Revision
		if f.take(o) {
			changed = append(changed, o)
		}
	}
	return changed
}

// sorted returns the objects by name.
func (f *feed) sorted() []wire.Object {
	all := make([]wire.Object, 0, len(f.objects))
	for _, o := range f.objects {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b wire.Object) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (p *Part) done(now time.Duration, e event.ObjectsDone, out *event.Batch) {
	f := p.feed(e.Prefix)
	if e.Call.Owner != owner || f == nil {
		return
	}
	if f.checking == e.Call.Seq {
		p.checkDone(now, f, e, out)
		return
	}
	if f.seq != e.Call.Seq {
		return
	}
	f.busy = false
	switch e.Kind {
	case "":
		p.contact(now, out)
		if p.large() && f.listed {
			f.next = now + watchPause
		}
		p.merge(now, f, e.List, out)
	case kinds.HistoryGone:
		p.contact(now, out)
		f.listed = false
		out.Emit(event.Log{Level: "info", Event: "ListAgain", Fields: []event.Field{
			{Key: "Prefix", Value: f.prefix}, {Key: "Position", Value: strconv.FormatUint(f.position, 10)},
		}})
	default:
		f.next = now + min(firstRetry<<min(f.failures, 8), mostRetry)
		f.failures++
		if f.failures == 1 {
			out.Emit(event.Log{Level: "warn", Event: "StoreLost", Fields: []event.Field{
				{Key: "Prefix", Value: f.prefix}, {Key: "Kind", Value: string(e.Kind)},
			}})
		}
	}
}

// checkDone takes a list that was read beside the watch.
func (p *Part) checkDone(now time.Duration, f *feed, e event.ObjectsDone, out *event.Batch) {
	f.checking = 0
	if e.Kind != "" {
		f.failures++
		return
	}
	p.contact(now, out)
	if e.List.Revision < f.newest {
		return // older than what is known
	}
	changed := f.replace(e.List)
	f.position = max(f.position, e.List.Revision)
	if len(changed) > 0 && f.busy {
		f.busy, f.seq = false, 0 // the watch is silent: its answer is not waited for
	}
	p.push(now, f, changed, out)
	p.apply(now, f, changed, p.justReturned(now), out)
}

// contact notes an answer of the store.
func (p *Part) contact(now time.Duration, out *event.Batch) {
	if p.away() {
		p.returned = now
		out.Emit(event.Log{Level: "info", Event: "StoreBack", Fields: []event.Field{
			{Key: "AwayMS", Value: strconv.FormatInt((now - p.answered).Milliseconds(), 10)},
		}})
	}
	p.answered = now
	for _, f := range p.feeds {
		f.failures = 0
	}
}

// away reports whether the last calls to the store failed.
func (p *Part) away() bool {
	for _, f := range p.feeds {
		if f.failures > 0 {
			return true
		}
	}
	return false
}

func (p *Part) merge(now time.Duration, f *feed, list wire.ObjectList, out *event.Batch) {
	var changed []wire.Object
	if f.listed {
		changed = f.takeAll(list.Objects)
	} else {
		if list.Revision < f.position {
			f.next = now + firstRetry // an answer older than what is known
			return
		}
		changed = f.replace(list)
		if f.position == 0 && f.prefix != PrefixHosts { // the first list of this process
			f.next, f.nextCheck = now+settleIn, now+settleIn
		}
	}
	if f.listed {
		p.push(now, f, changed, out)
	}
	f.listed = true
	f.position = max(f.position, list.Revision)
	p.apply(now, f, changed, p.justReturned(now), out)
}

// takeAll takes the newer ones of objects and returns them; a deleted one carries its last value.
func (f *feed) takeAll(objects []wire.Object) []wire.Object {
	var changed []wire.Object
	for _, o := range objects {
		old := f.objects[o.Name]
		if !f.take(o) {
			continue
		}
		if o.Deleted {
			o.Value = old.Value
		}
		changed = append(changed, o)
	}
	return changed
}
