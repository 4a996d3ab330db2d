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

// Store is the object API: the site's own or the platform's. Its methods may be called concurrently; every error has
// one of the kinds NotFound, Conflict, StoreRefused (nothing was done), HistoryGone (of Watch) and StoreUnavailable,
// after which a write may or may not have taken effect.
type Store interface {
	Get(ctx context.Context, name string) (wire.Object, error)
	Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error)
	Delete(ctx context.Context, name string, version uint64) error
	List(ctx context.Context, prefix string) (wire.ObjectList, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.ObjectList, error)
	Endpoints(ctx context.Context) (wire.EndpointList, error)
}

const (
	callsPerSecond = 50
	callBurst      = 100
	queueSize      = 4096
	callTimeout    = 2 * time.Second
	readTimeout    = 10 * time.Second // of lists and watches, whose answers are dated by their sending
)

// Executor carries out the effects on the object API: urgent calls first, all within a token bucket.
// Its exported fields are set before Prepare.
type Executor struct {
	Client  Store
	Post    func(event.Event) bool
	Now     func() time.Duration // monotonic, on the reducer's clock
	Scope   tally.Scope
	Timeout time.Duration // of one get, put or delete; 0 for the default
	// ReadTimeout bounds a list, and a watch beyond the time that it waits; 0 for the default.
	ReadTimeout time.Duration

	urgent  chan call
	normal  chan call
	limiter *rate.Limiter
}

// call is one effect made ready: run performs it, refuse reports that it was never sent.
type call struct {
	kind    string
	timeout time.Duration
	run     func(ctx context.Context) event.Event
	refuse  event.Event
}

// Prepare makes the queues; it is called once before Do and Run.
func (x *Executor) Prepare() {
	x.urgent = make(chan call, queueSize)
	x.normal = make(chan call, queueSize)
	x.limiter = rate.NewLimiter(callsPerSecond, callBurst)
	if x.Timeout == 0 {
		x.Timeout = callTimeout
	}
	if x.ReadTimeout == 0 {
		x.ReadTimeout = readTimeout
	}
}

// Do queues an effect on the object API; it returns false for other effects. It may be called concurrently.
func (x *Executor) Do(effect event.Effect) bool {
	c, urgent, ok := x.prepareCall(effect)
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
		go x.Post(c.refuse)
	}
	return true
}

// Run sends queued calls until ctx ends.
func (x *Executor) Run(ctx context.Context) error {
	for {
		if err := x.limiter.Wait(ctx); err != nil {
			return nil
		}
		c, ok := x.next(ctx)
		if !ok {
			return nil
		}
		go x.carryOut(ctx, c)
	}
}

func (x *Executor) next(ctx context.Context) (call, bool) {
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

func (x *Executor) carryOut(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	x.Post(c.run(ctx))
}

func (x *Executor) count(kind, result string) {
	x.Scope.Tagged(map[string]string{"Call": kind, "Result": result}).Counter("ObjectCalls").Inc(1)
}

// result counts a finished call and returns its kind.
func (x *Executor) result(kind string, err error) kinds.Kind {
	k := kinds.From(err)
	if k == "" {
		x.count(kind, "OK")
		return k
	}
	x.count(kind, string(k))
	return k
}

func (x *Executor) prepareCall(effect event.Effect) (c call, urgent, ok bool) {
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
			object, err := x.Client.Get(ctx, e.Name)
			return event.ObjectDone{Call: e.Call, Object: object, Kind: x.result("get", err), SentAt: sent}
		},
		refuse: event.ObjectDone{Call: e.Call, Kind: kinds.StoreUnavailable},
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
			object, err := x.Client.Put(ctx, put)
			return event.ObjectDone{Call: e.Call, Object: object, Kind: x.result("put", err), SentAt: sent}
		},
		refuse: event.ObjectDone{Call: e.Call, Kind: kinds.DeadlineExceeded},
	}
}

func (x *Executor) remove(e event.DeleteObject) call {
	return call{
		kind:    "delete",
		timeout: x.Timeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			err := x.Client.Delete(ctx, e.Name, e.Version)
			return event.ObjectDone{Call: e.Call, Kind: x.result("delete", err), SentAt: sent}
		},
		refuse: event.ObjectDone{Call: e.Call, Kind: kinds.StoreUnavailable},
	}
}

func (x *Executor) list(e event.ListObjects) call {
	return call{
		kind:    "list",
		timeout: x.ReadTimeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			list, err := x.Client.List(ctx, e.Prefix)
			return event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, List: list, Kind: x.result("list", err), SentAt: sent}
		},
		refuse: event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kinds.StoreUnavailable},
	}
}

func (x *Executor) watch(e event.WatchObjects) call {
	return call{
		kind:    "watch",
		timeout: x.ReadTimeout + e.Wait,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			list, err := x.Client.Watch(ctx, e.Prefix, e.After, e.Wait)
			return event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, List: list, Kind: x.result("watch", err), SentAt: sent}
		},
		refuse: event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kinds.StoreUnavailable},
	}
}

func (x *Executor) endpoints(e event.ListEndpoints) call {
	return call{
		kind:    "endpoints",
		timeout: x.ReadTimeout,
		run: func(ctx context.Context) event.Event {
			sent := x.Now()
			list, err := x.Client.Endpoints(ctx)
			return event.EndpointsDone{Call: e.Call, List: list, Kind: x.result("endpoints", err), SentAt: sent}
		},
		refuse: event.EndpointsDone{Call: e.Call, Kind: kinds.StoreUnavailable},
	}
}
