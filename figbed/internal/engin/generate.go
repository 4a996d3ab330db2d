package engin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/wire"
)

const swapPollInterval = 2 * time.Millisecond

// Token returns the token at a position of the answer to a prompt with a seed. It is the same on each engine and for each
// weight version, so that a resumed answer can be compared with an uninterrupted one. It may be called concurrently.
func Token(prompt string, seed int64, position int) string {
	sum := xxhash.Sum64String(prompt + "/" + strconv.FormatInt(seed, 10) + "/" + strconv.Itoa(position))
	return "t" + strconv.FormatUint(sum%0xfffff, 36)
}

// Tokens returns all tokens of the answer to a generation request. It may be called concurrently.
func Tokens(g wire.Generate) []string {
	tokens := make([]string, g.MaxTokens)
	for i := range tokens {
		tokens[i] = Token(g.Prompt, g.Seed, i)
	}
	return tokens
}

// stream is a response that is being sent.
type stream struct {
	engine        *Engine
	requestID     string // wire.HeaderRequest
	request       wire.Generate
	job           *job
	writer        http.ResponseWriter
	slowdown      float64
	cachedTokens  int
	promptTokens  int
	cutConnection bool
	endAfter      int // segments after which the stream ends early, -1 for never
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g wire.Generate
	if !e.readJSON(w, r, &g) {
		return
	}
	if e.shouldRefuse() {
		writeRefusal(w, "refused")
		return
	}
	if e.takeFault(func(f *Faults) *int { return &f.CutBefore }) {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	j := &job{attemptID: r.Header.Get(wire.HeaderAttempt), priority: g.Priority, remainingTokens: g.MaxTokens - len(g.Held), cancel: cancel}
	if !e.batch.enqueue(j) {
		writeRefusal(w, "queue full")
		return
	}
	defer e.batch.remove(j)
	select {
	case <-j.admitted:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	e.run(ctx, w, r, j, g)
}

func (e *Engine) run(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job, g wire.Generate) {
	e.recorder.CountRun(r.Header.Get(wire.HeaderRequest))
	if e.takeFault(func(f *Faults) *int { return &f.FailAfterStart }) {
		http.Error(w, "failed after start", http.StatusInternalServerError)
		return
	}
	s := &stream{engine: e, requestID: r.Header.Get(wire.HeaderRequest), request: g, job: j, writer: w, slowdown: e.slowdown(j.attemptID), endAfter: -1}
	s.cachedTokens = e.cache.cachedTokens(g.Prompt)
	s.promptTokens = len(strings.Fields(g.Prompt))
	s.planEarlyEnd()
	if !s.start(ctx) || !s.sendTokens(ctx) {
		panic(http.ErrAbortHandler)
	}
	if s.endAfter < 0 {
		s.sendLastSegment()
	}
}

// slowdown returns the factor by which an attempt is slower than the others. It depends only on the seed and the id.
func (e *Engine) slowdown(attemptID string) float64 {
	const buckets = 1 << 20
	sum := xxhash.Sum64String(strconv.FormatUint(e.Seed, 10) + "/" + attemptID)
	if float64(sum%buckets) < e.StragglerShare*buckets {
		return e.StragglerFactor
	}
	return 1
}

func (s *stream) planEarlyEnd() {
	e := s.engine
	s.cutConnection = e.takeFault(func(f *Faults) *int { return &f.Cut })
	if s.cutConnection || e.takeFault(func(f *Faults) *int { return &f.EndEarly }) {
		s.endAfter = e.currentFaults().CutSegments
	}
}

// start waits until the prompt is processed and sends the header of the response.
func (s *stream) start(ctx context.Context) bool {
	e := s.engine
	if e.takeFault(func(f *Faults) *int { return &f.Hang }) && !sleep(ctx, time.Duration(e.currentFaults().HangMS)*time.Millisecond) {
		return false
	}
	if e.PrefillRate > 0 {
		seconds := float64(s.promptTokens-s.cachedTokens) / e.PrefillRate
		if !sleep(ctx, time.Duration(seconds*float64(time.Second))) {
			return false
		}
	}
	e.cache.add(s.request.Prompt)
	load := e.batch.load()
	s.writer.Header().Set("Content-Type", "application/x-ndjson")
	s.writer.Header().Set(wire.HeaderLoad, strconv.Itoa(load.QueuedTokens+load.RunningTokens))
	s.writer.WriteHeader(http.StatusOK)
	return s.flush()
}

func (s *stream) sendTokens(ctx context.Context) bool {
	sent := 0
	for position := len(s.request.Held); position < s.request.MaxTokens; {
		if sent == s.endAfter {
			return !s.cutConnection
		}
		n := min(s.engine.TokensPerSegment, s.request.MaxTokens-position)
		if !s.waitForTokens(ctx, n) || !s.sendSegment(position, n) {
			return false
		}
		position += n
		sent++
	}
	return !s.cutConnection
}

// waitForTokens waits for the time that n tokens take at the current size of the batch, and while a swap is in progress.
func (s *stream) waitForTokens(ctx context.Context, n int) bool {
	e := s.engine
	running := max(1, e.batch.recordTokens(s.job, 0))
	rate := min(e.RequestRate, e.TokensPerSecond/float64(running)) / s.slowdown
	if slow := e.currentFaults().Slow; slow > 0 {
		rate /= slow
	}
	if !sleep(ctx, time.Duration(float64(n)/rate*float64(time.Second))) {
		return false
	}
	for e.swapState.inProgress() {
		if !sleep(ctx, swapPollInterval) {
			return false
		}
	}
	e.batch.recordTokens(s.job, n)
	return true
}

func (s *stream) sendSegment(position, n int) bool {
	s.engine.groundTruth.add(s)
	segment := wire.Segment{Version: s.version()}
	for i := range n {
		segment.Tokens = append(segment.Tokens, Token(s.request.Prompt, s.request.Seed, position+i))
	}
	return s.writeSegment(segment)
}

func (s *stream) version() uint64 {
	if s.engine.currentFaults().NoVersion {
		return 0
	}
	return s.engine.swapState.version()
}

// sendLastSegment sends the segment marked Done. Its GeneratedTokens exclude the tokens that the caller already held.
func (s *stream) sendLastSegment() {
	s.writeSegment(wire.Segment{
		Done:            true,
		Version:         s.version(),
		PromptTokens:    s.promptTokens,
		CachedTokens:    s.cachedTokens,
		GeneratedTokens: s.request.MaxTokens - len(s.request.Held),
	})
}

func (s *stream) writeSegment(segment wire.Segment) bool {
	if json.NewEncoder(s.writer).Encode(segment) != nil {
		return false
	}
	return s.flush()
}

func (s *stream) flush() bool {
	return http.NewResponseController(s.writer).Flush() == nil
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var c wire.Cancel
	if !e.readJSON(w, r, &c) {
		return
	}
	if !e.batch.cancel(c.Attempt) {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	writeJSON(w, struct{}{})
}

// sleep returns false when ctx ends before d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
