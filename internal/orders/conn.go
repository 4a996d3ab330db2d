package orders

import (
	"net"
	"sync/atomic"
)

// leasedConn refuses to write once the lease's deadline has passed. The write deadline of the connection alone is not
// enough: its timer fires late in a process that was suspended and resumed.
type leasedConn struct {
	net.Conn
	dialer  *dialer
	written atomic.Bool
}

// Write writes b if the deadline has not passed.
func (c *leasedConn) Write(b []byte) (int, error) {
	if c.dialer.now() >= c.dialer.deadline {
		return 0, errLeaseExpired
	}
	c.written.Store(true)
	return c.Conn.Write(b)
}
