package soak

import (
	"net"
	"sync"
	"time"
)

const (
	proxyBufferSize = 32 << 10
	// holdPollInterval is how often a connection with held bytes checks whether they may pass again.
	holdPollInterval = 20 * time.Millisecond
	proxyDialTimeout = time.Second
)

// Impairment is what an ImpairedProxy does to a connection.
type Impairment struct {
	Delay         time.Duration // added to every read in each direction
	HoldRequests  bool          // hold back bytes from the dialling side
	HoldResponses bool          // hold back bytes to the dialling side
	Refuse        bool          // reset new connections
	Break         bool          // reset open connections when bytes pass, and new ones
}

// ImpairedProxy is a TCP proxy that impairs connections depending on their source, which the proxies of package toxic
// can't distinguish. Set its exported fields before calling Start. Its methods may be called concurrently.
type ImpairedProxy struct {
	Listen     string
	Upstream   string
	Impairment func(source string) Impairment // returns the current impairment for the dialling side's IP

	listener    net.Listener
	mu          sync.Mutex
	connections map[net.Conn]struct{} // open connections of both sides
	stopped     bool
}

// Start opens the listener. If Listen has port 0, a free port is chosen, which Address returns.
func (p *ImpairedProxy) Start() (err error) {
	p.listener, err = net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	p.connections = map[net.Conn]struct{}{}
	go p.acceptLoop()
	return nil
}

// Address returns the listener's address. It must not be called before Start.
func (p *ImpairedProxy) Address() string { return p.listener.Addr().String() }

// Reset closes all connections with a TCP reset.
func (p *ImpairedProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the connection is already closed
	}
	_ = c.Close()
}

// Stop closes the listener and resets all connections.
func (p *ImpairedProxy) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

func (p *ImpairedProxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.serve(conn)
	}
}

func (p *ImpairedProxy) serve(from net.Conn) {
	defer p.closeAndUntrack(from)
	if !p.track(from) {
		return
	}
	source, _, err := net.SplitHostPort(from.RemoteAddr().String())
	if err != nil {
		return
	}
	if i := p.Impairment(source); i.Refuse || i.Break {
		reset(from)
		return
	}
	to, err := net.DialTimeout("tcp", p.Upstream, proxyDialTimeout)
	if err != nil {
		return // the dialling side sees a closed connection
	}
	defer p.closeAndUntrack(to)
	if !p.track(to) {
		return
	}
	done := make(chan struct{}, 2)
	go p.forward(to, from, source, func(i Impairment) bool { return i.HoldRequests }, done)
	go p.forward(from, to, source, func(i Impairment) bool { return i.HoldResponses }, done)
	<-done
}

// forward copies bytes from one side to the other. Held bytes are passed on when the impairment ends.
func (p *ImpairedProxy) forward(to, from net.Conn, source string, blocked func(i Impairment) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buffer)
		impairment := p.Impairment(source)
		time.Sleep(impairment.Delay)
		for blocked(impairment) && !p.isStopped() {
			time.Sleep(holdPollInterval)
			impairment = p.Impairment(source)
		}
		if impairment.Break {
			reset(from)
			reset(to)
			return
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

func (p *ImpairedProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.connections[c] = struct{}{}
	}
	return !p.stopped
}

func (p *ImpairedProxy) closeAndUntrack(c net.Conn) {
	_ = c.Close() // Reset may have closed it already
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

func (p *ImpairedProxy) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}
