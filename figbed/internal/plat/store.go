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

// store holds the objects, including deleted ones, and wakes the watches at each change. Its methods may be called
// concurrently after prepare.
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

// write stores o if o.Version is the current version of the object (0 when there is none). It returns the object as it is
// after the call and whether o was stored.
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

// list returns the objects whose names start with prefix and whose revision is greater than after, ordered by revision,
// and a channel that is closed at the next change.
func (s *store) list(prefix string, after uint64, includeDeleted bool) (wire.ObjectList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.ObjectList{Revision: s.revision}
	for name, o := range s.objects {
		if !strings.HasPrefix(name, prefix) || o.Revision <= after || (o.Deleted && !includeDeleted) {
			continue
		}
		list.Objects = append(list.Objects, o)
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Revision < list.Objects[j].Revision })
	return list, s.changed
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, &p.calls.Reads, p.readLimiter) {
		return
	}
	o, ok := p.store.get(r.URL.Query().Get("Name"))
	if !ok {
		writeFailure(w, http.StatusNotFound, "no such object")
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, &p.calls.Writes, p.writeLimiter) {
		return
	}
	var put wire.ObjectPut
	if !readJSON(w, r, &put) {
		return
	}
	if put.Name == "" {
		put.Name = r.URL.Query().Get("Name")
	}
	if len(put.Value) > maxValueBytes {
		writeFailure(w, http.StatusRequestEntityTooLarge, "value is larger than 1 MiB")
		return
	}
	p.writeObject(w, wire.Object{Name: put.Name, Version: put.Version, Writer: put.Writer, Value: put.Value})
}

func (p *Platform) writeObject(w http.ResponseWriter, o wire.Object) {
	if p.inOutage() {
		writeFailure(w, http.StatusServiceUnavailable, "outage")
		return
	}
	stored, ok := p.store.write(o)
	if !ok {
		writeJSON(w, http.StatusConflict, stored)
		return
	}
	if p.takeLostAnswer(o.Name) {
		abortResponse(w)
	}
	writeJSON(w, http.StatusOK, stored)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, &p.calls.Writes, p.writeLimiter) {
		return
	}
	name := r.URL.Query().Get("Name")
	if _, ok := p.store.get(name); !ok {
		writeFailure(w, http.StatusNotFound, "no such object")
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	if err != nil || version == 0 {
		writeFailure(w, http.StatusBadRequest, "version is missing or invalid")
		return
	}
	p.writeObject(w, wire.Object{Name: name, Version: version, Deleted: true})
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, &p.calls.Reads, p.readLimiter) {
		return
	}
	list, _ := p.store.list(r.URL.Query().Get("Prefix"), 0, false)
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) watchObjects(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, &p.calls.Watches, p.readLimiter) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("WaitMS"))
	timeout := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, p.MaxWatchTime))
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

// answerWatch writes the response to a watch. A watch that waits when an outage begins fails like any other call.
func (p *Platform) answerWatch(w http.ResponseWriter, list wire.ObjectList) {
	if p.inOutage() {
		writeFailure(w, http.StatusServiceUnavailable, "outage")
		return
	}
	writeJSON(w, http.StatusOK, list)
}
