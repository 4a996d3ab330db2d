package proc

import (
	"sync"
	"time"
)

// Proxy is the fault-injecting TCP proxy of one Link.
type Proxy interface {
	Start() error
	Stop()
	Reset()
	Add(fault Fault) error
}

// Fault is one fault on one direction of a link.
type Fault struct {
	Kind       string // timeout (drops all bytes), latency or limit_data
	Downstream bool   // applies to the bytes sent to the dialling side, otherwise to those sent by it
	Latency    time.Duration
	Bytes      int64
}

// NewProxy creates the proxies of the links; a package of tests sets it in TestMain. While it is nil, as in the demo,
// links lead directly to their upstream and do not support faults.
var NewProxy func(listen, upstream string) Proxy

// Link is a network path through the fault-injecting proxy. Its methods may be called concurrently.
type Link struct {
	Listen   string // the address to dial
	Upstream string

	t     T
	mu    sync.Mutex
	proxy Proxy
}

// NewLink opens a path from a new address on a loopback IP to upstream. It is closed at the end of the test.
func NewLink(t T, ip, upstream string) *Link {
	t.Helper()
	if NewProxy == nil {
		return &Link{Listen: upstream, Upstream: upstream, t: t}
	}
	listen := Address(t, ip)
	l := &Link{Listen: listen, Upstream: upstream, t: t, proxy: NewProxy(listen, upstream)}
	if err := l.startProxy(); err != nil {
		t.Fatalf("proxy %s: %v", listen, err)
	}
	t.Cleanup(l.proxy.Stop)
	return l
}

// startProxy opens the proxy's listener. It retries, since a port that was just closed may remain in use for a moment.
func (l *Link) startProxy() error {
	var err error
	Poll(listenTimeout, func() bool {
		err = l.proxy.Start()
		return err == nil
	})
	return err
}

// Cut closes all connections and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Blackhole keeps connections open but drops all bytes in both directions.
func (l *Link) Blackhole() {
	l.addFault(Fault{Kind: "timeout"})
	l.addFault(Fault{Kind: "timeout", Downstream: true})
}

// BlackholeResponses passes the bytes that the dialling side sends and drops those sent back.
func (l *Link) BlackholeResponses() { l.addFault(Fault{Kind: "timeout", Downstream: true}) }

// Latency delays each direction by d.
func (l *Link) Latency(d time.Duration) {
	l.addFault(Fault{Kind: "latency", Latency: d})
	l.addFault(Fault{Kind: "latency", Latency: d, Downstream: true})
}

// LimitResponses closes each connection after n bytes have been sent back to the dialling side.
func (l *Link) LimitResponses(n int64) {
	l.addFault(Fault{Kind: "limit_data", Bytes: n, Downstream: true})
}

// LimitRequests closes each connection after n bytes have been sent by the dialling side.
func (l *Link) LimitRequests(n int64) { l.addFault(Fault{Kind: "limit_data", Bytes: n}) }

// Restore removes all faults, closes the open connections and accepts new ones.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
	l.proxy.Reset()
	if err := l.startProxy(); err != nil {
		l.t.Errorf("proxy %s: %v", l.Listen, err)
	}
}

func (l *Link) addFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.proxy.Add(fault); err != nil {
		l.t.Errorf("proxy %s: %v", l.Listen, err)
	}
}
