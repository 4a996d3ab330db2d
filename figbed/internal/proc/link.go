package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// server is what toxiproxy.NewProxy asks for; its listener is never opened.
var server = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// Link is a network path through the fault-injecting proxy. Its methods may be called concurrently.
type Link struct {
	Listen   string // address to dial
	Upstream string

	t     testing.TB
	mu    sync.Mutex
	proxy *toxiproxy.Proxy
}

// NewLink opens a path from a new address on a loopback IP to upstream, until the test ends.
func NewLink(t testing.TB, ip, upstream string) *Link {
	t.Helper()
	listen := Address(t, ip)
	l := &Link{Listen: listen, Upstream: upstream, t: t, proxy: toxiproxy.NewProxy(server(), listen, listen, upstream)}
	if err := l.proxy.Start(); err != nil {
		t.Fatalf("proxy %s: %v", listen, err)
	}
	t.Cleanup(l.proxy.Stop)
	return l
}

// Cut closes all connections and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Hold lets connections open but passes no byte in either direction; what is sent meanwhile is lost.
func (l *Link) Hold() {
	l.add("timeout", "upstream", toxicValues{})
	l.add("timeout", "downstream", toxicValues{})
}

// HoldAnswers passes what the dialling side sends and loses what comes back.
func (l *Link) HoldAnswers() { l.add("timeout", "downstream", toxicValues{}) }

// Latency delays each direction by d.
func (l *Link) Latency(d time.Duration) {
	l.add("latency", "upstream", toxicValues{Latency: d.Milliseconds()})
	l.add("latency", "downstream", toxicValues{Latency: d.Milliseconds()})
}

// LimitAnswers closes each connection after n bytes of what comes back.
func (l *Link) LimitAnswers(n int64) { l.add("limit_data", "downstream", toxicValues{Bytes: n}) }

// LimitRequests closes each connection after n bytes of what the dialling side sends.
func (l *Link) LimitRequests(n int64) { l.add("limit_data", "upstream", toxicValues{Bytes: n}) }

// Restore takes all faults away. Connections that Hold or a limit has spoilt are closed.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
	l.proxy.Toxics.ResetToxics(context.Background())
	if err := l.proxy.Start(); err != nil {
		l.t.Errorf("proxy %s: %v", l.Listen, err)
	}
}

// toxicValues are the attributes of the kinds of fault that are used here.
type toxicValues struct {
	Timeout int64 `json:"timeout"`
	Latency int64 `json:"latency"`
	Bytes   int64 `json:"bytes"`
}

type toxic struct {
	Name       string      `json:"name"`
	Type       string      `json:"type"`
	Stream     string      `json:"stream"`
	Attributes toxicValues `json:"attributes"`
}

func (l *Link) add(kind, direction string, values toxicValues) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, _ := json.Marshal(toxic{Name: kind + direction, Type: kind, Stream: direction, Attributes: values})
	if _, err := l.proxy.Toxics.AddToxicJson(bytes.NewReader(data)); err != nil {
		l.t.Errorf("proxy %s: %v", l.Listen, err)
	}
}
