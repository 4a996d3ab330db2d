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
	maxLatency      = 10 * time.Minute
	latencyDigits   = 3 // significant digits that the histograms keep
	microsPerMillis = 1000.0
)

// Result is the outcome for one source. Times are in milliseconds. Latency and first-byte times include only requests with
// a complete response.
type Result struct {
	Name         string
	Organisation string
	Sent         int
	Whole        int            // complete responses
	InTime       int            // complete responses that arrived within the plan's Duration
	Refused      map[string]int // refused requests, by kind
	Unknown      int            // requests with a missing or incomplete response, or with status 502
	Dropped      int            // requests that were not sent, since too many were outstanding
	P50          float64
	P99          float64
	Max          float64
	FirstP50     float64 // time to the response header
	FirstP99     float64
	RefusedP95   float64 // time to a refusal
	RefusedP99   float64
	NoRetryAfter int // refusals with status 429 or 503, but without Retry-After
	Tokens       int // generated and prompt tokens of complete responses; 1 for a plain call
	PromptTokens int
	CachedTokens int
	InTimeTokens int     // tokens of the responses InTime
	Share        float64 // fraction of the InTimeTokens of all sources

	latency *hdrhistogram.Histogram
}

// String returns the result as key=value pairs on one line.
func (r Result) String() string {
	var refusals []string
	for _, kind := range slices.Sorted(maps.Keys(r.Refused)) {
		refusals = append(refusals, fmt.Sprintf("%s:%d", kind, r.Refused[kind]))
	}
	return fmt.Sprintf("Source=%s Organisation=%s Sent=%d Whole=%d InTime=%d Refused=%s Unknown=%d Dropped=%d "+
		"P50=%.1f P99=%.1f Max=%.1f FirstP50=%.1f FirstP99=%.1f RefusedP95=%.1f RefusedP99=%.1f NoRetryAfter=%d "+
		"Tokens=%d PromptTokens=%d CachedTokens=%d Share=%.3f",
		r.Name, r.Organisation, r.Sent, r.Whole, r.InTime, strings.Join(refusals, ","), r.Unknown, r.Dropped,
		r.P50, r.P99, r.Max, r.FirstP50, r.FirstP99, r.RefusedP95, r.RefusedP99, r.NoRetryAfter,
		r.Tokens, r.PromptTokens, r.CachedTokens, r.Share)
}

// Report is the outcome of a run. Results are in the order of the plan's sources.
type Report struct {
	Took    time.Duration
	Results []Result
}

// ResultOf returns the result with a name, or the zero Result when there is none.
func (r Report) ResultOf(name string) Result {
	for _, result := range r.Results {
		if result.Name == name {
			return result
		}
	}
	return Result{}
}

// P99 returns the 99th percentile of the latency of all complete responses except those of one source, in milliseconds.
func (r Report) P99(except string) float64 {
	merged := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for _, result := range r.Results {
		if result.Name != except {
			merged.Merge(result.latency)
		}
	}
	return percentileMillis(merged, 99)
}

// resultRecorder collects the outcomes of one source. Its methods may be called concurrently.
type resultRecorder struct {
	mu          sync.Mutex
	result      Result
	latency     *hdrhistogram.Histogram
	firstByte   *hdrhistogram.Histogram
	refusalTime *hdrhistogram.Histogram
}

func newResultRecorder(s Source) *resultRecorder {
	name := s.Name
	if name == "" {
		name = s.Organisation
	}
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return &resultRecorder{
		result:  Result{Name: name, Organisation: s.Organisation, Refused: map[string]int{}},
		latency: newHistogram(), firstByte: newHistogram(), refusalTime: newHistogram(),
	}
}

func (r *resultRecorder) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	switch {
	case o.refusalKind != "":
		r.result.Refused[o.refusalKind]++
		_ = r.refusalTime.RecordValue(o.latency.Microseconds())
		if o.noRetryAfter {
			r.result.NoRetryAfter++
		}
	case !o.complete:
		r.result.Unknown++
	default:
		r.result.Whole++
		r.result.Tokens += o.tokens
		r.result.PromptTokens += o.promptTokens
		r.result.CachedTokens += o.cachedTokens
		if o.inTime {
			r.result.InTime++
			r.result.InTimeTokens += o.tokens
		}
		_ = r.latency.RecordValue(o.latency.Microseconds())
		_ = r.firstByte.RecordValue(o.firstByte.Microseconds())
	}
}

func (r *resultRecorder) recordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Dropped++
}

func (r *resultRecorder) summarize() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.latency = r.latency
	result.P50, result.P99, result.Max = percentileMillis(r.latency, 50), percentileMillis(r.latency, 99), percentileMillis(r.latency, 100)
	result.FirstP50, result.FirstP99 = percentileMillis(r.firstByte, 50), percentileMillis(r.firstByte, 99)
	result.RefusedP95, result.RefusedP99 = percentileMillis(r.refusalTime, 95), percentileMillis(r.refusalTime, 99)
	return result
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / microsPerMillis
}
