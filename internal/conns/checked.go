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

// RoundTrip sends a request and returns the answer. It is an error, at the end of the body for a trailer, if the name of a field
// holds a blank; the connection is closed then. Reads from the request's body must not block.
func (t *Checked) RoundTrip(req *http.Request) (*http.Response, error) {
	var current net.Conn // of the request
	var writing *conn    // on which the body is being written
	var interim interimAnswers
	trace := &httptrace.ClientTrace{
		Got1xxResponse: interim.add,
		GotConn:        func(info httptrace.GotConnInfo) { current = info.Conn },
		WroteHeaders: func() {
			if c, ok := current.(*conn); ok { // not for TLS, which tells a whole answer itself
				c.body.Lock()
				writing = c
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if writing != nil {
				writing.body.Unlock()
				writing = nil
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkNames(resp.Header); err != nil {
		_ = current.Close() // it is kept already if the answer has no body
		_ = resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, answer: resp, conn: current}
	}
	return resp, nil
}
