package conns

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Checked is an http.Transport that tells broken answers from whole ones where that alone does not. Everything that reads answers
// uses one.
type Checked struct {
	*http.Transport
}

// Check returns a Checked transport that sends by t. The caller may still set fields of t, except its dial functions, before the
// first request.
func Check(t *http.Transport) *Checked {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Checked{t}
}

// Client returns an HTTP client with a Checked transport and the defaults of net/http. Each call may take timeout, 0 for any time.
func Client(timeout time.Duration) *http.Client {
	return &http.Client{Transport: Check(http.DefaultTransport.(*http.Transport).Clone()), Timeout: timeout}
}

// RoundTrip sends a request and returns the answer. Reads from the request's body must not block.
func (t *Checked) RoundTrip(req *http.Request) (*http.Response, error) {
	var current, writing *conn // the connection of the request, and the one on which its body is being written
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { current, _ = info.Conn.(*conn) },
		WroteHeaders: func() {
			if current != nil {
				current.body.Lock()
				writing = current
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if writing != nil {
				writing.body.Unlock()
				writing = nil
			}
		},
	}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
