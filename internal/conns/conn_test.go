package conns

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/faulty"
)

// A reset that a write met was no error of the reads, so that an answer without a length looked whole.
func TestFailureOfAWriteIsOneOfReads(t *testing.T) {
	for name, ending := range faulty.Resets {
		t.Run(name, func(t *testing.T) {
			c := dialFaulty(t, ending)
			if _, err := c.Write(make([]byte, faulty.LongBody)); err == nil {
				t.Fatal("the whole body was written")
			}
			answer, err := io.ReadAll(c)
			if string(answer) != earlyText || err == nil {
				t.Errorf("read %q, %v; want %q and an error", answer, err, earlyText)
			}
		})
	}
}

// The same, with a read that gets the end before the write has returned.
func TestFailureOfAWriteUnderWay(t *testing.T) {
	failure := &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	for name, test := range map[string]struct{ write, want error }{
		"Reset":   {failure, failure},
		"Written": {nil, io.EOF},
		"Blocked": {os.ErrDeadlineExceeded, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			inner := &endingConn{writing: make(chan struct{}), deadline: make(chan struct{}), failure: test.write}
			c := &conn{Conn: inner}
			go func() { _, _ = c.Write([]byte("request")) }()
			<-inner.writing
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, test.want) {
				t.Errorf("the read gets %v, want %v", err, test.want)
			}
		})
	}
}

// A server that ends its side properly has answered whole, whether it reads the rest of the request or not.
func TestEndWithoutAFailure(t *testing.T) {
	for name, ending := range faulty.Ends {
		t.Run(name, func(t *testing.T) {
			c := dialFaulty(t, ending)
			go func() { _, _ = c.Write(make([]byte, faulty.LongBody)) }()
			if answer, err := io.ReadAll(c); string(answer) != earlyText || err != nil {
				t.Errorf("read %q, %v; want %q", answer, err, earlyText)
			}
		})
	}
}

const earlyText = "HTTP/1.1 200 OK\r\n\r\npart"

// dialFaulty returns a connection to a server that has read the head of a request.
func dialFaulty(t *testing.T, ending faulty.Ending) *conn {
	t.Helper()
	address := faulty.Start(t, faulty.Always(earlyText, ending))
	dialled, err := Dialer(time.Second).Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	c := &conn{Conn: dialled}
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3900000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// endingConn is a connection whose other side has ended. A write lasts until a write deadline is set, and then fails with failure.
type endingConn struct {
	net.Conn
	writing  chan struct{} // closed when the write has begun
	deadline chan struct{} // closed when a deadline is set
	failure  error
}

func (c *endingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endingConn) Write(p []byte) (int, error) {
	close(c.writing)
	<-c.deadline
	if c.failure != nil {
		return 0, c.failure
	}
	return len(p), nil
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}
