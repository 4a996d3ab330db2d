package gate

import (
	"time"

	"github.com/figshift/figshift/internal/budget"
)

const (
	// lingerTime and lingerBytes bound what is read and dropped after a refusal, so that a reset doesn't take the refusal with it.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	lingerBlock = 2 << 10
)

// SetLinger sets what Close does with bytes that have not been sent. With 0 seconds it closes the connection at once.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.abrupt = seconds == 0
	c.mu.Unlock()
	return c.TCPConn.SetLinger(seconds)
}

// Close closes the connection. What the client still sends after a refusal is dropped for a while.
func (c *Conn) Close() error {
	var err error
	c.once.Do(func() {
		c.claim.Reset(budget.Connections)
		c.linger()
		err = c.TCPConn.Close()
		c.gate.remove(c)
		c.claim.Close()
		close(c.done)
	})
	return err
}

func (c *Conn) linger() {
	c.mu.Lock()
	refused := c.unfinished || refusals[c.reason] != 0
	abrupt := c.abrupt || c.waits == waitsIdle || c.gate.stopped.Load()
	c.mu.Unlock()
	if !refused || abrupt {
		return
	}
	if c.TCPConn.CloseWrite() != nil || c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return // the client has closed the connection
	}
	block := make([]byte, lingerBlock)
	for total := 0; total < lingerBytes; {
		n, err := c.TCPConn.Read(block)
		if err != nil {
			return
		}
		total += n
	}
}
