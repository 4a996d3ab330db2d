// Package stats keeps the process's metrics and serves them in the Prometheus format.
package stats

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/figshift/figshift/internal/event"
)

// reportInterval is the interval at which new values become visible to a scrape.
const reportInterval = time.Second

// New returns the root scope, the handler that serves its metrics, and a closer that flushes the scope. For a metric whose
// tags conflict with those of another, failed is called and the metric is not reported. All may be used concurrently.
func New(failed func(error)) (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      prom.NewRegistry(),
		OnRegisterError: failed,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "figshift",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// Executor records event.Count and event.Observe effects. Its field is set before use.
type Executor struct{ Scope tally.Scope }

// Do adds a Count effect to its counter or an Observe effect to its histogram, and reports whether the effect was one of
// them.
func (x *Executor) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.Count:
		x.taggedScope(e.Tags).Counter(e.Name).Inc(e.N)
	case event.Observe:
		x.taggedScope(e.Tags).Histogram(e.Name, durationBuckets).RecordDuration(e.Took)
	default:
		return false
	}
	return true
}

// durationBuckets are the histogram buckets, from 1 ms to about 2 minutes.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

func (x *Executor) taggedScope(tags []event.Field) tally.Scope {
	if len(tags) == 0 {
		return x.Scope
	}
	labels := make(map[string]string, len(tags))
	for _, t := range tags {
		labels[t.Key] = t.Value
	}
	return x.Scope.Tagged(labels)
}
