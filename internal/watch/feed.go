package watch

import (
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// feed holds the objects under one prefix. An object is replaced only by one with a higher store revision.
type feed struct {
	prefix   string
	objects  map[string]wire.Object // deleted ones stay, marked
	complete bool                   // objects are whole up to upTo
	upTo     uint64                 // highest revision of an object under the prefix
	seen     uint64                 // store revision of the last own answer, 0 before the first
	contact  time.Duration          // sending time of the last own call that was answered
	answered map[string]uint64      // revisions of the whole copies that were merged while not complete, by host
	busy     bool
	seq      uint64
	floor    uint64 // store revision below which the answer to the call under way is outdated
	failures int    // calls in a row without a usable answer
	next     time.Duration
}

func newFeed(prefix string) *feed {
	return &feed{prefix: prefix, objects: map[string]wire.Object{}, answered: map[string]uint64{}}
}

// position returns the store revision after which changes are not yet known.
func (f *feed) position() uint64 { return max(f.seen, f.upTo) }

// apply takes the objects that are newer than the known ones and returns them in the order of their revisions.
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

// removeMissing marks the known objects that a whole list lacks as deleted and returns them.
func (f *feed) removeMissing(list wire.ObjectList) []wire.Object {
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
	}
	var removed []wire.Object
	for _, o := range f.after(0) {
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

// hasEnough reports whether so many admitted hosts have given their whole copy that any majority has one of them. The
// host itself is none of them: what it acknowledged before it was started anew, the others of that majority hold.
func (f *feed) hasEnough(admitted map[string]bool, self string) bool {
	hosts, answered := 0, 0
	for name, ok := range admitted {
		if !ok {
			continue
		}
		hosts++
		if _, ok := f.answered[name]; ok {
			answered++
		}
	}
	if admitted[self] {
		return answered > 0 && answered >= (hosts+1)/2
	}
	return answered > hosts/2
}

// advance raises upTo to the highest revision of objects.
func (f *feed) advance(objects []wire.Object) {
	for _, o := range objects {
		f.upTo = max(f.upTo, o.Revision)
	}
}

// after returns the objects that changed after a revision, in the order of their revisions.
func (f *feed) after(revision uint64) []wire.Object {
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
