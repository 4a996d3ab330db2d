package plat

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// store holds the objects, deleted ones too, and wakes the watches at each change.
type store struct {
	mu       sync.Mutex
	objects  map[string]wire.Object
	revision uint64
	changed  chan struct{}
}

func (s *store) prepare() {
	s.objects = map[string]wire.Object{}
	s.changed = make(chan struct{})
}

// write stores one object if its version is still the one given, and returns the object as it is after the call.
func (s *store) write(o wire.Object) (wire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[o.Name]
	current := old.Version
	if old.Deleted {
		current = 0
	}
	if o.Version != current {
		return old, false
	}
	s.revision++
	o.Version = old.Version + 1
	o.Revision = s.revision
	s.objects[o.Name] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

func (s *store) get(name string) (wire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	return o, ok && !o.Deleted
}

// list returns the objects under prefix that changed after revision, and a channel closed at the next change.
func (s *store) list(prefix string, after uint64, deleted bool) (wire.ObjectList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.ObjectList{Revision: s.revision}
	for name, o := range s.objects {
		if !strings.HasPrefix(name, prefix) || o.Revision <= after || (o.Deleted && !deleted) {
			continue
		}
		list.Objects = append(list.Objects, o)
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Revision < list.Objects[j].Revision })
	return list, s.changed
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.gate(w, &p.calls.Reads, p.reads) {
		return
	}
	o, ok := p.store.get(r.URL.Query().Get("Name"))
	if !ok {
		fail(w, http.StatusNotFound, "no such object")
		return
	}
	answer(w, http.StatusOK, o)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	if !p.gate(w, &p.calls.Writes, p.writes) {
		return
	}
	var put wire.ObjectPut
	if !read(w, r, &put) {
		return
	}
	if put.Name == "" {
		put.Name = r.URL.Query().Get("Name")
	}
	if len(put.Value) > maxValueBytes {
		fail(w, http.StatusRequestEntityTooLarge, "value over 1 MB")
		return
	}
	p.write(w, wire.Object{Name: put.Name, Version: put.Version, Writer: put.Writer, Value: put.Value})
}

func (p *Platform) write(w http.ResponseWriter, o wire.Object) {
	if p.outage() {
		fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	stored, ok := p.store.write(o)
	if !ok {
		answer(w, http.StatusConflict, stored)
		return
	}
	if p.loses(o.Name) {
		cut(w)
	}
	answer(w, http.StatusOK, stored)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !p.gate(w, &p.calls.Writes, p.writes) {
		return
	}
	name := r.URL.Query().Get("Name")
	if _, ok := p.store.get(name); !ok {
		fail(w, http.StatusNotFound, "no such object")
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	if err != nil || version == 0 {
		fail(w, http.StatusBadRequest, "version")
		return
	}
	p.write(w, wire.Object{Name: name, Version: version, Deleted: true})
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	if !p.gate(w, &p.calls.Reads, p.reads) {
		return
	}
	list, _ := p.store.list(r.URL.Query().Get("Prefix"), 0, false)
	answer(w, http.StatusOK, list)
}

func (p *Platform) watchObjects(w http.ResponseWriter, r *http.Request) {
	if !p.gate(w, &p.calls.Watches, p.reads) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("WaitMS"))
	timeout := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, p.LongestWatch))
	defer timeout.Stop()
	for {
		list, changed := p.store.list(query.Get("Prefix"), after, true)
		if len(list.Objects) > 0 {
			p.answerWatch(w, list)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			p.answerWatch(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answerWatch ends a watch; one that was waiting when an outage began fails like any other call.
func (p *Platform) answerWatch(w http.ResponseWriter, list wire.ObjectList) {
	if p.outage() {
		fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	answer(w, http.StatusOK, list)
}
