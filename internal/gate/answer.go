package gate

import (
	"io"
	"net/http"

	"github.com/figshift/figshift/internal/budget"
)

// BeginAnswer holds the bytes of an answer until the client has read it. Its error is that of Claim.Grow; nothing is held then.
func (c *Conn) BeginAnswer(bytes int64) error {
	if c == nil {
		return nil
	}
	if err := c.claim.Grow(budget.Answers, bytes); err != nil {
		return err
	}
	c.await(waitsReader)
	return nil
}

// endAfterAnswer lets the answer close the connection when the client has sent more before it has got any of it.
func (c *Conn) endAfterAnswer(answer http.Header) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.early) > 0 || c.reason != "" {
		answer.Set("Connection", "close")
	}
}

// Write writes to the connection. What the server makes of a head that was refused before its end is dropped.
func (c *Conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return len(p), nil
	}
	c.writing.Store(1 + c.gate.sweeps.Load())
	defer c.writing.Store(0)
	return c.TCPConn.Write(p)
}

// ReadFrom copies from a reader to the connection.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// answerWriter closes the connection after the answer to a request whose client did not wait for it.
type answerWriter struct {
	http.ResponseWriter
	conn *Conn
	head bool // the head was written
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of an answer.
func (w *answerWriter) WriteHeader(status int) {
	if !w.head && status >= http.StatusOK {
		w.head = true
		w.conn.endAfterAnswer(w.Header())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes bytes of an answer's body.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.head {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
