package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// ObjectCall identifies one call to the object API: the component that made it and the number that the component gave
// it.
type ObjectCall struct {
	Owner string
	Seq   uint64
}

// GetObject reads one object.
type GetObject struct {
	Call ObjectCall
	Name string
}

// PutObject writes one object conditionally. Version is the version that was read, 0 to create the object. Writer is
// unique to the write, so that a write whose answer is lost can be distinguished from another writer's. The write is
// not sent after Before (0: no limit).
type PutObject struct {
	Call    ObjectCall
	Name    string
	Version uint64
	Writer  string
	Value   []byte
	Urgent  bool // for lease renewals, which are sent before other calls
	Before  time.Duration
}

// DeleteObject deletes one object conditionally.
type DeleteObject struct {
	Call    ObjectCall
	Name    string
	Version uint64
}

// ListObjects reads all objects under a prefix.
type ListObjects struct {
	Call   ObjectCall
	Prefix string
	Direct bool // not through another host
}

// WatchObjects is a long poll for changes under a prefix after a revision.
type WatchObjects struct {
	Call   ObjectCall
	Prefix string
	After  uint64
	Wait   time.Duration
}

// ListEndpoints reads the platform's endpoint list, which lags.
type ListEndpoints struct{ Call ObjectCall }

// ObjectDone ends a GetObject, PutObject or DeleteObject. Kind is "" for success, NotFound, Conflict,
// DeadlineExceeded for a write that was not sent because of its Before, or StoreUnavailable, after which a write may
// or may not have taken effect. SentAt is the time at which the call was sent.
type ObjectDone struct {
	Call   ObjectCall
	Object wire.Object
	Kind   kinds.Kind
	SentAt time.Duration
}

// ObjectsDone ends a ListObjects or WatchObjects.
type ObjectsDone struct {
	Call   ObjectCall
	Prefix string
	List   wire.ObjectList
	Kind   kinds.Kind
	SentAt time.Duration
}

// EndpointsDone ends a ListEndpoints.
type EndpointsDone struct {
	Call   ObjectCall
	List   wire.EndpointList
	Kind   kinds.Kind
	SentAt time.Duration
}

func (GetObject) isEffect()     {}
func (PutObject) isEffect()     {}
func (DeleteObject) isEffect()  {}
func (ListObjects) isEffect()   {}
func (WatchObjects) isEffect()  {}
func (ListEndpoints) isEffect() {}
func (ObjectDone) isEvent()     {}
func (ObjectsDone) isEvent()    {}
func (EndpointsDone) isEvent()  {}
