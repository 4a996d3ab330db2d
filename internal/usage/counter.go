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
	owner        = "usage"
	callDelta    = "Delta"
	deltaTimeout = 5 * time.Second
	// deltaLifetime is the time after which an unacknowledged delta is given up. It is shorter than streamTTL, so that
	// the holder still recognises every resent delta as a duplicate.
	deltaLifetime     = 12 * time.Hour
	maxPendingWindows = 64
	// flushIntervalPerHost times the number of hosts is the flush interval of a large fleet: the holder receives at
	// most one delta in this time.
	flushIntervalPerHost = 20 * time.Millisecond
	// flushesPerGrace is the minimum number of flushes within the grace period of a window.
	flushesPerGrace = 2
	maxSampleRefs   = 1 << 16
	// drainTimeout is the longest time that a stopping daemon waits for its last deltas to be acknowledged.
	drainTimeout = 5 * time.Second
)

// Counter accumulates the token usage that the engines report for this daemon's requests and sends it as deltas to the
// holder of the Usage duty. Its exported fields are set before use.
type Counter struct {
	Host          string
	Incarnation   string
	CountRequests bool // count callers' requests by the time at which they began, instead of tokens

	settings       config.Usage
	hostCount      int
	clockOffset    time.Duration // wall-clock time minus monotonic time
	pending        []Window      // counted but never sent, sorted by number
	nextFlush      time.Duration
	inFlight       *deltaInFlight
	lastSeq        uint64 // Seq of the newest delta
	callSeq        uint64
	countedSamples map[event.SampleRef]bool
	sampleOrder    []event.SampleRef // the keys of countedSamples, oldest first
	draining       bool
	drainDeadline  time.Duration // 0 until the last request has ended
}

// deltaInFlight is the delta that was sent and is not yet acknowledged. There is at most one.
type deltaInFlight struct {
	delta          wire.UsageDelta
	firstSent      time.Duration
	firstCall      uint64 // callSeq of its first send
	awaitingAnswer bool
	retryAt        time.Duration
}

// Step applies one event, if it concerns counting or sending. It must not be called concurrently.
func (c *Counter) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		c.settings = e.Site.Usage
	case event.WallClock:
		c.clockOffset = e.Unix - now
	case event.HostsChanged:
		c.hostCount = len(e.Hosts)
	case event.RequestDone:
		c.count(now, e, out)
	case event.AskDone:
		c.handleAnswer(now, e, out)
	case event.StopAsked:
		c.beginDrain(out)
	case event.Drained:
		c.drainDeadline = now + drainTimeout
		c.flush(now, out)
	case event.Tick:
		c.tick(now, out)
	}
}

func (c *Counter) tick(now time.Duration, out *event.Batch) {
	c.expire(now, out)
	if now >= c.nextFlush || c.drainDeadline > 0 {
		c.flush(now, out)
	}
	c.finishDrain(now, out)
}

// count adds a request's tokens to its organisation's figure in the current window. Tokens of failed requests and of
// duplicate samples are only counted in the metric UsageOwnTokens.
func (c *Counter) count(now time.Duration, e event.RequestDone, out *event.Batch) {
	if c.CountRequests {
		c.countRequest(e)
		return
	}
	if !e.HasUsage {
		return
	}
	if e.Kind != "" || c.alreadyCounted(e.Sample) {
		own := int64(e.PromptTokens + e.GeneratedTokens)
		out.Emit(event.Count{Name: "UsageOwnTokens", N: own})
		return
	}
	c.addToWindow(WindowAt(now+c.clockOffset, c.windowLength()), wire.UsageFigure{
		Organisation:    e.Organisation,
		Requests:        1,
		PromptTokens:    uint64(max(e.PromptTokens, 0)),
		CachedTokens:    uint64(max(e.CachedTokens, 0)),
		GeneratedTokens: uint64(max(e.GeneratedTokens, 0)),
	})
}

// countRequest counts a caller's request if an endpoint began to process it.
func (c *Counter) countRequest(e event.RequestDone) {
	if e.Own || e.Began == 0 || e.Organisation == "" {
		return
	}
	c.addToWindow(WindowAt(e.Began+c.clockOffset, c.windowLength()), wire.UsageFigure{Organisation: e.Organisation, Requests: 1})
}

// alreadyCounted records a sample and reports whether it was counted before, which happens when both requests of a
// hedged sample are answered.
func (c *Counter) alreadyCounted(ref *event.SampleRef) bool {
	if ref == nil {
		return false
	}
	if c.countedSamples[*ref] {
		return true
	}
	if c.countedSamples == nil {
		c.countedSamples = map[event.SampleRef]bool{}
	}
	c.countedSamples[*ref] = true
	c.sampleOrder = append(c.sampleOrder, *ref)
	if len(c.sampleOrder) > maxSampleRefs {
		delete(c.countedSamples, c.sampleOrder[0])
		c.sampleOrder = c.sampleOrder[1:]
	}
	return false
}

func (c *Counter) windowLength() time.Duration {
	if c.settings.Window == 0 {
		c.settings = config.Defaults().Usage
	}
	return c.settings.Window
}

func (c *Counter) addToWindow(number uint64, figure wire.UsageFigure) {
	last := len(c.pending) - 1
	if last >= 0 && c.pending[last].Number >= number {
		c.pending[last].Figures = AddFigure(c.pending[last].Figures, figure)
		return
	}
	c.pending = append(c.pending, Window{Number: number, Figures: []wire.UsageFigure{figure}})
	if len(c.pending) > maxPendingWindows {
		c.mergeOldest()
	}
}

// mergeOldest merges the two oldest windows under the number of the oldest, so that the holder marks the figures as
// late if that window is closed.
func (c *Counter) mergeOldest() {
	dropped := c.pending[0]
	c.pending = c.pending[1:]
	c.pending[0].Figures = addAll(c.pending[0].Figures, dropped.Figures, false)
	c.pending[0].Number = dropped.Number
}

// flush resends the delta in flight, or sends the oldest pending window as the next delta.
func (c *Counter) flush(now time.Duration, out *event.Batch) {
	c.windowLength()
	c.nextFlush = now + c.flushInterval()
	if c.inFlight == nil && len(c.pending) > 0 {
		c.startDelta(now)
	}
	f := c.inFlight
	if f == nil || f.awaitingAnswer || now < f.retryAt {
		return
	}
	c.sendDelta(now, out)
}

// flushInterval returns the configured Flush. In a large fleet it is longer, so that the holder receives at most one
// delta per flushIntervalPerHost, but not so long that fewer than flushesPerGrace flushes fit into the grace period.
func (c *Counter) flushInterval() time.Duration {
	return max(c.settings.Flush, min(time.Duration(c.hostCount)*flushIntervalPerHost, c.settings.Grace/flushesPerGrace))
}

// startDelta makes the oldest pending window the delta in flight.
func (c *Counter) startDelta(now time.Duration) {
	c.lastSeq++
	w := c.pending[0]
	c.pending = c.pending[1:]
	c.inFlight = &deltaInFlight{
		firstSent: now,
		firstCall: c.callSeq + 1,
		delta:     wire.UsageDelta{Host: c.Host, Incarnation: c.Incarnation, Seq: c.lastSeq, Window: w.Number, Figures: w.Figures},
	}
}

func (c *Counter) sendDelta(now time.Duration, out *event.Batch) {
	body, err := encode(c.inFlight.delta)
	if err != nil {
		return
	}
	c.callSeq++
	c.inFlight.awaitingAnswer = true
	c.inFlight.retryAt = now + 2*deltaTimeout
	out.Raise(event.AskDuty{Owner: owner, Seq: c.callSeq, Duty: event.DutyUsage, Call: callDelta, Body: body, Deadline: now + deltaTimeout})
}

// handleAnswer completes the delta in flight if it was acknowledged, also by a late answer to an earlier send.
func (c *Counter) handleAnswer(now time.Duration, e event.AskDone, out *event.Batch) {
	f := c.inFlight
	if e.Owner != owner || f == nil || e.Seq < f.firstCall {
		return
	}
	if e.Kind == "" {
		c.inFlight = nil
		c.finishDrain(now, out)
		return
	}
	out.Emit(event.Count{Name: "UsageResent", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	if e.Seq == c.callSeq {
		f.awaitingAnswer = false
		f.retryAt = now + c.settings.Flush
	}
}

// expire stops waiting for a send that was never answered, and gives up a delta whose stream the holder may have
// dropped: resent, it could be counted twice.
func (c *Counter) expire(now time.Duration, out *event.Batch) {
	f := c.inFlight
	if f == nil {
		return
	}
	if f.awaitingAnswer && now >= f.retryAt {
		f.awaitingAnswer = false
	}
	if now-f.firstSent < deltaLifetime {
		return
	}
	c.inFlight = nil
	c.reportLoss(f.delta.Figures, "Expired", out)
}

func (c *Counter) reportLoss(figures []wire.UsageFigure, reason string, out *event.Batch) {
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

// finishDrain lets the process end once all figures are acknowledged, or at drainDeadline, when the rest is reported as
// lost.
func (c *Counter) finishDrain(now time.Duration, out *event.Batch) {
	if !c.draining || c.drainDeadline == 0 {
		return
	}
	sent := c.inFlight == nil && len(c.pending) == 0
	if !sent && now < c.drainDeadline {
		return
	}
	c.draining = false
	if !sent {
		c.reportLoss(c.unsent(), "Stopping", out)
	}
	out.Raise(event.DrainEnded{Owner: owner})
}

func (c *Counter) unsent() []wire.UsageFigure {
	var all []wire.UsageFigure
	if c.inFlight != nil {
		all = append(all, c.inFlight.delta.Figures...)
	}
	for _, w := range c.pending {
		all = append(all, w.Figures...)
	}
	return all
}

// validateDelta returns the kind of refusal for an invalid delta from a host, and "" for a valid one.
func validateDelta(d wire.UsageDelta, from string) kinds.Kind {
	if d.Host != from || d.Incarnation == "" || d.Seq == 0 || d.Seq > 1<<32-1 {
		return kinds.BadRequest
	}
	return ""
}
