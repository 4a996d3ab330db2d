package conns

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// endWait is the time for which a request may still be written after the other side has ended its own, so that a write to a
// process that is gone fails.
const endWait = 100 * time.Millisecond

// conn is a connection whose failure is an error of its reads also if a write met it. The kernel tells a failure to one call only:
// after a write that got it, a read gets io.EOF, which is the end of a whole answer if the answer has no length.
//
// One goroutine writes, another one reads.
type conn struct {
	net.Conn
	body    sync.Mutex               // held while the body of a request is written, also between two Writes
	writing sync.Mutex               // held during a Write
	failure error                    // of the last Write; guarded by writing
	user    atomic.Pointer[exchange] // the last exchange on the connection, until its answer is whole
	failed  atomic.Bool              // a Read or Write has failed
}

// Close closes the connection. It is reset when an exchange was abandoned on it or has failed: bytes of the request that a broken
// link holds up would else reach the other side once the link is back, which would then run a request that nobody waits for.
func (c *conn) Close() error {
	if e := c.user.Load(); e != nil && (c.failed.Load() || e.isAbandoned()) {
		resetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// Abandon closes a connection with a reset.
func Abandon(c net.Conn) {
	resetOnClose(c)
	_ = c.Close()
}

// resetOnClose has a connection reset when it is closed.
func resetOnClose(c net.Conn) {
	if t := tcp(c); t != nil {
		_ = t.SetLinger(0) // fails on a connection that is closed
	}
}

// tcp returns the TCP connection inside others, which have a method NetConn as tls.Conn does; nil for none.
func tcp(c net.Conn) *net.TCPConn {
	for {
		switch inner := c.(type) {
		case *net.TCPConn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}

// NetConn returns the connection that was dialled.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Inner returns the connection that was dialled for a Checked transport, and any other connection as it is.
func Inner(c net.Conn) net.Conn {
	if checked, ok := c.(*conn); ok {
		return checked.Conn
	}
	return c
}

// Read reads into p. The other side's end is io.EOF only if the last write hasn't failed, and doesn't within endWait.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failure := c.awaitFailure(); failure != nil {
			err = failure
		}
	}
	if err != nil && err != io.EOF {
		c.failed.Store(true)
	}
	return n, err
}

// Write writes p.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.failure = err
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// awaitFailure waits until no request is being written and returns the error of the last write. One that is still blocked after
// endWait ends without a failure: the other side is there, but takes no more of the request.
func (c *conn) awaitFailure() error {
	_ = c.SetWriteDeadline(time.Now().Add(endWait)) // fails if the connection is closed, and then writes do too
	c.body.Lock()
	defer c.body.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.failure, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.failure
}
