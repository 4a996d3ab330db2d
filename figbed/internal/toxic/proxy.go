// Package toxic opens fault-injecting proxies for the process tests; toxiproxy is used as a library in the test process.
package toxic

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figshift/figshift/figbed/internal/proc"
)

// server is what toxiproxy.NewProxy asks for; its listener is never opened.
var server = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// New returns a proxy that is not started. It may be called concurrently.
func New(listen, upstream string) proc.Proxy {
	return &proxy{inner: toxiproxy.NewProxy(server(), listen, listen, upstream)}
}

type proxy struct{ inner *toxiproxy.Proxy }

// Start opens the listener.
func (p *proxy) Start() error { return p.inner.Start() }

// Stop closes the listener and all connections.
func (p *proxy) Stop() { p.inner.Stop() }

// Reset takes all faults away.
func (p *proxy) Reset() { p.inner.Toxics.ResetToxics(context.Background()) }

// attributes are those of the kinds of fault that are used.
type attributes struct {
	Timeout int64 `json:"timeout"`
	Latency int64 `json:"latency"`
	Bytes   int64 `json:"bytes"`
}

type description struct {
	Name       string     `json:"name"`
	Type       string     `json:"type"`
	Stream     string     `json:"stream"`
	Attributes attributes `json:"attributes"`
}

// Add puts a fault on one direction of all connections.
func (p *proxy) Add(fault proc.Fault) error {
	direction := "upstream"
	if fault.Answers {
		direction = "downstream"
	}
	data, err := json.Marshal(description{
		Name: fault.Kind + direction, Type: fault.Kind, Stream: direction,
		Attributes: attributes{Latency: fault.Latency.Milliseconds(), Bytes: fault.Bytes},
	})
	if err != nil {
		return err
	}
	_, err = p.inner.Toxics.AddToxicJson(bytes.NewReader(data))
	return errors.Wrap(err, "adding a fault")
}
