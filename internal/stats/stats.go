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

// reportEvery is the interval at which counts become visible to a scrape.
const reportEvery = time.Second

// New returns the root scope and the handler that serves it; closing the third value flushes the scope.
// A metric that clashes with another's tags is passed to failed and not reported. All may be used concurrently.
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
	}, reportEvery)
	return scope, reporter.HTTPHandler(), closer
}

// Executor counts event.Count effects. Its field is set before use.
type Executor struct{ Scope tally.Scope }

// Do adds to the counter of a Count effect or to the histogram of an Observe effect, and reports whether the
// effect was one of them.
func (x *Executor) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.Count:
		x.scope(e.Tags).Counter(e.Name).Inc(e.N)
	case event.Observe:
		x.scope(e.Tags).Histogram(e.Name, buckets).RecordDuration(e.Took)
	default:
		return false
	}
	return true
}

// buckets bound the histograms' values from a millisecond to about two minutes.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

func (x *Executor) scope(tags []event.Field) tally.Scope {
	if len(tags) == 0 {
		return x.Scope
	}
	named := make(map[string]string, len(tags))
	for _, t := range tags {
		named[t.Key] = t.Value
	}
	return x.Scope.Tagged(named)
}
