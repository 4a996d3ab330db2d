// Package crowd provides clients that load a server without behaving as HTTP clients should: they send requests that are large,
// slow or never whole, and read no answers.
package crowd

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// settleTime is the time without a sent byte after which a crowd counts as settled.
	settleTime = time.Second
	// againPause is the time after which a client comes again.
	againPause = 20 * time.Millisecond
	// answerBytes is what Ask returns of an answer.
	answerBytes = 1 << 10
)

// ClientMark stands in the first part of a payload for the number of the client.
const ClientMark = "{client}"

// Crowd is a number of clients that send the same bytes, each on one connection that it keeps open. Its exported fields are set
// before Start.
type Crowd struct {
	Address string // host:port
	Clients int
	Payload []Part
	Piece   int           // bytes of each write, 0 for those of a part
	Pause   time.Duration // between two writes
	Reads   bool          // the clients read what the server sends, and close when the server does
	// Again lets clients whose connection the server has closed come again. It implies Reads.
	Again bool
	// ReceiveBuffer is the size of a client's receive buffer in bytes, 0 for the system's.
	ReceiveBuffer int

	stopped   chan struct{}
	running   sync.WaitGroup
	lastSent  atomic.Int64 // time of the last sent piece, in ns since the Unix epoch
	connected atomic.Int64 // connections made
	refused   atomic.Int64 // clients that could not connect or could not send everything
}

// Part is a part of a payload: a text and how often it is sent.
type Part struct {
	Text  string
	Times int
}

// Start connects the clients and lets them send.
func (c *Crowd) Start() {
	c.stopped = make(chan struct{})
	c.lastSent.Store(time.Now().UnixNano())
	for client := range c.Clients {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for c.runClient(strconv.Itoa(client)); c.Again && !c.isStopped(); c.runClient(strconv.Itoa(client)) {
				time.Sleep(againPause)
			}
		}()
	}
}

func (c *Crowd) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// Settled reports whether no client has sent anything for settleTime. A crowd that comes again has settled once it has connected as
// often as it has clients.
func (c *Crowd) Settled() bool {
	if c.Again && c.connected.Load() >= int64(c.Clients) {
		return true
	}
	return time.Since(time.Unix(0, c.lastSent.Load())) > settleTime
}

// Refused returns the number of clients that could not connect or could not send everything. Others that were refused have not
// noticed it.
func (c *Crowd) Refused() int { return int(c.refused.Load()) }

// Stop closes the clients' connections.
func (c *Crowd) Stop() {
	close(c.stopped)
	c.running.Wait()
}

// Ask lets a single client of the given name send the payload and returns the beginning of the answer, or an error, within a time.
func (c *Crowd) Ask(name string, within time.Duration) string {
	c.stopped = make(chan struct{})
	conn, err := net.DialTimeout("tcp", c.Address, dialTimeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(within)) // a connection without one is ended by the test's own timeout
	c.send(conn, name)
	answer := make([]byte, answerBytes)
	n, err := io.ReadAtLeast(conn, answer, len("HTTP/1.1 200"))
	if err != nil {
		return string(answer[:n]) + err.Error()
	}
	return string(answer[:n])
}

func (c *Crowd) runClient(name string) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: c.setReceiveBuffer}
	conn, err := dialer.Dial("tcp", c.Address)
	if err != nil {
		c.refused.Add(1)
		return
	}
	c.connected.Add(1)
	defer func() { _ = conn.Close() }()
	unblock := make(chan struct{})
	defer close(unblock)
	go func() {
		select {
		case <-c.stopped:
			_ = conn.Close() // ends a write that blocks
		case <-unblock:
		}
	}()
	switch {
	case !c.send(conn, name):
		c.refused.Add(1)
	case c.Reads || c.Again:
		_, _ = io.Copy(io.Discard, conn)
	default:
		<-c.stopped
	}
}

// setReceiveBuffer sets the receive buffer of a socket before it is connected.
func (c *Crowd) setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if c.ReceiveBuffer == 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.ReceiveBuffer)
	})
	return errors.Join(err, failed)
}

// send sends the payload and reports whether the whole of it was sent.
func (c *Crowd) send(conn net.Conn, name string) bool {
	for i, part := range c.Payload {
		if i == 0 {
			part.Text = strings.ReplaceAll(part.Text, ClientMark, name)
		}
		for range part.Times {
			if !c.sendText(conn, part.Text) {
				return false
			}
		}
	}
	return true
}

func (c *Crowd) sendText(conn net.Conn, text string) bool {
	size := c.Piece
	if size == 0 {
		size = len(text)
	}
	for rest := text; len(rest) > 0; {
		n := min(size, len(rest))
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			return false
		}
		c.lastSent.Store(time.Now().UnixNano())
		rest = rest[n:]
		if c.Pause == 0 {
			continue
		}
		select {
		case <-time.After(c.Pause):
		case <-c.stopped:
			return false
		}
	}
	return true
}
