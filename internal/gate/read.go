package gate

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/figshift/figshift/internal/budget"
)

const (
	// fieldBytes is what a field of a head holds besides its text: an entry of a map and of a list, in the request and in the copy
	// that is forwarded.
	fieldBytes = 160
	// headSlack is what the lines of a head may have beyond the limit, which counts names and values.
	headSlack = 4
)

// Stages of reading.
const (
	readsHead = iota
	readsNext // a request without a body has been read: at most the next one's first byte may be read
	readsBody
	readsChunks
)

var errTurnedAway = errors.New("the client was turned away")

// Read reads from the connection, at most to the end of a head, of a body, or of the first byte of the next request.
func (c *Conn) Read(p []byte) (int, error) {
	switch c.stage {
	case readsHead:
		return c.readHead(p)
	case readsBody:
		if c.left == 0 {
			return c.readEarly(p)
		}
		n, err := c.readSome(p[:min(int64(len(p)), c.left)])
		if c.left -= int64(n); c.left == 0 {
			c.await(waitsNot)
		}
		c.count(n)
		return n, err
	case readsChunks:
		n, err := c.readSome(p)
		c.count(n)
		return n, err
	}
	return c.readEarly(p)
}

// readEarly reads the first byte of the next request while one is being answered, as the server does to notice a closed connection.
func (c *Conn) readEarly(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.readSome(p[:1])
	if n > 0 {
		c.mu.Lock()
		c.early = []byte{p[0]}
		c.mu.Unlock()
	}
	return n, err
}

// readSome reads what has been read ahead, or else from the connection.
func (c *Conn) readSome(p []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.setAhead(c.ahead[n:])
		return n, nil
	}
	n, err := c.TCPConn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.endReason() != "" {
		err = errTurnedAway
	}
	return n, err
}

func (c *Conn) setAhead(rest []byte) {
	if len(rest) == 0 {
		rest = nil
	}
	c.ahead = rest
	c.aheadN.Store(int64(len(rest)))
}

func (c *Conn) readHead(p []byte) (int, error) {
	n, err := c.readSome(p)
	if errors.Is(err, errTurnedAway) {
		return 0, c.refuse(c.endReason())
	}
	if n == 0 {
		return n, err
	}
	if c.head.bytes == 0 {
		c.await(waitsHead)
	}
	end := c.head.scan(p[:n])
	if end < n {
		c.setAhead(append(append([]byte(nil), p[end:n]...), c.ahead...))
		n = end
	}
	if c.head.bytes-c.head.lines*headSlack > c.gate.currentLimits().HeadBytes {
		return 0, c.refuse(ReasonHeadSize)
	}
	cost := int64(2*c.head.bytes + fieldBytes*c.head.lines)
	if c.claim.Grow(budget.Heads, cost-c.charged) != nil {
		return 0, c.refuse(ReasonMemory)
	}
	c.charged = cost
	if c.head.ended {
		c.stage = readsNext
	}
	return n, err
}

// refusals are the statuses with which requests are refused before they are read.
var refusals = map[string]int{
	ReasonMemory: http.StatusServiceUnavailable, ReasonHeadSize: http.StatusRequestHeaderFieldsTooLarge, ReasonHeadTime: http.StatusRequestTimeout,
}

// refuse answers a request whose head has not been read whole, and returns the error of Read that lets the server close the
// connection. An answer that can't be written is left out.
func (c *Conn) refuse(reason string) error {
	c.markEnded(reason)
	if status, ok := refusals[reason]; ok && c.head.bytes > 0 && !c.refused.Swap(true) {

		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTime))
		retry := ""
		if status == http.StatusServiceUnavailable {
			retry = "Retry-After: 1\r\n"
		}
		_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errTurnedAway} // the server adds no answer of its own to a failed read
}
