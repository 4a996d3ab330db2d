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

// register writes this host's object, once for each start and once more when it is admitted: it reads the object,
// then replaces it.
type register struct {
	written bool // the object is as wanted
	admit   bool // the object is to say that the host is admitted
	busy    bool
	writes  bool // the call under way is the write
	seq     uint64
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
	r.next = now + registerRetry
	if r.writes {
		r.written = e.Kind == ""
		return
	}
	if e.Kind != "" && e.Kind != kinds.NotFound {
		return
	}
	stored, _ := decodeHost(e.Object)
	self.Admitted = r.admit || stored.Admitted
	if stored == self {
		r.written = true // perhaps by an earlier write whose answer was lost
		return
	}
	r.write(self, e.Object.Version, out)
}

func (r *register) write(self event.Host, version uint64, out *event.Batch) {
	value, err := json.Marshal(self)
	if err != nil {
		return
	}
	r.busy = true
	r.writes = true
	r.seq++
	out.Emit(event.PutObject{
		Call:    event.ObjectCall{Owner: registerOwner, Seq: r.seq},
		Name:    Prefix + self.Name,
		Version: version,
		Writer:  self.Name + "/" + self.Incarnation + "/" + registerOwner,
		Value:   value,
	})
}

func decodeHost(object wire.Object) (event.Host, bool) {
	var host event.Host
	if object.Deleted || json.Unmarshal(object.Value, &host) != nil {
		return event.Host{}, false
	}
	return host, true
}
