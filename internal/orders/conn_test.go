package orders

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// deadlineConn keeps its last write deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// A transport that waits for the end of a write set a deadline after that of the lease.
func TestWriteDeadlineStaysWithinTheLease(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct{ set, want time.Time }{
		"Before": {now.Add(time.Second), now.Add(time.Second)},
		"After":  {now.Add(time.Minute), now.Add(2 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			inner := &deadlineConn{}
			c := &leasedConn{Conn: inner, until: now.Add(2 * time.Second)}
			if err := c.SetWriteDeadline(test.set); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, inner.deadline); diff != "" {
				t.Errorf("deadline (-want +got):\n%s", diff)
			}
		})
	}
}
