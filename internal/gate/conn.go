package gate

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/figshift/figshift/internal/budget"
)

const (
	// bodySweeps is the number of sweeps after which a body must have come at minBodyRate bytes a sweep, and writeSweeps the number
	// for which a client may read nothing of what is written to it.
	bodySweeps  = 30
	minBodyRate = 1 << 10
	writeSweeps = 10
)

// What a connection waits for.
const (
	waitsNot  = iota // a request is being answered
	waitsIdle        // the first byte of the next request
	waitsHead
	waitsBody
	waitsReader // an answer is being read by the client
)

// Conn is the connection of a client. It gives the server one head at a time, so that each is counted before it is parsed. Its
// methods may be called as those of net.Conn.
type Conn struct {
	*net.TCPConn
	gate  *Gate
	claim *budget.Claim
	done  chan struct{} // closed by Close
	once  sync.Once

	// used by the goroutine that reads
	stage   int
	ahead   []byte // read and not yet given to the server
	head    headScan
	left    int64 // bytes of the body that have not been given to the server
	charged int64 // for the head

	refused atomic.Bool  // the refusal of a head was written
	writing atomic.Int64 // 1 + the sweep at which the write that runs began, 0 for none
	aheadN  atomic.Int64 // length of ahead

	mu         sync.Mutex
	early      []byte // first byte of the next request, if it has come while one is being answered
	waits      int
	since      int64  // sweep at which the waiting began
	received   int64  // bytes of the body
	unfinished bool   // the body has not been read whole
	abrupt     bool   // the connection is to be closed at once
	reason     string // why the client was turned away
}

// Gated returns the connection itself.
func (c *Conn) Gated() *Conn { return c }

// Claim returns the memory that is held for the client; nil for no bound.
func (c *Conn) Claim() *budget.Claim {
	if c == nil {
		return nil
	}
	return c.claim
}

// beginRequest is called before a request is handled.
func (c *Conn) beginRequest(r *http.Request) {
	if c == nil {
		return
	}
	if r.ContentLength == 0 {
		c.await(waitsNot)
		return
	}
	c.stage, c.left = readsBody, r.ContentLength
	if r.ContentLength < 0 {
		c.stage = readsChunks
	}
	c.mu.Lock()
	c.unfinished = true
	c.mu.Unlock()
	c.await(waitsBody)
}

// awaitsBody reports whether the body of a request has not been read to its end.
func (c *Conn) awaitsBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unfinished
}

// EndBody is called when the body of a request is not read any further. Whole tells whether it has been read to its end.
func (c *Conn) EndBody(whole bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.unfinished = !whole
	c.mu.Unlock()
	c.await(waitsNot)
}

// beginIdle is called when a request has been answered.
func (c *Conn) beginIdle() {
	if c == nil {
		return
	}
	c.claim.Reset(budget.Connections)
	c.charged = 0
	c.head = headScan{}
	if c.stage == readsChunks {
		c.head.unseen() // the server may have read on
	}
	c.mu.Lock()
	early := c.early
	c.early, c.unfinished = nil, false
	c.mu.Unlock()
	c.stage = readsHead
	c.await(waitsIdle)
	if c.head.scan(early); c.head.bytes > 0 {
		c.await(waitsHead)
	}
}

// Unread reports whether bytes have come that have not been read.
func (c *Conn) Unread() bool {
	if c.aheadN.Load() > 0 {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n > 0
}

// SetReadDeadline sets the deadline of reads, unless the client was turned away.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason != "" {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// await sets what the connection waits for.
func (c *Conn) await(waits int) {
	c.mu.Lock()
	changed := c.waits != waits || waits == waitsIdle
	if changed {
		c.waits, c.since, c.received = waits, c.gate.sweeps.Load(), 0
	}
	c.mu.Unlock()
	if changed {
		c.claim.Await(waits != waitsNot)
	}
}

func (c *Conn) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
}

func (c *Conn) waitState() (waits int, since int64, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits, c.since, c.reason != ""
}

func (c *Conn) endReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

// markEnded records why the client is turned away, and reports whether it wasn't yet.
func (c *Conn) markEnded(reason string) bool {
	c.mu.Lock()
	first := c.reason == ""
	if first {
		c.reason = reason
	}
	c.mu.Unlock()
	if first && reason != ReasonIdle {
		c.gate.count(reason) // without c.mu, which is locked after the gate's
	}
	return first
}

// end turns the client away: the read or write that waits for it fails, and the server closes the connection.
func (c *Conn) end(reason string) {
	if !c.markEnded(reason) {
		return
	}
	past := time.Unix(1, 0)
	_ = c.TCPConn.SetReadDeadline(past) // fails on a closed connection only
	if waits, _, _ := c.waitState(); reason == ReasonUnread || waits == waitsReader {
		_ = c.TCPConn.SetWriteDeadline(past)
	}
}

// check ends the connection when it has been waited for too long. Bytes that have not been read are not the client's fault.
func (c *Conn) check(now int64, limits Limits) {
	if began := c.writing.Load(); began > 0 && now-began >= writeSweeps {
		c.end(ReasonUnread)
		return
	}
	c.mu.Lock()
	waits, waited, received := c.waits, now-c.since-1, c.received
	c.mu.Unlock()
	reason := ""
	switch {
	case waits == waitsIdle && waited >= sweepsOf(limits.IdleTime):
		reason = ReasonIdle
	case waits == waitsHead && waited >= sweepsOf(limits.HeadTime):
		reason = ReasonHeadTime
	case waits == waitsBody && waited >= bodySweeps && received < (waited-bodySweeps+1)*minBodyRate:
		reason = ReasonBodyRate
	}
	if reason != "" && !c.Unread() {
		c.end(reason)
	}
}

// sweepsOf returns the number of sweeps in a time, rounded up.
func sweepsOf(d time.Duration) int64 { return int64((d + sweepInterval - 1) / sweepInterval) }
