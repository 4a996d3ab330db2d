package conns

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
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
	body    sync.Mutex // held while the body of a request is written, also between two Writes
	writing sync.Mutex // held during a Write
	failure error      // of the last Write; guarded by writing
}

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
	return n, err
}

// Write writes p.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.failure = err
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
