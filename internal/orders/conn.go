package orders

import (
	"net"
	"sync/atomic"
	"time"
)

// leasedConn refuses to write once the lease's deadline has passed. The write deadline of the connection alone is not
// enough: its timer fires late in a process that was suspended and resumed.
type leasedConn struct {
	net.Conn
	dialer  *dialer
	until   time.Time // the lease's deadline
	written atomic.Bool
}

// SetWriteDeadline sets a write deadline that is not after the lease's.
func (c *leasedConn) SetWriteDeadline(t time.Time) error {
	if t.After(c.until) {
		t = c.until
	}
	return c.Conn.SetWriteDeadline(t)
}

// NetConn returns the connection that was dialled.
func (c *leasedConn) NetConn() net.Conn { return c.Conn }

// Write writes b if the deadline has not passed.
func (c *leasedConn) Write(b []byte) (int, error) {
	if c.dialer.now() >= c.dialer.deadline {
		return 0, errLeaseExpired
	}
	c.written.Store(true)
	return c.Conn.Write(b)
}
