package call

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/conns"
)

const (
	dialTimeout        = time.Second
	maxIdlePerEndpoint = 64
	idleTimeout        = 20 * time.Second
	readBufferBytes    = 16 << 10
)

// gatedConn is a connection to an endpoint. It writes only for the attempt that uses it, as far as the write gate of
// that attempt allows, and counts the bytes written.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[writeGate]
}

// NetConn returns the connection that was dialled.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }

// Write writes p when the write gate of the attempt is open.
func (c *gatedConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errors.New("no attempt uses the connection")
	}
	if err := g.admit(c); err != nil {
		return 0, err
	}
	g.written.Add(int64(len(p))) // before the write, since the endpoint may answer before it returns
	n, err := c.Conn.Write(p)
	g.written.Add(int64(n - len(p)))
	return n, err
}

var (
	errSendExpired      = errors.New("the send deadline has passed")
	errWrittenElsewhere = errors.New("the attempt has already written on another connection")
)

// writeGate decides whether an attempt may write: on one connection only, and with its first byte before the send
// deadline.
type writeGate struct {
	now      func() time.Duration
	ctx      context.Context
	deadline atomic.Int64 // time.Duration, 0 while the attempt may not write
	written  atomic.Int64
	owner    atomic.Pointer[gatedConn]
	expired  atomic.Bool
}

func (g *writeGate) admit(c *gatedConn) error {
	if owner := g.owner.Load(); owner != nil {
		if owner != c && g.written.Load() > 0 {
			return errWrittenElsewhere
		}
		if owner == c && g.written.Load() > 0 {
			return nil
		}
	}
	if g.ctx.Err() != nil || int64(g.now()) >= g.deadline.Load() {
		g.expired.Store(true)
		return errSendExpired
	}
	g.owner.Store(c)
	return nil
}

// newTransport returns a transport to endpoints. Without keepAlive each attempt opens a new connection, so that no
// request is written to a connection that the endpoint is about to close.
//
// With an identity, it is known to which incarnation of an endpoint each connection leads.
func newTransport(dialer *net.Dialer, keepAlive bool, identity *conns.Identity) *conns.Checked {
	return conns.Check(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dial := func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, network, address) }
			conn, err := dialIdentified(ctx, identity, dial)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: conns.MaxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
	})
}

func dialIdentified(ctx context.Context, identity *conns.Identity, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	if identity == nil {
		return dial(ctx)
	}
	return identity.Dial(ctx, dial)
}
