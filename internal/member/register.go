package member

import (
	"encoding/json"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	registerOwner      = "member"
	registerRetryDelay = 500 * time.Millisecond
)

// registration writes this host's object once for each start and once more when it is admitted. It reads the object
// before it replaces it.
type registration struct {
	written     bool // the stored object is as wanted
	admit       bool // the object is to say that the host is admitted
	callPending bool
	callIsWrite bool // the last call was the write
	callSeq     uint64
	nextCallAt  time.Duration
}

func (r *registration) tick(now time.Duration, self event.Host, out *event.Batch) {
	if r.written || r.callPending || now < r.nextCallAt {
		return
	}
	r.callPending = true
	r.callIsWrite = false
	r.callSeq++
	out.Emit(event.GetObject{Call: event.ObjectCall{Owner: registerOwner, Seq: r.callSeq}, Name: Prefix + self.Name})
}

func (r *registration) done(now time.Duration, self event.Host, e event.ObjectDone, out *event.Batch) {
	if e.Call.Owner != registerOwner || e.Call.Seq != r.callSeq {
		return
	}
	r.callPending = false
	r.nextCallAt = now + registerRetryDelay
	if r.callIsWrite {
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

func (r *registration) write(self event.Host, version uint64, out *event.Batch) {
	value, err := json.Marshal(self)
	if err != nil {
		return
	}
	r.callPending = true
	r.callIsWrite = true
	r.callSeq++
	out.Emit(event.PutObject{
		Call:    event.ObjectCall{Owner: registerOwner, Seq: r.callSeq},
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
