package call

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Executor sends requests to endpoints and polls them. Its exported fields are set before Prepare.
type Executor struct {
	Incarnation string // of the daemon, part of the ids that endpoints receive
	Post        func(event.Event) bool
	Now         func() time.Duration
	Samples     Samples
	Names       HeaderNames // the zero value means DefaultHeaderNames
	Relays      Relays      // nil when there are none
	Secret      string      // of the hosts
	SourceIP    net.IP      // of connections to endpoints, nil for any

	keepAlive *conns.Checked
	singleUse *conns.Checked
	brief     *conns.Checked // as keepAlive, for brief attempts
	briefOnce *conns.Checked // as singleUse, for brief attempts
	probes    *conns.Checked // with a kept connection
	trials    *conns.Checked // with a new connection for each probe
	streams   *conns.Checked // single use, with connections that are identified
	polls     *conns.Checked
	closing   chan struct{}
	mu        sync.Mutex
	exchanges map[uint64]*Exchange
}

// Prepare creates the connection pools. It is called once, before the other methods.
func (x *Executor) Prepare() {
	if x.Names.Request == "" {
		x.Names = DefaultHeaderNames()
	}
	x.keepAlive = newTransport(x.dialer(), true, nil)
	x.singleUse = newTransport(x.dialer(), false, nil)
	brief := conns.BriefDialer(x.SourceIP, dialTimeout)
	x.brief, x.briefOnce = newTransport(brief, true, nil), newTransport(brief, false, nil)
	x.streams = newTransport(x.dialer(), false, x.Names.Identity)
	x.probes, x.trials = newProbeTransport(x.dialer(), true), newProbeTransport(x.dialer(), false)
	x.polls = conns.Check(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: conns.MaxHeaderBytes})
	x.closing = make(chan struct{})
	x.exchanges = map[uint64]*Exchange{}
}

// Run waits until ctx ends and then ends every exchange.
func (x *Executor) Run(ctx context.Context) error {
	<-ctx.Done()
	close(x.closing)
	x.keepAlive.CloseIdleConnections()
	x.brief.CloseIdleConnections()
	x.polls.CloseIdleConnections()
	x.probes.CloseIdleConnections()
	return nil
}

func (x *Executor) dialer() *net.Dialer { return conns.DialerFrom(x.SourceIP, dialTimeout) }

// verify checks that an identified connection leads to the incarnation of an endpoint that is meant, and reports what the
// endpoint has told of itself.
func (x *Executor) verify(conn net.Conn, endpoint wire.LeaveMark) {
	if found, ok := conns.Verify(conn, endpoint.Incarnation); ok {
		x.Post(event.EndpointIdentified{Endpoint: endpoint.Endpoint, Incarnation: endpoint.Incarnation, Found: found})
	}
}

// RequestID returns the id of a request as endpoints and callers receive it. It may be called concurrently.
func (x *Executor) RequestID(request uint64) string {
	return x.Incarnation + "-" + strconv.FormatUint(request, 10)
}

// Open registers an exchange, so that Do finds it until Close. It may be called concurrently.
func (x *Executor) Open(e *Exchange) {
	if e.ID == "" {
		e.ID = x.RequestID(e.Request)
	}
	e.commands = make(chan event.Effect, commandQueueSize)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.exchanges[e.Request] = e
}

// Close removes an exchange. It may be called concurrently.
func (x *Executor) Close(e *Exchange) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.exchanges, e.Request)
}

func (x *Executor) lookup(request uint64) *Exchange {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.exchanges[request]
}

// Do carries out the effects for requests and polls, without blocking. It reports whether the effect was one of them.
func (x *Executor) Do(effect event.Effect) bool {
	switch c := effect.(type) {
	case event.StartAttempt:
		x.startAttempt(c)
	case event.SendAttempt:
		if e := x.lookup(c.Request); e != nil {
			e.allowSend(c)
		}
	case event.StopAttempt:
		if e := x.lookup(c.Request); e != nil {
			e.stop(c)
		}
	case event.AnswerRequest:
		x.enqueue(c.Request, c)
	case event.PollEndpoint:
		go x.poll(c)
	case event.ProbeEndpoint:
		go x.probe(c)
	default:
		return false
	}
	return true
}

func (x *Executor) startAttempt(c event.StartAttempt) {
	if x.enqueue(c.Request, c) {
		return
	}
	if c.Sample == nil || x.Samples == nil {
		go x.Post(event.AttemptDone{Request: c.Request, Attempt: c.Attempt, Run: kinds.NotRun, Reason: event.ReasonBodyMissing})
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

// enqueue queues an effect for its exchange and reports whether the exchange is open.
func (x *Executor) enqueue(request uint64, c event.Effect) bool {
	e := x.lookup(request)
	if e == nil {
		return false
	}
	select {
	case e.commands <- c:
	default:
	}
	return true
}
