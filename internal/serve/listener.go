package serve

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// backlogTime is the time for which a listener that is closed still accepts the connections that callers have made.
	backlogTime = 50 * time.Millisecond
	// unusedTime is the time for which a connection may stay without a request once the listener is closed.
	unusedTime = time.Second
)

// stopListener is a listener whose Close lets it accept the connections that wait, and that knows when all connections that
// it has accepted are closed. Its methods may be called concurrently.
type stopListener struct {
	*net.TCPListener

	open     sync.WaitGroup // connections, and the accepting itself
	accepted sync.Once      // the accepting has ended
	mu       sync.Mutex
	closing  bool
	unused   map[net.Conn]time.Time // connections without a request yet, and since when
}

func newStopListener(address string) (*stopListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &stopListener{TCPListener: listener.(*net.TCPListener), unused: map[net.Conn]time.Time{}}
	l.open.Add(1)
	return l, nil
}

// Accept returns the next connection. After Close it returns those that wait and then net.ErrClosed.
func (l *stopListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err == nil {
		l.open.Add(1)
		return &acceptedConn{TCPConn: conn, closed: l.open.Done}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closing {
		return nil, err
	}
	_ = l.TCPListener.Close()
	l.accepted.Do(l.open.Done)
	return nil, net.ErrClosed
}

// Close ends the accepting within backlogTime.
func (l *stopListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	return l.SetDeadline(time.Now().Add(backlogTime))
}

// track follows the state of a connection; it is the ConnState of the server.
func (l *stopListener) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew {
		l.unused[conn] = time.Now()
	} else {
		delete(l.unused, conn)
	}
}

// closeUnused closes the connections on which no request has come for unusedTime.
func (l *stopListener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, since := range l.unused {
		if time.Since(since) > unusedTime {
			_ = conn.Close()
			delete(l.unused, conn)
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

// acceptedConn is a connection that reports when it is closed.
type acceptedConn struct {
	*net.TCPConn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *acceptedConn) Close() error {
	defer c.once.Do(c.closed)
	return c.TCPConn.Close()
}
