package serve

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/figshift/figshift/internal/gate"
)

const (
	// backlogTime is the time after Close in which connections are accepted whenever they were made.
	backlogTime = 50 * time.Millisecond
	// newChecks and idleChecks are the checks after Close for which a connection may stay without a byte of its first request,
	// and of a further one. Checks are counted, not time, so that a pause of the process doesn't use them up.
	newChecks  = 20
	idleChecks = 5

	notCounted = -1
)

// stopListener is a listener whose Close lets it accept the connections that wait, and that knows when all connections that
// it has accepted are closed. Its methods may be called concurrently, Accept by one goroutine.
type stopListener struct {
	*net.TCPListener
	gate *gate.Gate

	open    sync.WaitGroup // connections, and the accepting itself
	ended   sync.Once      // the accepting
	rest    int            // connections to accept before the accepting ends, notCounted before backlogTime is over
	mu      sync.Mutex
	closing bool
	waiting map[*acceptedConn]int // connections without a byte of their next request, and the checks that remain
}

func newStopListener(address string, admits *gate.Gate) (*stopListener, error) {
	listener, err := gate.Listen(address)
	if err != nil {
		return nil, err
	}
	l := &stopListener{TCPListener: listener, gate: admits, rest: notCounted, waiting: map[*acceptedConn]int{}}
	l.open.Add(1)
	return l, nil
}

// Accept returns the next connection. After Close it returns those that are made within backlogTime, those that wait at its
// end, however late the process gets to them, and then net.ErrClosed.
func (l *stopListener) Accept() (net.Conn, error) {
	for l.rest != 0 {
		conn, err := l.AcceptTCP()
		if err == nil {
			if l.rest > 0 {
				l.rest--
			}
			if admitted := l.gate.Admit(conn); admitted != nil {
				l.open.Add(1)
				return &acceptedConn{Conn: admitted, closed: l.open.Done}, nil
			}
			continue
		}
		if !l.isClosing() {
			return nil, err
		}
		l.rest = 0
		if errors.Is(err, os.ErrDeadlineExceeded) && l.SetDeadline(time.Now().Add(backlogTime)) == nil {
			l.rest = l.queued()
		}
	}
	_ = l.TCPListener.Close()
	l.ended.Do(l.open.Done)
	return nil, net.ErrClosed
}

// queued returns the number of connections that wait to be accepted.
func (l *stopListener) queued() int {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked) // for a listener, the length of its queue
		}
	})
	return n
}

func (l *stopListener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// Close ends the accepting.
func (l *stopListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	return l.SetDeadline(time.Now().Add(backlogTime))
}

// track follows the state of a connection; it is the ConnState of the server.
func (l *stopListener) track(conn net.Conn, state http.ConnState) {
	c := conn.(*acceptedConn)
	c.begun.Store(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.waiting[c] = newChecks
	case http.StateIdle:
		l.waiting[c] = idleChecks
	default:
		delete(l.waiting, c)
	}
}

// endWaiting ends the connections on which no byte of a request has come for the checks that they have.
func (l *stopListener) endWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, checks := range l.waiting {
		switch {
		case conn.begun.Load() || conn.Unread():
		case checks > 0:
			l.waiting[conn] = checks - 1
		default:
			conn.endWaiting()
		}
	}
}

// allClosed returns a channel that is closed when, after Close, all connections are closed.
func (l *stopListener) allClosed() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		l.open.Wait()
		close(done)
	}()
	return done
}

// acceptedConn is a connection that knows whether a request has begun and reports when it is closed.
type acceptedConn struct {
	*gate.Conn
	once   sync.Once
	closed func()
	begun  atomic.Bool // a byte has been read since the last change of state; set with mu held
	mu     sync.Mutex
	ending bool // the read of the next request was made to fail
}

// Read reads from the connection.
func (c *acceptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begun.Load() {
		c.begin()
	}
	return n, err
}

func (c *acceptedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun.Store(true)
	if c.ending { // while the first bytes were being read
		c.ending = false
		_ = c.SetReadDeadline(time.Now().Add(headerReadTimeout))
	}
}

// endWaiting lets the read of the next request fail, unless it has begun. The server closes the connection then.
func (c *acceptedConn) endWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun.Load() {
		c.ending = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Close closes the connection.
func (c *acceptedConn) Close() error {
	defer c.once.Do(c.closed)
	return c.Conn.Close()
}
