package proc

import (
	"sync"
	"time"
)

// Proxy is the fault-injecting proxy of one Link.
type Proxy interface {
	Start() error
	Stop()
	Reset()
	Add(fault Fault) error
}

// Fault is one fault on one direction of a link.
type Fault struct {
	Kind    string // timeout (loses all bytes), latency, limit_data
	Answers bool   // on what comes back, else on what the dialling side sends
	Latency time.Duration
	Bytes   int64
}

// NewProxy makes the proxies of the links. While it is nil, as in the demo, links lead straight to their upstream
// and cannot be cut. A test's TestMain sets it.
var NewProxy func(listen, upstream string) Proxy

// Link is a network path through the fault-injecting proxy. Its methods may be called concurrently.
type Link struct {
	Listen   string // address to dial
	Upstream string

	t     T
	mu    sync.Mutex
	proxy Proxy
}

// NewLink opens a path from a new address on a loopback IP to upstream, until the test ends.
func NewLink(t T, ip, upstream string) *Link {
	t.Helper()
	if NewProxy == nil {
		return &Link{Listen: upstream, Upstream: upstream, t: t}
	}
	listen := Address(t, ip)
	l := &Link{Listen: listen, Upstream: upstream, t: t, proxy: NewProxy(listen, upstream)}
	if err := l.start(); err != nil {
		t.Fatalf("proxy %s: %v", listen, err)
	}
	t.Cleanup(l.proxy.Stop)
	return l
}

// start opens the proxy's listener. A port that was closed a moment ago may still be in use for an instant.
func (l *Link) start() error {
	var err error
	Within(listenBound, func() bool {
		err = l.proxy.Start()
		return err == nil
	})
	return err
}

// Cut closes all connections and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Hold lets connections open but passes no byte in either direction; what is sent meanwhile is lost.
func (l *Link) Hold() {
	l.add(Fault{Kind: "timeout"})
	l.add(Fault{Kind: "timeout", Answers: true})
}

// HoldAnswers passes what the dialling side sends and loses what comes back.
func (l *Link) HoldAnswers() { l.add(Fault{Kind: "timeout", Answers: true}) }

// Latency delays each direction by d.
func (l *Link) Latency(d time.Duration) {
	l.add(Fault{Kind: "latency", Latency: d})
	l.add(Fault{Kind: "latency", Latency: d, Answers: true})
}

// LimitAnswers closes each connection after n bytes of what comes back.
func (l *Link) LimitAnswers(n int64) { l.add(Fault{Kind: "limit_data", Bytes: n, Answers: true}) }

// LimitRequests closes each connection after n bytes of what the dialling side sends.
func (l *Link) LimitRequests(n int64) { l.add(Fault{Kind: "limit_data", Bytes: n}) }

// Restore takes all faults away and closes the connections.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
	l.proxy.Reset()
	if err := l.start(); err != nil {
		l.t.Errorf("proxy %s: %v", l.Listen, err)
	}
}

func (l *Link) add(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.proxy.Add(fault); err != nil {
		l.t.Errorf("proxy %s: %v", l.Listen, err)
	}
}
