package soak

import (
	"net"
	"sync"
	"time"
)

const (
	linkBuffer = 32 << 10
	// linkPause is the interval at which held bytes look whether the harm is over.
	linkPause = 20 * time.Millisecond
	linkDial  = time.Second
)

// Harm is what a Link does to a connection.
type Harm struct {
	Delay   time.Duration // of the bytes in each direction
	Request bool          // bytes from the dialling side are held back
	Answer  bool          // bytes to the dialling side are held back
}

// Link passes connections on and harms them by their source, which the proxies of package toxic can't tell apart. Its
// fields are set before Start; its methods may be called concurrently.
type Link struct {
	Listen   string
	Upstream string
	Harm     func(source string) Harm // by the dialling side's IP

	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]struct{} // of both sides
	stopped  bool
}

// Start opens the listener. A Listen with port 0 gets a free one, and Address returns it.
func (l *Link) Start() (err error) {
	l.listener, err = net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	l.open = map[net.Conn]struct{}{}
	go l.accept()
	return nil
}

// Address returns the listener's address.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Reset ends all connections with a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection may have ended
		}
		_ = c.Close()
	}
}

// Stop closes the listener and all connections.
func (l *Link) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.Reset()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // stopped
		}
		go l.serve(conn)
	}
}

func (l *Link) serve(from net.Conn) {
	defer l.drop(from)
	if !l.keep(from) {
		return
	}
	to, err := net.DialTimeout("tcp", l.Upstream, linkDial)
	if err != nil {
		return // the dialling side sees a closed connection
	}
	defer l.drop(to)
	if !l.keep(to) {
		return
	}
	source, _, err := net.SplitHostPort(from.RemoteAddr().String())
	if err != nil {
		return
	}
	ended := make(chan struct{}, 2)
	go l.copy(to, from, source, func(h Harm) bool { return h.Request }, ended)
	go l.copy(from, to, source, func(h Harm) bool { return h.Answer }, ended)
	<-ended
}

// copy passes bytes on; those that are held go on when the harm ends.
func (l *Link) copy(to, from net.Conn, source string, held func(h Harm) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		harm := l.Harm(source)
		time.Sleep(harm.Delay)
		for held(harm) && !l.isStopped() {
			time.Sleep(linkPause)
			harm = l.Harm(source)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.open[c] = struct{}{}
	}
	return !l.stopped
}

func (l *Link) drop(c net.Conn) {
	_ = c.Close() // the other side may have closed it
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *Link) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}
