package call

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// probe asks an endpoint for a sign of life, which any answer is, and posts EndpointProbed.
func (x *Executor) probe(c event.ProbeEndpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	transport := x.trials
	if c.Kept {
		transport = x.probes
	}
	x.Post(event.EndpointProbed{Endpoint: c.Endpoint, Incarnation: c.Incarnation, Answered: x.answers(ctx, transport, c)})
}

func (x *Executor) answers(ctx context.Context, transport *conns.Checked, c event.ProbeEndpoint) bool {
	path := "/"
	if x.Names.Identity != nil {
		path = x.Names.Identity.Path
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+path, nil)
	if err != nil {
		return false
	}
	req.Header.Set("User-Agent", "")
	sent := x.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	if answered, ok := x.Names.Answered(wire.LeaveMark{Endpoint: c.Endpoint, Incarnation: c.Incarnation}, sent, resp); ok && answered.Leaving {
		x.Post(answered)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxPollBody)) // so that the connection can be kept
	_ = resp.Body.Close()
	return true
}

// newProbeTransport returns a transport for probes, which keeps one connection to an endpoint with keepAlive.
func newProbeTransport(dialer *net.Dialer, keepAlive bool) *conns.Checked {
	transport := conns.IdentifyingTransport(dialer, nil, 1, idleTimeout)
	transport.DisableKeepAlives = !keepAlive
	return transport
}
