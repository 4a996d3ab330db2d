package conns

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
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
	e := &exchange{ctx: req.Context()}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), e.trace())))
	if err != nil {
		return nil, err
	}
	if err := checkNames(resp.Header); err != nil {
		Abandon(e.conn) // it is kept already if the answer has no body
		_ = resp.Body.Close()
		return nil, err
	}
	if resp.Body == http.NoBody {
		e.end()
		return resp, nil
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, answer: resp, exchange: e}
	return resp, nil
}

// exchange is a request and its answer on a connection, the last one if the transport needs several. An interim answer may come
// while the body is written.
type exchange struct {
	ctx       context.Context
	conn      net.Conn
	writing   *conn // conn while the body of the request is written
	interim   interimAnswers
	abandoned atomic.Bool // the answer's body was closed before its end
}

// isAbandoned reports whether nobody waits for the rest of the answer any more.
func (e *exchange) isAbandoned() bool { return e.abandoned.Load() || e.ctx.Err() != nil }

// end records that the answer is whole.
func (e *exchange) end() {
	if c, ok := e.conn.(*conn); ok {
		c.user.CompareAndSwap(e, nil)
	}
}

// begin records the connection of the exchange.
func (e *exchange) begin(info httptrace.GotConnInfo) {
	e.conn = info.Conn
	if c, ok := info.Conn.(*conn); ok {
		c.user.Store(e)
	}
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        e.begin,
		WroteHeaders:   e.beginBody,
		WroteRequest:   func(httptrace.WroteRequestInfo) { e.endBody() },
		Got1xxResponse: e.interim.add,
	}
}

// beginBody has reads of the connection wait for endBody. It does nothing for TLS, which tells a whole answer itself.
func (e *exchange) beginBody() {
	if c, ok := e.conn.(*conn); ok {
		c.body.Lock()
		e.writing = c
	}
}

// endBody is called without beginBody when the request failed before.
func (e *exchange) endBody() {
	if e.writing != nil {
		e.writing.body.Unlock()
		e.writing = nil
	}
}
