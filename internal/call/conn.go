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
	dialTimeout    = time.Second
	idlePerHost    = 64
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 64 << 10
	readBuffer     = 16 << 10
)

// gatedConn is a connection to an endpoint. It writes only for the attempt that holds it and only
// as far as that attempt's gate allows, and counts the bytes written.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write writes p when the holder's gate is open.
func (c *gatedConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errors.New("the connection is not held by an attempt")
	}
	if err := g.enter(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	g.written.Add(int64(n))
	return n, err
}

var (
	errExpired = errors.New("the time to send has passed")
	errSpent   = errors.New("the attempt has written on another connection")
)

// gate decides whether an attempt may write. An attempt writes on one connection only, and its first byte
// leaves before its time.
type gate struct {
	now     func() time.Duration
	ctx     context.Context
	before  atomic.Int64 // time.Duration, 0 while the attempt may not write
	written atomic.Int64
	conn    atomic.Pointer[gatedConn]
	expired atomic.Bool
}

func (g *gate) enter(c *gatedConn) error {
	if held := g.conn.Load(); held != nil {
		if held != c && g.written.Load() > 0 {
			return errSpent
		}
		if held == c && g.written.Load() > 0 {
			return nil
		}
	}
	if g.ctx.Err() != nil || int64(g.now()) >= g.before.Load() {
		g.expired.Store(true)
		return errExpired
	}
	g.conn.Store(c)
	return nil
}

// newTransport returns a transport to endpoints. Without keepAlive each attempt gets a fresh connection,
// so that no request is written to one that the endpoint is about to close.
func newTransport(keepAlive bool) *http.Transport {
	dialer := conns.Dialer(dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBuffer,
	}
}
