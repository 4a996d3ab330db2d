package objapi

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Store is an object API, either the site's own or the platform's. Its methods may be called concurrently. Errors have
// one of the kinds NotFound, Conflict, StoreRefused (nothing was done), HistoryGone (Watch only) and StoreUnavailable,
// after which a write may or may not have taken effect.
type Store interface {
	Get(ctx context.Context, name string) (wire.Object, error)
	Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error)
	Delete(ctx context.Context, name string, version uint64) error
	List(ctx context.Context, prefix string) (wire.ObjectList, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.ObjectList, error)
	Endpoints(ctx context.Context) (wire.EndpointList, error)
}

// DirectLister is a Store that may make calls through other hosts. ListDirect doesn't; it is refused at once while direct calls fail.
type DirectLister interface {
	ListDirect(ctx context.Context, prefix string) (wire.ObjectList, error)
}

const (
	callsPerSecond     = 50
	callBurst          = 100
	maxQueuedCalls     = 4096
	defaultTimeout     = 2 * time.Second
	defaultReadTimeout = 10 * time.Second // of lists and watches, whose results are dated by the time of sending
)

// Executor carries out the effects on the object API. Urgent calls go first, and a token bucket limits all calls.
// Its exported fields are set before Prepare.
type Executor struct {
	Store   Store
	Post    func(event.Event) bool
	Now     func() time.Duration // monotonic time on the reducer's clock
	Scope   tally.Scope
	Timeout time.Duration // timeout of a get, put or delete; 0 for the default
	// ReadTimeout is the timeout of a list, and of a watch in addition to the time that it waits; 0 for the default.
	ReadTimeout time.Duration

	urgent  chan call
	normal  chan call
	limiter *rate.Limiter
}

// call is a queued effect: run performs it, and refusal is the event that reports that it was never sent.
type call struct {
	kind    string
	timeout time.Duration
	run     func(ctx context.Context) event.Event
	refusal event.Event
}

// Prepare creates the queues and sets the defaults; it is called once, before Do and Run.
func (x *Executor) Prepare() {
	x.urgent = make(chan call, maxQueuedCalls)
	x.normal = make(chan call, maxQueuedCalls)
	x.limiter = rate.NewLimiter(callsPerSecond, callBurst)
	if x.Timeout == 0 {
		x.Timeout = defaultTimeout
	}
	if x.ReadTimeout == 0 {
		x.ReadTimeout = defaultReadTimeout
	}
}

// Do queues an effect on the object API; it returns false for other effects. It may be called concurrently.
func (x *Executor) Do(effect event.Effect) bool {
	c, urgent, ok := x.newCall(effect)
	if !ok {
		return false
	}
	queue := x.normal
	if urgent {
		queue = x.urgent
	}
	select {
	case queue <- c:
	default:
		x.count(c.kind, "QueueFull")
		go x.Post(c.refusal)
	}
	return true
}

// Run sends queued calls until ctx ends.
func (x *Executor) Run(ctx context.Context) error {
	for {
		if err := x.limiter.Wait(ctx); err != nil {
			return nil
		}
		c, ok := x.nextCall(ctx)
		if !ok {
			return nil
		}
		go x.execute(ctx, c)
	}
}

func (x *Executor) nextCall(ctx context.Context) (call, bool) {
	select {
	case c := <-x.urgent:
		return c, true
	default:
	}
	select {
	case c := <-x.urgent:
		return c, true
	case c := <-x.normal:
		return c, true
	case <-ctx.Done():
		return call{}, false
	}
}

func (x *Executor) execute(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	x.Post(c.run(ctx))
}

func (x *Executor) count(kind, result string) {
	x.Scope.Tagged(map[string]string{"Call": kind, "Result": result}).Counter("ObjectCalls").Inc(1)
}

// countResult counts a finished call by its result and returns the kind of its error.
func (x *Executor) countResult(kind string, err error) kinds.Kind {
	k := kinds.KindOf(err)
	if k == "" {
		x.count(kind, "OK")
		return k
	}
	x.count(kind, string(k))
	return k
}

func (x *Executor) newCall(effect event.Effect) (c call, urgent, ok bool) {
	switch e := effect.(type) {
	case event.GetObject:
		return x.get(e), false, true
	case event.PutObject:
		return x.put(e), e.Urgent, true
	case event.DeleteObject:
		return x.remove(e), false, true
	case event.ListObjects:
		return x.list(e), false, true
	case event.WatchObjects:
		return x.watch(e), false, true
	case event.ListEndpoints:
		return x.endpoints(e), false, true
	default:
		return call{}, false, false
	}
}

func (x *Executor) get(e event.GetObject) call {
	return call{
		kind:    "get",
		timeout: x.Timeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			object, err := x.Store.Get(ctx, e.Name)
			return event.ObjectDone{Call: e.Call, Object: object, Kind: x.countResult("get", err), SentAt: sent}
		},
		refusal: event.ObjectDone{Call: e.Call, Kind: kinds.StoreUnavailable},
	}
}

func (x *Executor) put(e event.PutObject) call {
	put := wire.ObjectPut{Name: e.Name, Version: e.Version, Writer: e.Writer, Value: e.Value}
	return call{
		kind:    "put",
		timeout: x.Timeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			if e.Before != 0 && sent >= e.Before {
				x.count("put", string(kinds.DeadlineExceeded))
				return event.ObjectDone{Call: e.Call, Kind: kinds.DeadlineExceeded, SentAt: sent}
			}
			object, err := x.Store.Put(ctx, put)
			return event.ObjectDone{Call: e.Call, Object: object, Kind: x.countResult("put", err), SentAt: sent}
		},
		refusal: event.ObjectDone{Call: e.Call, Kind: kinds.DeadlineExceeded},
	}
}

func (x *Executor) remove(e event.DeleteObject) call {
	return call{
		kind:    "delete",
		timeout: x.Timeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			err := x.Store.Delete(ctx, e.Name, e.Version)
			return event.ObjectDone{Call: e.Call, Kind: x.countResult("delete", err), SentAt: sent}
		},
		refusal: event.ObjectDone{Call: e.Call, Kind: kinds.StoreUnavailable},
	}
}

func (x *Executor) list(e event.ListObjects) call {
	return call{
		kind:    "list",
		timeout: x.ReadTimeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			list, err := x.lister(e)(ctx, e.Prefix)
			return event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, List: list, Kind: x.countResult("list", err), SentAt: sent}
		},
		refusal: event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kinds.StoreUnavailable},
	}
}

// lister returns how a list is read. A store that makes no calls through other hosts reads each directly.
func (x *Executor) lister(e event.ListObjects) func(ctx context.Context, prefix string) (wire.ObjectList, error) {
	if s, ok := x.Store.(DirectLister); ok && e.Direct {
		return s.ListDirect
	}
	return x.Store.List
}

func (x *Executor) watch(e event.WatchObjects) call {
	return call{
		kind:    "watch",
		timeout: x.ReadTimeout + e.Wait,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			list, err := x.Store.Watch(ctx, e.Prefix, e.After, e.Wait)
			return event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, List: list, Kind: x.countResult("watch", err), SentAt: sent}
		},
		refusal: event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kinds.StoreUnavailable},
	}
}

func (x *Executor) endpoints(e event.ListEndpoints) call {
	return call{
		kind:    "endpoints",
		timeout: x.ReadTimeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			list, err := x.Store.Endpoints(ctx)
			return event.EndpointsDone{Call: e.Call, List: list, Kind: x.countResult("endpoints", err), SentAt: sent}
		},
		refusal: event.EndpointsDone{Call: e.Call, Kind: kinds.StoreUnavailable},
	}
}
