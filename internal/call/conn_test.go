package call

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// hookedConn is a connection that calls a hook during each write.
type hookedConn struct {
	net.Conn
	write func(p []byte) (int, error)
}

// Write calls the hook.
func (c *hookedConn) Write(p []byte) (int, error) { return c.write(p) }

// An endpoint answered a request before the write of the request had returned, and the attempt was reported as not run.
func TestBytesCountAsWrittenDuringTheWrite(t *testing.T) {
	cases := map[string]struct {
		n    int
		err  error
		want int64 // after the write
	}{
		"whole":   {n: 4, want: 4},
		"part":    {n: 3, err: errors.New("reset"), want: 3},
		"nothing": {n: 0, err: errors.New("reset"), want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			gate := &writeGate{now: func() time.Duration { return 0 }, ctx: context.Background()}
			gate.deadline.Store(int64(time.Second))
			conn := &gatedConn{}
			conn.gate.Store(gate)
			conn.Conn = &hookedConn{write: func([]byte) (int, error) {
				if gate.written.Load() == 0 {
					t.Error("an answer that comes now would find nothing written")
				}
				return c.n, c.err
			}}
			if n, err := conn.Write([]byte("four")); n != c.n || !errors.Is(err, c.err) {
				t.Errorf("Write() = %d, %v", n, err)
			}
			if got := gate.written.Load(); got != c.want {
				t.Errorf("%d bytes count as written, want %d", got, c.want)
			}
		})
	}
}
