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

const swapPoll = 2 * time.Millisecond

// Token returns the token at a position of the answer to a prompt with a seed; it is the same on each engine
// and for each version, so that a resumed answer can be compared with a whole one. It may be called concurrently.
func Token(prompt string, seed int64, position int) string {
	sum := xxhash.Sum64String(prompt + "/" + strconv.FormatInt(seed, 10) + "/" + strconv.Itoa(position))
	return "t" + strconv.FormatUint(sum%0xfffff, 36)
}

// Tokens returns the whole answer to a generation request. It may be called concurrently.
func Tokens(g wire.Generate) []string {
	tokens := make([]string, g.MaxTokens)
	for i := range tokens {
		tokens[i] = Token(g.Prompt, g.Seed, i)
	}
	return tokens
}

// stream is one answer under way.
type stream struct {
	engine  *Engine
	id      string // wire.HeaderRequest
	request wire.Generate
	job     *job
	writer  http.ResponseWriter
	factor  float64
	cached  int
	prompt  int
	cut     bool
	endAt   int // segments after which the stream ends early, -1 for never
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g wire.Generate
	if !e.read(w, r, &g) {
		return
	}
	if e.refuses() {
		refuse(w, "refused")
		return
	}
	if e.takes(func(f *Faults) *int { return &f.CutBefore }) {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	j := &job{attempt: r.Header.Get(wire.HeaderAttempt), priority: g.Priority, tokens: g.MaxTokens - len(g.Held), cancel: cancel}
	if !e.batch.enter(j) {
		refuse(w, "queue full")
		return
	}
	defer e.batch.leave(j)
	select {
	case <-j.admitted:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	e.run(ctx, w, r, j, g)
}

func (e *Engine) run(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job, g wire.Generate) {
	e.log.Run(r.Header.Get(wire.HeaderRequest))
	if e.takes(func(f *Faults) *int { return &f.FailAfterStart }) {
		http.Error(w, "failed after start", http.StatusInternalServerError)
		return
	}
	s := &stream{engine: e, id: r.Header.Get(wire.HeaderRequest), request: g, job: j, writer: w, factor: e.slowness(j.attempt), endAt: -1}
	s.cached = e.cache.cached(g.Prompt)
	s.prompt = len(strings.Fields(g.Prompt))
	s.planCut()
	if !s.begin(ctx) || !s.tokens(ctx) {
		panic(http.ErrAbortHandler)
	}
	if s.endAt < 0 {
		s.end()
	}
}

// slowness returns by what factor an attempt is slower than others.
func (e *Engine) slowness(attempt string) float64 {
	const buckets = 1 << 20
	sum := xxhash.Sum64String(strconv.FormatUint(e.Seed, 10) + "/" + attempt)
	if float64(sum%buckets) < e.StragglerShare*buckets {
		return e.StragglerFactor
	}
	return 1
}

func (s *stream) planCut() {
	e := s.engine
	s.cut = e.takes(func(f *Faults) *int { return &f.Cut })
	if s.cut || e.takes(func(f *Faults) *int { return &f.EndEarly }) {
		s.endAt = e.faultsNow().CutSegments
	}
}

// begin waits for the prompt to be processed and sends the head of the answer.
func (s *stream) begin(ctx context.Context) bool {
	e := s.engine
	if e.takes(func(f *Faults) *int { return &f.Hang }) && !wait(ctx, time.Duration(e.faultsNow().HangMS)*time.Millisecond) {
		return false
	}
	if e.PrefillRate > 0 {
		seconds := float64(s.prompt-s.cached) / e.PrefillRate
		if !wait(ctx, time.Duration(seconds*float64(time.Second))) {
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

func (s *stream) tokens(ctx context.Context) bool {
	segments := 0
	for at := len(s.request.Held); at < s.request.MaxTokens; {
		if segments == s.endAt {
			return !s.cut
		}
		n := min(s.engine.TokensPerSegment, s.request.MaxTokens-at)
		if !s.pace(ctx, n) || !s.segment(at, n) {
			return false
		}
		at += n
		segments++
	}
	return !s.cut
}

// pace waits for as long as n tokens take at the batch's present size, and while a swap is under way.
func (s *stream) pace(ctx context.Context, n int) bool {
	e := s.engine
	running := max(1, e.batch.made(s.job, 0))
	rate := min(e.RequestRate, e.TokensPerSecond/float64(running)) / s.factor
	if slow := e.faultsNow().Slow; slow > 0 {
		rate /= slow
	}
	if !wait(ctx, time.Duration(float64(n)/rate*float64(time.Second))) {
		return false
	}
	for e.swaps.swapping() {
		if !wait(ctx, swapPoll) {
			return false
		}
	}
	e.batch.made(s.job, n)
	return true
}

func (s *stream) segment(at, n int) bool {
	s.engine.truth.add(s)
	segment := wire.Segment{Version: s.version()}
	for i := range n {
		segment.Tokens = append(segment.Tokens, Token(s.request.Prompt, s.request.Seed, at+i))
	}
	return s.send(segment)
}

func (s *stream) version() uint64 {
	if s.engine.faultsNow().NoVersion {
		return 0
	}
	return s.engine.swaps.version()
}

// end sends the last line. GeneratedTokens are those of this attempt, without the ones held before it.
func (s *stream) end() {
	s.send(wire.Segment{
		Done:            true,
		Version:         s.version(),
		PromptTokens:    s.prompt,
		CachedTokens:    s.cached,
		GeneratedTokens: s.request.MaxTokens - len(s.request.Held),
	})
}

func (s *stream) send(segment wire.Segment) bool {
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
	if !e.read(w, r, &c) {
		return
	}
	if !e.batch.cancel(c.Attempt) {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	answer(w, struct{}{})
}

// wait returns false when ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
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
