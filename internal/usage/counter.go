package usage

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	owner      = "usage"
	callDelta  = "Delta"
	askTimeout = 5 * time.Second
	// maxFlight is shorter than forgetAfter, so that a holder still knows every delta that is sent again.
	maxFlight  = 12 * time.Hour
	maxPending = 64 // windows
	// flushPerHost is the least time between the deltas that a holder takes in.
	flushPerHost   = 20 * time.Millisecond
	flushesInGrace = 2
	maxSamples     = 1 << 16
	drainLimit     = 5 * time.Second
)

// Counter counts what the engines report for this daemon's requests and hands it to the duty's holder.
// Its exported fields are set before use.
type Counter struct {
	Host        string
	Incarnation string
	Requests    bool // callers' requests are counted, by the time at which they began, in place of tokens

	settings  config.Usage
	hosts     int
	offset    time.Duration // wall clock less monotonic time
	pending   []Window      // counted and never sent, sorted by number
	nextFlush time.Duration
	flight    *flight
	seq       uint64 // of the last delta
	askSeq    uint64
	samples   map[event.SampleRef]bool
	order     []event.SampleRef // of samples, oldest first
	draining  bool
	drainEnd  time.Duration // 0 while requests run
}

// flight is the one delta that was sent and is not yet known to be in the ledger.
type flight struct {
	delta    wire.UsageDelta
	since    time.Duration
	firstAsk uint64
	asking   bool
	retryAt  time.Duration
}

// Step takes the events of counting and sending. It must not be called concurrently.
func (c *Counter) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		c.settings = e.Site.Usage
	case event.WallClock:
		c.offset = e.Unix - now
	case event.HostsChanged:
		c.hosts = len(e.Hosts)
	case event.RequestDone:
		c.count(now, e, out)
	case event.AskDone:
		c.answered(now, e, out)
	case event.StopAsked:
		c.beginDrain(out)
	case event.Drained:
		c.drainEnd = now + drainLimit
		c.flush(now, out)
	case event.Tick:
		c.tick(now, out)
	}
}

func (c *Counter) tick(now time.Duration, out *event.Batch) {
	c.expire(now, out)
	if now >= c.nextFlush || c.drainEnd > 0 {
		c.flush(now, out)
	}
	c.endDrain(now, out)
}

// count adds a request's tokens to its organisation's figure of the present window.
func (c *Counter) count(now time.Duration, e event.RequestDone, out *event.Batch) {
	if c.Requests {
		c.countRequest(e)
		return
	}
	if !e.HasUsage {
		return
	}
	if e.Kind != "" || c.repeated(e.Sample) {
		own := int64(e.PromptTokens + e.GeneratedTokens)
		out.Emit(event.Count{Name: "UsageOwnTokens", N: own})
		return
	}
	c.add(WindowAt(now+c.offset, c.length()), wire.UsageFigure{
		Organisation:    e.Organisation,
		Requests:        1,
		PromptTokens:    uint64(max(e.PromptTokens, 0)),
		CachedTokens:    uint64(max(e.CachedTokens, 0)),
		GeneratedTokens: uint64(max(e.GeneratedTokens, 0)),
	})
}

// countRequest adds a caller's request that an endpoint began to work on.
func (c *Counter) countRequest(e event.RequestDone) {
	if e.Own || e.Began == 0 || e.Organisation == "" {
		return
	}
	c.add(WindowAt(e.Began+c.offset, c.length()), wire.UsageFigure{Organisation: e.Organisation, Requests: 1})
}

// repeated reports whether a sample was counted before: the second answer is that of a hedge's loser.
func (c *Counter) repeated(ref *event.SampleRef) bool {
	if ref == nil {
		return false
	}
	if c.samples[*ref] {
		return true
	}
	if c.samples == nil {
		c.samples = map[event.SampleRef]bool{}
	}
	c.samples[*ref] = true
	c.order = append(c.order, *ref)
	if len(c.order) > maxSamples {
		delete(c.samples, c.order[0])
		c.order = c.order[1:]
	}
	return false
}

func (c *Counter) length() time.Duration {
	if c.settings.Window == 0 {
		c.settings = config.Defaults().Usage
	}
	return c.settings.Window
}

func (c *Counter) add(number uint64, figure wire.UsageFigure) {
	last := len(c.pending) - 1
	if last >= 0 && c.pending[last].Number >= number {
		c.pending[last].Figures = Add(c.pending[last].Figures, figure)
		return
	}
	c.pending = append(c.pending, Window{Number: number, Figures: []wire.UsageFigure{figure}})
	if len(c.pending) > maxPending {
		c.joinOldest()
	}
}

// joinOldest moves the oldest window's figures into the next one, where the holder marks them as late.
func (c *Counter) joinOldest() {
	oldest := c.pending[0]
	c.pending = c.pending[1:]
	c.pending[0].Figures = addAll(c.pending[0].Figures, oldest.Figures, false)
	c.pending[0].Number = oldest.Number
}

// flush sends the delta under way again, or the oldest pending window as the next one.
func (c *Counter) flush(now time.Duration, out *event.Batch) {
	c.length()
	c.nextFlush = now + c.pause()
	if c.flight == nil && len(c.pending) > 0 {
		c.takeOff(now)
	}
	f := c.flight
	if f == nil || f.asking || now < f.retryAt {
		return
	}
	c.ask(now, out)
}

// pause returns the interval of the sends: Flush, and in a large fleet so much that the holder takes in no more than
// a delta each flushPerHost, as far as the grace allows.
func (c *Counter) pause() time.Duration {
	return max(c.settings.Flush, min(time.Duration(c.hosts)*flushPerHost, c.settings.Grace/flushesInGrace))
}

func (c *Counter) takeOff(now time.Duration) {
	c.seq++
	w := c.pending[0]
	c.pending = c.pending[1:]
	c.flight = &flight{
		since:    now,
		firstAsk: c.askSeq + 1,
		delta:    wire.UsageDelta{Host: c.Host, Incarnation: c.Incarnation, Seq: c.seq, Window: w.Number, Figures: w.Figures},
	}
}

func (c *Counter) ask(now time.Duration, out *event.Batch) {
	body, err := encode(c.flight.delta)
	if err != nil {
		return
	}
	c.askSeq++
	c.flight.asking = true
	c.flight.retryAt = now + 2*askTimeout
	out.Raise(event.AskDuty{Owner: owner, Seq: c.askSeq, Duty: event.DutyUsage, Call: callDelta, Body: body, Deadline: now + askTimeout})
}

// answered ends the delta under way, also by a late answer to an earlier send of it.
func (c *Counter) answered(now time.Duration, e event.AskDone, out *event.Batch) {
	f := c.flight
	if e.Owner != owner || f == nil || e.Seq < f.firstAsk {
		return
	}
	if e.Kind == "" {
		c.flight = nil
		c.endDrain(now, out)
		return
	}
	out.Emit(event.Count{Name: "UsageResent", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	if e.Seq == c.askSeq {
		f.asking = false
		f.retryAt = now + c.settings.Flush
	}
}

// expire frees a send that was never answered, and gives up a delta that a holder may have forgotten.
func (c *Counter) expire(now time.Duration, out *event.Batch) {
	f := c.flight
	if f == nil {
		return
	}
	if f.asking && now >= f.retryAt {
		f.asking = false
	}
	if now-f.since < maxFlight {
		return
	}
	c.flight = nil
	c.lost(f.delta.Figures, "Expired", out)
}

func (c *Counter) lost(figures []wire.UsageFigure, reason string, out *event.Batch) {
	var tokens uint64
	for _, f := range figures {
		tokens += f.PromptTokens + f.GeneratedTokens
	}
	out.Emit(event.Count{Name: "UsageLostTokens", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: int64(tokens)})
	out.Emit(event.Log{Level: "error", Event: "UsageLost", Fields: []event.Field{
		{Key: "Reason", Value: reason},
		{Key: "Tokens", Value: strconv.FormatUint(tokens, 10)},
	}})
}

func (c *Counter) beginDrain(out *event.Batch) {
	if c.draining {
		return
	}
	c.draining = true
	out.Raise(event.DrainBegun{Owner: owner})
}

// endDrain lets the process end once the last request's figures are in the ledger, or after a limit.
func (c *Counter) endDrain(now time.Duration, out *event.Batch) {
	if !c.draining || c.drainEnd == 0 {
		return
	}
	sent := c.flight == nil && len(c.pending) == 0
	if !sent && now < c.drainEnd {
		return
	}
	c.draining = false
	if !sent {
		c.lost(c.unsent(), "Stopping", out)
	}
	out.Raise(event.DrainEnded{Owner: owner})
}

func (c *Counter) unsent() []wire.UsageFigure {
	var all []wire.UsageFigure
	if c.flight != nil {
		all = append(all, c.flight.delta.Figures...)
	}
	for _, w := range c.pending {
		all = append(all, w.Figures...)
	}
	return all
}

// refusedBy says why a holder does not fold a delta, "" when it does.
func refusedBy(d wire.UsageDelta, from string) kinds.Kind {
	if d.Host != from || d.Incarnation == "" || d.Seq == 0 || d.Seq > 1<<32-1 {
		return kinds.BadRequest
	}
	return ""
}
