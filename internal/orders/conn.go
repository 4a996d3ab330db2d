package orders

import (
	"net"
	"sync/atomic"
)

// guardedConn refuses to write once the deadline has passed. The write deadline of the connection alone is not
// enough: its timer fires late in a process that was stopped and goes on.
type guardedConn struct {
	net.Conn
	guard *guard
	wrote atomic.Bool
}

// Write writes b when the deadline has not passed.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.guard.now() >= c.guard.before {
		return 0, errTooLate
	}
	c.wrote.Store(true)
	return c.Conn.Write(b)
}
