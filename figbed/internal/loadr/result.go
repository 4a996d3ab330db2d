package loadr

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	mostLatency     = 10 * time.Minute
	latencyFigures  = 3
	microsPerMillis = 1000.0
)

// Result is what one source saw. Times are in milliseconds. Latency and first-byte times are those of the
// requests that were answered whole.
type Result struct {
	Name         string
	Organisation string
	Sent         int
	Whole        int
	InTime       int            // of those, answered before the run's duration was over
	Refused      map[string]int // by kind
	Unknown      int            // answers that were cut or of status 502
	Dropped      int            // not sent, since too many were under way
	P50          float64
	P99          float64
	Max          float64
	FirstP50     float64 // to the first byte
	FirstP99     float64
	RefusedP95   float64 // time to a refusal
	RefusedP99   float64
	NoRetryAfter int // refusals by 429 or 503 without Retry-After
	Tokens       int // generated and prompt tokens of whole answers; 1 for a plain call
	PromptTokens int
	CachedTokens int
	InTimeTokens int     // of the answers InTime
	Share        float64 // of InTimeTokens of all sources

	latency *hdrhistogram.Histogram
}

// String returns the result as key=value pairs on one line.
func (r Result) String() string {
	var refused []string
	for _, kind := range slices.Sorted(maps.Keys(r.Refused)) {
		refused = append(refused, fmt.Sprintf("%s:%d", kind, r.Refused[kind]))
	}
	return fmt.Sprintf("Source=%s Organisation=%s Sent=%d Whole=%d InTime=%d Refused=%s Unknown=%d Dropped=%d "+
		"P50=%.1f P99=%.1f Max=%.1f FirstP50=%.1f FirstP99=%.1f RefusedP95=%.1f RefusedP99=%.1f NoRetryAfter=%d "+
		"Tokens=%d PromptTokens=%d CachedTokens=%d Share=%.3f",
		r.Name, r.Organisation, r.Sent, r.Whole, r.InTime, strings.Join(refused, ","), r.Unknown, r.Dropped,
		r.P50, r.P99, r.Max, r.FirstP50, r.FirstP99, r.RefusedP95, r.RefusedP99, r.NoRetryAfter,
		r.Tokens, r.PromptTokens, r.CachedTokens, r.Share)
}

// Report is the outcome of a run, the results in the order of the plan's sources.
type Report struct {
	Took    time.Duration
	Results []Result
}

// Of returns the result of a source by its name, the zero Result when there is none.
func (r Report) Of(name string) Result {
	for _, result := range r.Results {
		if result.Name == name {
			return result
		}
	}
	return Result{}
}

// P99 returns the 99th percentile of the latency of all whole answers but those of one source, in milliseconds.
func (r Report) P99(except string) float64 {
	all := hdrhistogram.New(1, mostLatency.Microseconds(), latencyFigures)
	for _, result := range r.Results {
		if result.Name != except {
			all.Merge(result.latency)
		}
	}
	return millis(all, 99)
}

// tally collects one source's outcomes.
type tally struct {
	mu      sync.Mutex
	result  Result
	whole   *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	refused *hdrhistogram.Histogram
}

func newTally(s Source) *tally {
	name := s.Name
	if name == "" {
		name = s.Organisation
	}
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, mostLatency.Microseconds(), latencyFigures)
	}
	return &tally{
		result: Result{Name: name, Organisation: s.Organisation, Refused: map[string]int{}},
		whole:  histogram(), first: histogram(), refused: histogram(),
	}
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Sent++
	switch {
	case o.refused != "":
		t.result.Refused[o.refused]++
		_ = t.refused.RecordValue(o.took.Microseconds())
		if o.noRetryAfter {
			t.result.NoRetryAfter++
		}
	case !o.whole:
		t.result.Unknown++
	default:
		t.result.Whole++
		t.result.Tokens += o.tokens
		t.result.PromptTokens += o.prompt
		t.result.CachedTokens += o.cached
		if o.inTime {
			t.result.InTime++
			t.result.InTimeTokens += o.tokens
		}
		_ = t.whole.RecordValue(o.took.Microseconds())
		_ = t.first.RecordValue(o.first.Microseconds())
	}
}

func (t *tally) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Dropped++
}

func (t *tally) finish() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.latency = t.whole
	r.P50, r.P99, r.Max = millis(t.whole, 50), millis(t.whole, 99), millis(t.whole, 100)
	r.FirstP50, r.FirstP99 = millis(t.first, 50), millis(t.first, 99)
	r.RefusedP95, r.RefusedP99 = millis(t.refused, 95), millis(t.refused, 99)
	return r
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / microsPerMillis
}
