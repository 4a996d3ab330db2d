package soak

import (
	"net"
	"sync"
	"time"
)

const (
	linkBufferSize = 32 << 10
	// linkPollInterval is how often a connection with held bytes checks whether they may pass again.
	linkPollInterval = 20 * time.Millisecond
	linkDialTimeout  = time.Second
)

// Harm is the impairment that a Link applies to a connection.
type Harm struct {
	Delay   time.Duration // added to every read in each direction
	Request bool          // hold back bytes from the dialling side
	Answer  bool          // hold back bytes to the dialling side
}

// Link is a TCP proxy that impairs connections depending on their source, which the proxies of package toxic can't
// distinguish. Set its exported fields before calling Start. Its methods may be called concurrently.
type Link struct {
	Listen   string
	Upstream string
	Harm     func(source string) Harm // returns the current impairment for the dialling side's IP

	listener    net.Listener
	mu          sync.Mutex
	connections map[net.Conn]struct{} // open connections of both sides
	stopped     bool
}

// Start opens the listener. If Listen has port 0, a free port is chosen, which Address returns.
func (l *Link) Start() (err error) {
	l.listener, err = net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	l.connections = map[net.Conn]struct{}{}
	go l.acceptLoop()
	return nil
}

// Address returns the listener's address. It must not be called before Start.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Reset closes all connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails if the connection is already closed
		}
		_ = c.Close()
	}
}

// Stop closes the listener and resets all connections.
func (l *Link) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.Reset()
}

func (l *Link) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go l.serve(conn)
	}
}

func (l *Link) serve(from net.Conn) {
	defer l.closeAndUntrack(from)
	if !l.track(from) {
		return
	}
	to, err := net.DialTimeout("tcp", l.Upstream, linkDialTimeout)
	if err != nil {
		return // the dialling side sees a closed connection
	}
	defer l.closeAndUntrack(to)
	if !l.track(to) {
		return
	}
	source, _, err := net.SplitHostPort(from.RemoteAddr().String())
	if err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go l.forward(to, from, source, func(h Harm) bool { return h.Request }, done)
	go l.forward(from, to, source, func(h Harm) bool { return h.Answer }, done)
	<-done
}

// forward copies bytes from one side to the other. Held bytes are passed on when the impairment ends.
func (l *Link) forward(to, from net.Conn, source string, blocked func(h Harm) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		impairment := l.Harm(source)
		time.Sleep(impairment.Delay)
		for blocked(impairment) && !l.isStopped() {
			time.Sleep(linkPollInterval)
			impairment = l.Harm(source)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.connections[c] = struct{}{}
	}
	return !l.stopped
}

func (l *Link) closeAndUntrack(c net.Conn) {
	_ = c.Close() // Reset may have closed it already
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

func (l *Link) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}
