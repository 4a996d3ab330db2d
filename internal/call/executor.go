package call

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// Executor carries out attempts. Its exported fields are set before Prepare.
type Executor struct {
	Incarnation string // of the daemon, part of the ids that endpoints see
	Post        func(event.Event) bool
	Now         func() time.Duration
	Samples     Samples
	Names       Names // the zero value takes OwnNames

	reused    *http.Transport
	fresh     *http.Transport
	polls     *http.Transport
	ended     chan struct{}
	mu        sync.Mutex
	exchanges map[uint64]*Exchange
}

// Prepare makes the connections' pools; it is called once, before the other methods.
func (x *Executor) Prepare() {
	if x.Names.Request == "" {
		x.Names = OwnNames()
	}
	x.reused = newTransport(true)
	x.fresh = newTransport(false)
	x.polls = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	x.ended = make(chan struct{})
	x.exchanges = map[uint64]*Exchange{}
}

// Run waits for ctx and then ends every exchange.
func (x *Executor) Run(ctx context.Context) error {
	<-ctx.Done()
	close(x.ended)
	x.reused.CloseIdleConnections()
	x.polls.CloseIdleConnections()
	return nil
}

// RequestID returns the id of a request that endpoints and callers see. It may be called concurrently.
func (x *Executor) RequestID(request uint64) string {
	return x.Incarnation + "-" + strconv.FormatUint(request, 10)
}

// Open makes an exchange known; Close forgets it. They may be called concurrently.
func (x *Executor) Open(e *Exchange) {
	if e.ID == "" {
		e.ID = x.RequestID(e.Request)
	}
	e.commands = make(chan event.Effect, commandsAhead)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.exchanges[e.Request] = e
}

// Close forgets an exchange.
func (x *Executor) Close(e *Exchange) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.exchanges, e.Request)
}

func (x *Executor) find(request uint64) *Exchange {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.exchanges[request]
}

// Do takes the effects of requests and polls. It does not block.
func (x *Executor) Do(effect event.Effect) bool {
	switch c := effect.(type) {
	case event.StartAttempt:
		x.start(c)
	case event.SendAttempt:
		if e := x.find(c.Request); e != nil {
			e.send(c)
		}
	case event.StopAttempt:
		if e := x.find(c.Request); e != nil {
			e.stop(c)
		}
	case event.AnswerRequest:
		x.command(c.Request, c)
	case event.PollEndpoint:
		go x.poll(c)
	default:
		return false
	}
	return true
}

func (x *Executor) start(c event.StartAttempt) {
	if x.command(c.Request, c) {
		return
	}
	if c.Sample == nil || x.Samples == nil {
		go x.Post(event.AttemptDone{Request: c.Request, Attempt: c.Attempt, Run: kinds.NotRun, Reason: event.ReasonGone})
		return
	}
	e := &Exchange{Request: c.Request, Method: http.MethodPost, Header: http.Header{}}
	e.Sink = &sampleSink{ref: *c.Sample, request: c.Request, samples: x.Samples}
	x.Open(e)
	e.commands <- c
	go x.runSample(e, *c.Sample)
}

func (x *Executor) runSample(e *Exchange, ref event.SampleRef) {
	defer x.Close(e)
	if g, ok := x.Samples.Generate(ref); ok {
		e.Generate = &g
	}
	e.Run(context.Background(), x, func() {})
}

// command hands an effect to its exchange and reports whether that is known.
func (x *Executor) command(request uint64, c event.Effect) bool {
	e := x.find(request)
	if e == nil {
		return false
	}
	select {
	case e.commands <- c:
	default:
	}
	return true
}
