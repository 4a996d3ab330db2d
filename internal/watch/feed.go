package watch

import (
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// feed mirrors the objects under one prefix. An object is replaced only by one with a higher store revision.
type feed struct {
	prefix           string
	objects          map[string]wire.Object // by name; deleted objects stay, marked as deleted
	complete         bool                   // objects holds every object up to knownRevision
	knownRevision    uint64                 // highest object revision up to which all changes are known
	answeredRevision uint64                 // store revision of the last answer to an own call, 0 before the first
	contactAt        time.Duration          // sending time of the last own call that was answered
	copyRevisions    map[string]uint64      // revision of each full copy received while not complete, by host
	callPending      bool
	callSeq          uint64
	minRevision      uint64 // store revision below which the answer to the call in flight is outdated
	failures         int    // consecutive calls without a usable answer
	nextCallAt       time.Duration
}

func newFeed(prefix string) *feed {
	return &feed{prefix: prefix, objects: map[string]wire.Object{}, copyRevisions: map[string]uint64{}}
}

// watchFrom returns the store revision after which changes are not yet known.
func (f *feed) watchFrom() uint64 { return max(f.answeredRevision, f.knownRevision) }

// apply stores the objects that are newer than the known ones and returns them in the order of their revisions.
func (f *feed) apply(objects []wire.Object) []wire.Object {
	var changed []wire.Object
	for _, o := range objects {
		if !strings.HasPrefix(o.Name, f.prefix) || o.Revision <= f.objects[o.Name].Revision {
			continue
		}
		f.objects[o.Name] = o
		changed = append(changed, o)
	}
	slices.SortFunc(changed, byRevision)
	return changed
}

// deleteMissing marks the known objects that a full list lacks as deleted and returns them.
func (f *feed) deleteMissing(list wire.ObjectList) []wire.Object {
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
	}
	var removed []wire.Object
	for _, o := range f.changedAfter(0) {
		if listed[o.Name] || o.Deleted || o.Revision > list.Revision {
			continue
		}
		o.Deleted = true
		o.Value = nil
		f.objects[o.Name] = o
		removed = append(removed, o)
	}
	return removed
}

// hasEnoughCopies reports whether any majority of the admitted hosts includes another host that has sent its full copy.
// This host is not counted: a change that it acknowledged before a restart is held by the others of that majority, too.
func (f *feed) hasEnoughCopies(admitted map[string]bool, self string) bool {
	admittedHosts, copies := 0, 0
	for name, ok := range admitted {
		if !ok {
			continue
		}
		admittedHosts++
		if _, ok := f.copyRevisions[name]; ok {
			copies++
		}
	}
	if admitted[self] {
		return copies > 0 && copies >= (admittedHosts+1)/2
	}
	return copies > admittedHosts/2
}

// advanceRevision raises knownRevision to the highest revision of objects.
func (f *feed) advanceRevision(objects []wire.Object) {
	for _, o := range objects {
		f.knownRevision = max(f.knownRevision, o.Revision)
	}
}

// changedAfter returns the objects that changed after a revision, in the order of their revisions.
func (f *feed) changedAfter(revision uint64) []wire.Object {
	var objects []wire.Object
	for _, o := range f.objects {
		if o.Revision > revision {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, byRevision)
	return objects
}

func byRevision(a, b wire.Object) int {
	switch {
	case a.Revision < b.Revision:
		return -1
	case a.Revision > b.Revision:
		return 1
	default:
		return strings.Compare(a.Name, b.Name)
	}
}
