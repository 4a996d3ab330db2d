// Package gate accepts the connections of clients that may not behave, and bounds their number, the memory that they make the
// process hold, and the time for which they are waited for.
package gate

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figshift/figshift/internal/budget"
)

// sweepInterval is the time between two checks of all connections, by which their waiting is counted. It is not measured by a
// clock, so that a pause of the process doesn't use it up.
const sweepInterval = time.Second

const (
	// receiveBuffer bounds what the system holds of a connection that has not been read, in bytes.
	receiveBuffer = 64 << 10
	// connBytes is what an open connection holds: its goroutine and buffers, and what has not been read.
	connBytes = 20<<10 + receiveBuffer
	// closeWait bounds the wait for a connection that was closed to make room for another.
	closeWait = 100 * time.Millisecond
)

// Reasons for which clients are turned away.
const (
	ReasonConnections = "Connections" // more connections than allowed
	ReasonMemory      = "Memory"
	ReasonHeadSize    = "HeadSize"
	ReasonHeadTime    = "HeadTime"
	ReasonBodyRate    = "BodyRate"
	ReasonIdle        = "Idle" // not counted as turned away
	ReasonUnread      = "Unread"
)

// Limits are what a client may send and for how long it is waited for; zero fields take those of DefaultLimits.
type Limits struct {
	HeadBytes int
	HeadTime  time.Duration // for a whole head, from its first byte
	IdleTime  time.Duration // for the next request
}

// DefaultLimits returns the limits without a configuration.
func DefaultLimits() Limits {
	return Limits{HeadBytes: 32 << 10, HeadTime: 5 * time.Second, IdleTime: 2 * time.Minute}
}

// Gate bounds the connections of one listener. Its exported fields are set before use. Its methods may be called concurrently.
type Gate struct {
	Budget   *budget.Budget // nil for no bound
	MaxConns int            // 0 for no bound
	// TurnedAway is called at most once a sweep for each reason, with the number of connections; nil for none.
	TurnedAway func(reason string, count int)

	limits  atomic.Pointer[Limits]
	sweeps  atomic.Int64
	stopped atomic.Bool
	mu      sync.Mutex
	conns   map[*Conn]struct{}
	counts  map[string]int // turned away since the last sweep, by reason
}

// SetLimits changes the limits. They apply to the requests that begin afterwards.
func (g *Gate) SetLimits(l Limits) {
	defaults := DefaultLimits()
	l.HeadBytes = cmp.Or(l.HeadBytes, defaults.HeadBytes)
	l.HeadTime = cmp.Or(l.HeadTime, defaults.HeadTime)
	l.IdleTime = cmp.Or(l.IdleTime, defaults.IdleTime)
	g.limits.Store(&l)
}

func (g *Gate) currentLimits() Limits {
	if l := g.limits.Load(); l != nil {
		return *l
	}
	return DefaultLimits()
}

// Admit returns the connection of a new client, nil when it was turned away and closed. At the bound, the client that has been
// waited for the longest is turned away in its place, if there is one.
func (g *Gate) Admit(tcp *net.TCPConn) *Conn {
	c := &Conn{TCPConn: tcp, gate: g, done: make(chan struct{})}
	c.claim = g.Budget.Open(func() { c.end(ReasonMemory) })
	if victim, ok := g.add(c); !ok {
		c.claim.Close()
		_ = tcp.Close()
		return nil
	} else if victim != nil {
		victim.end(ReasonConnections)
		select {
		case <-victim.done:
		case <-time.After(closeWait):
		}
	}
	if c.claim.Grow(budget.Connections, connBytes) != nil {
		g.count(ReasonMemory)
		_ = c.Close()
		return nil
	}
	c.await(waitsIdle)
	return c
}

// add adds a connection. At the bound it returns the one that is to be closed, or false when all have requests that are being
// answered.
func (g *Gate) add(c *Conn) (victim *Conn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.MaxConns > 0 && len(g.conns) >= g.MaxConns {
		if victim = g.longestAwaited(); victim == nil {
			g.countLocked(ReasonConnections)
			return nil, false
		}
	}
	if g.conns == nil {
		g.conns = map[*Conn]struct{}{}
	}
	g.conns[c] = struct{}{}
	return victim, true
}

func (g *Gate) longestAwaited() *Conn {
	var longest *Conn
	since := int64(0)
	for c := range g.conns {
		state, at, ended := c.waitState()
		if state != waitsNot && !ended && (longest == nil || at < since) {
			longest, since = c, at
		}
	}
	return longest
}

func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

func (g *Gate) count(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countLocked(reason)
}

func (g *Gate) countLocked(reason string) {
	if g.counts == nil {
		g.counts = map[string]int{}
	}
	g.counts[reason]++
}

// Run checks the connections until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// sweep ends the connections that have been waited for too long and reports those that were turned away.
func (g *Gate) sweep() {
	now := g.sweeps.Add(1)
	limits := g.currentLimits()
	g.mu.Lock()
	conns := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	counts := g.counts
	g.counts = nil
	g.mu.Unlock()
	for _, c := range conns {
		c.check(now, limits)
	}
	for reason, n := range counts {
		if g.TurnedAway != nil {
			g.TurnedAway(reason, n)
		}
	}
}

// Stop lets connections be closed at once from then on.
func (g *Gate) Stop() { g.stopped.Store(true) }

// Serve serves requests on the connections of a listener that returns those of Admit, each with a Conn that From returns. It sets
// what the server needs for that, and returns the error of its Serve.
func (g *Gate) Serve(server *http.Server, listener net.Listener) error {
	handler, track := server.Handler, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			connOf(conn).beginIdle()
		}
		if track != nil {
			track(conn, state)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := From(r.Context())
		conn.beginRequest(r)
		handler.ServeHTTP(&answerWriter{ResponseWriter: w, conn: conn}, r)
	})
	server.MaxHeaderBytes = 1 << 30 // the connections bound heads
	return server.Serve(listener)
}

type connKey struct{}

// From returns the connection of a request, nil when it did not come through a gate.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// connOf returns the Conn that a listener's connection is or embeds.
func connOf(conn net.Conn) *Conn {
	if c, ok := conn.(interface{ Gated() *Conn }); ok {
		return c.Gated()
	}
	return nil
}
