package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// userTimeout is the time after which the sender of bytes that are never acknowledged sees its connection fail. It is that of
// the daemons (TCP_USER_TIMEOUT); the proxy acknowledges bytes itself, so it resets the connection in place of the kernel.
const userTimeout = 2500 * time.Millisecond

// proxy forwards the connections to one port of a daemon.
type proxy struct {
	target string

	mu    sync.Mutex
	conns []*proxied
}

// proxied is one connection through a proxy.
type proxied struct {
	source net.Conn
	mu     sync.Mutex
	silent bool
}

func startProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) forward(source *net.TCPConn) {
	host, _, _ := net.SplitHostPort(source.RemoteAddr().String())
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	conn, err := dialer.Dial("tcp", p.target)
	if err != nil {
		_ = source.SetLinger(0)
		_ = source.Close()
		return
	}
	target := conn.(*net.TCPConn)
	c := &proxied{source: source}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	go c.copy(target, source)
	c.copy(source, target)
}

// copy copies bytes in one direction until the connection ends, or falls silent.
func (c *proxied) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.isSilent() {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (c *proxied) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes the open connections from an address silent for good, those from any address when it is "", and returns how
// many there were. New connections work.
func (p *proxy) silence(from string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, c := range p.conns {
		host, _, _ := net.SplitHostPort(c.source.RemoteAddr().String())
		if from != "" && host != from || c.isSilent() {
			continue
		}
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		count++
		time.AfterFunc(userTimeout, func() {
			_ = c.source.(*net.TCPConn).SetLinger(0)
			_ = c.source.Close()
		})
	}
	return count
}
