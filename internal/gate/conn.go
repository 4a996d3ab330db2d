package gate

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/figshift/figshift/internal/budget"
)

const (
	// fieldBytes is what a field of a head holds besides its text: an entry of a map and of a list, in the request and in the copy
	// that is forwarded.
	fieldBytes = 160
	// headSlack is what the lines of a head may have beyond the limit, which counts names and values.
	headSlack = 4
	// bodySweeps is the number of sweeps after which a body must have come at minBodyRate bytes a sweep, and writeSweeps the number
	// for which a client may read nothing of what is written to it.
	bodySweeps  = 30
	minBodyRate = 1 << 10
	writeSweeps = 10
	// lingerTime and lingerBytes bound what is read and dropped after a refusal, so that a reset doesn't take the refusal with it.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	lingerBlock = 2 << 10
)

// What a connection waits for.
const (
	waitsNot  = iota // a request is being answered
	waitsIdle        // the first byte of the next request
	waitsHead
	waitsBody
	waitsReader // an answer is being read by the client
)

// Stages of reading.
const (
	readsHead = iota
	readsNext // a request without a body has been read: at most the next one's first byte may be read
	readsBody
	readsChunks
)

var errTurnedAway = errors.New("the client was turned away")

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

// Read reads from the connection, at most to the end of a head, of a body, or of the first byte of the next request.
func (c *Conn) Read(p []byte) (int, error) {
	switch c.stage {
	case readsHead:
		return c.readHead(p)
	case readsBody:
		if c.left == 0 {
			return c.readEarly(p)
		}
		n, err := c.readSome(p[:min(int64(len(p)), c.left)])
		if c.left -= int64(n); c.left == 0 {
			c.await(waitsNot)
		}
		c.count(n)
		return n, err
	case readsChunks:
		n, err := c.readSome(p)
		c.count(n)
		return n, err
	}
	return c.readEarly(p)
}

// readEarly reads the first byte of the next request while one is being answered, as the server does to notice a closed connection.
func (c *Conn) readEarly(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.readSome(p[:1])
	if n > 0 {
		c.mu.Lock()
		c.early = []byte{p[0]}
		c.mu.Unlock()
	}
	return n, err
}

// readSome reads what has been read ahead, or else from the connection.
func (c *Conn) readSome(p []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.setAhead(c.ahead[n:])
		return n, nil
	}
	n, err := c.TCPConn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.endReason() != "" {
		err = errTurnedAway
	}
	return n, err
}

func (c *Conn) setAhead(rest []byte) {
	if len(rest) == 0 {
		rest = nil
	}
	c.ahead = rest
	c.aheadN.Store(int64(len(rest)))
}

func (c *Conn) readHead(p []byte) (int, error) {
	n, err := c.readSome(p)
	if errors.Is(err, errTurnedAway) {
		return 0, c.refuse(c.endReason())
	}
	if n == 0 {
		return n, err
	}
	if c.head.bytes == 0 {
		c.await(waitsHead)
	}
	end := c.head.scan(p[:n])
	if end < n {
		c.setAhead(append(append([]byte(nil), p[end:n]...), c.ahead...))
		n = end
	}
	if c.head.bytes-c.head.lines*headSlack > c.gate.currentLimits().HeadBytes {
		return 0, c.refuse(ReasonHeadSize)
	}
	cost := int64(2*c.head.bytes + fieldBytes*c.head.lines)
	if c.claim.Grow(budget.Heads, cost-c.charged) != nil {
		return 0, c.refuse(ReasonMemory)
	}
	c.charged = cost
	if c.head.ended {
		c.stage = readsNext
	}
	return n, err
}

// refusals are the statuses with which requests are refused before they are read.
var refusals = map[string]int{
	ReasonMemory: http.StatusServiceUnavailable, ReasonHeadSize: http.StatusRequestHeaderFieldsTooLarge, ReasonHeadTime: http.StatusRequestTimeout,
}

// refuse answers a request whose head has not been read whole, and returns the error of Read that lets the server close the
// connection. An answer that can't be written is left out.
func (c *Conn) refuse(reason string) error {
	c.markEnded(reason)
	if status, ok := refusals[reason]; ok && c.head.bytes > 0 && !c.refused.Swap(true) {

		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTime))
		retry := ""
		if status == http.StatusServiceUnavailable {
			retry = "Retry-After: 1\r\n"
		}
		_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errTurnedAway} // the server adds no answer of its own to a failed read
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

// SetReadDeadline sets the deadline of reads, unless the client was turned away.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason != "" {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetLinger sets what Close does with bytes that have not been sent. With 0 seconds it closes the connection at once.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.abrupt = seconds == 0
	c.mu.Unlock()
	return c.TCPConn.SetLinger(seconds)
}

// Close closes the connection. What the client still sends after a refusal is dropped for a while.
func (c *Conn) Close() error {
	var err error
	c.once.Do(func() {
		c.claim.Reset(budget.Connections)
		c.linger()
		err = c.TCPConn.Close()
		c.gate.remove(c)
		c.claim.Close()
		close(c.done)
	})
	return err
}

func (c *Conn) linger() {
	c.mu.Lock()
	refused := c.unfinished || refusals[c.reason] != 0
	abrupt := c.abrupt || c.waits == waitsIdle || c.gate.stopped.Load()
	c.mu.Unlock()
	if !refused || abrupt {
		return
	}
	if c.TCPConn.CloseWrite() != nil || c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return // the client has closed the connection
	}
	block := make([]byte, lingerBlock)
	for total := 0; total < lingerBytes; {
		n, err := c.TCPConn.Read(block)
		if err != nil {
			return
		}
		total += n
	}
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
