// Package toxic provides fault-injecting proxies for the process tests. It runs toxiproxy as a library in the test process.
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

// apiServer is a required argument of toxiproxy.NewProxy. Its listener is never opened.
var apiServer = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// New returns a proxy from the listen address to upstream without starting it. It may be called concurrently.
func New(listen, upstream string) proc.Proxy {
	return &proxy{inner: toxiproxy.NewProxy(apiServer(), listen, listen, upstream)}
}

type proxy struct{ inner *toxiproxy.Proxy }

// Start opens the listener.
func (p *proxy) Start() error { return p.inner.Start() }

// Stop closes the listener and all connections.
func (p *proxy) Stop() { p.inner.Stop() }

// Reset removes all faults.
func (p *proxy) Reset() { p.inner.Toxics.ResetToxics(context.Background()) }

// attributes holds the attributes of all kinds of toxics in use. Each kind reads only its own.
type attributes struct {
	Timeout int64 `json:"timeout"`
	Latency int64 `json:"latency"`
	Bytes   int64 `json:"bytes"`
}

// description is toxiproxy's JSON form of a toxic.
type description struct {
	Name       string     `json:"name"`
	Type       string     `json:"type"`
	Stream     string     `json:"stream"`
	Attributes attributes `json:"attributes"`
}

// Add applies a fault to one direction of all current and future connections.
func (p *proxy) Add(fault proc.Fault) error {
	direction := "upstream"
	if fault.Downstream {
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
	return errors.Wrap(err, "adding a toxic")
}
