package member

import (
	"encoding/json"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	registerOwner = "member"
	registerRetry = 500 * time.Millisecond
)

// register writes this host's object once for each start: it reads the object, then replaces it.
type register struct {
	written bool
	busy    bool
	seq     uint64
	writes  bool // the call under way is the write
	next    time.Duration
}

func (r *register) tick(now time.Duration, self event.Host, out *event.Batch) {
	if r.written || r.busy || now < r.next {
		return
	}
	r.busy = true
	r.writes = false
	r.seq++
	out.Emit(event.GetObject{Call: event.ObjectCall{Owner: registerOwner, Seq: r.seq}, Name: Prefix + self.Name})
}

func (r *register) done(now time.Duration, self event.Host, e event.ObjectDone, out *event.Batch) {
	if e.Call.Owner != registerOwner || e.Call.Seq != r.seq {
		return
	}
	r.busy = false
	if r.writes {
		r.written = e.Kind == ""
		r.next = now + registerRetry
		return
	}
	if e.Kind != "" && e.Kind != kinds.NotFound {
		r.next = now + registerRetry
		return
	}
	if e.Kind == "" && e.Object.Writer == writer(self) {
		r.written = true // an earlier write whose answer was lost
		return
	}
	r.write(self, e, out)
}

func (r *register) write(self event.Host, read event.ObjectDone, out *event.Batch) {
	value, err := json.Marshal(self)
	if err != nil {
		return
	}
	var version uint64
	if read.Kind == "" {
		version = read.Object.Version
	}
	r.busy = true
	r.writes = true
	r.seq++
	out.Emit(event.PutObject{
		Call:    event.ObjectCall{Owner: registerOwner, Seq: r.seq},
		Name:    Prefix + self.Name,
		Version: version,
		Writer:  writer(self),
		Value:   value,
	})
}

func writer(self event.Host) string { return self.Name + "/" + self.Incarnation + "/" + registerOwner }

func decodeHost(object wire.Object) (event.Host, bool) {
	var host event.Host
	if object.Deleted || json.Unmarshal(object.Value, &host) != nil {
		return event.Host{}, false
	}
	return host, true
}
