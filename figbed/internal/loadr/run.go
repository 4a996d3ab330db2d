package loadr

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Run executes a plan and waits for the outstanding responses, at most for plan.Grace unless that is 0. When ctx ends, it
// returns early with the outcomes so far.
func Run(ctx context.Context, plan Plan) (Report, error) {
	if err := plan.validate(); err != nil {
		return Report{}, err
	}
	if plan.Grace > 0 {
		limited, cancel := context.WithTimeout(ctx, plan.Duration+plan.Grace)
		defer cancel()
		ctx = limited
	}
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxOutstanding, MaxIdleConns: 0}
	defer transport.CloseIdleConnections()
	r := &runner{
		plan:        plan,
		client:      &http.Client{Transport: transport},
		outstanding: make(chan struct{}, plan.MaxOutstanding),
		scheduled:   make(chan struct{}, plan.MaxRequests),
		start:       time.Now(),
	}
	recorders := make([]*resultRecorder, len(plan.Sources))
	var group sync.WaitGroup
	for i, source := range plan.Sources {
		recorders[i] = newResultRecorder(source)
		group.Go(func() { r.runSource(ctx, i, source, recorders[i]) })
	}
	group.Wait()
	return r.report(recorders), nil
}

type runner struct {
	plan        Plan
	client      *http.Client
	outstanding chan struct{} // holds one element for each outstanding request
	scheduled   chan struct{} // holds one element for each request that was due, including dropped ones
	start       time.Time
}

// runSource sends the requests of one source at exponentially distributed intervals.
func (r *runner) runSource(ctx context.Context, index int, s Source, recorder *resultRecorder) {
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	end := r.plan.Duration
	if s.Until != 0 {
		end = min(end, s.Until)
	}
	var group sync.WaitGroup
	defer group.Wait()
	due := s.From
	for n := 0; ; n++ {
		due += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if due >= end || !sleepUntil(ctx, r.start.Add(due)) || !tryAcquire(r.scheduled) {
			return
		}
		if !tryAcquire(r.outstanding) {
			recorder.recordDropped()
			continue
		}
		request := r.newRequest(s, n, random)
		at := r.start.Add(due)
		group.Go(func() {
			defer func() { <-r.outstanding }()
			o := r.send(ctx, request, at)
			o.inTime = time.Since(r.start) <= r.plan.Duration
			recorder.record(o)
		})
	}
}

func tryAcquire(slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) report(recorders []*resultRecorder) Report {
	report := Report{Took: time.Since(r.start)}
	total := 0
	for _, recorder := range recorders {
		result := recorder.summarize()
		total += result.InTimeTokens
		report.Results = append(report.Results, result)
	}
	for i := range report.Results {
		if total > 0 {
			report.Results[i].Share = float64(report.Results[i].InTimeTokens) / float64(total)
		}
	}
	return report
}
