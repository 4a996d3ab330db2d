package loadr

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Run carries out a plan and waits for the last answer. It returns early, with what was seen, when ctx ends.
func Run(ctx context.Context, plan Plan) (Report, error) {
	if err := plan.check(); err != nil {
		return Report{}, err
	}
	if plan.Grace > 0 {
		bounded, cancel := context.WithTimeout(ctx, plan.Duration+plan.Grace)
		defer cancel()
		ctx = bounded
	}
	transport := &http.Transport{MaxIdleConnsPerHost: plan.MaxOutstanding, MaxIdleConns: 0}
	defer transport.CloseIdleConnections()
	r := &runner{
		plan:   plan,
		client: &http.Client{Transport: transport},
		slots:  make(chan struct{}, plan.MaxOutstanding),
		left:   make(chan struct{}, plan.MaxRequests),
		start:  time.Now(),
	}
	tallies := make([]*tally, len(plan.Sources))
	var group sync.WaitGroup
	for i, source := range plan.Sources {
		tallies[i] = newTally(source)
		group.Go(func() { r.drive(ctx, i, source, tallies[i]) })
	}
	group.Wait()
	return r.report(tallies), nil
}

type runner struct {
	plan   Plan
	client *http.Client
	slots  chan struct{} // one for each request under way
	left   chan struct{} // one for each request sent
	start  time.Time
}

// drive starts one source's requests at exponentially spaced times.
func (r *runner) drive(ctx context.Context, index int, s Source, t *tally) {
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
		if due >= end || !sleepUntil(ctx, r.start.Add(due)) || !take(r.left) {
			return
		}
		if !take(r.slots) {
			t.drop()
			continue
		}
		request := r.build(s, n, random)
		at := r.start.Add(due)
		group.Go(func() {
			defer func() { <-r.slots }()
			o := r.send(ctx, request, at)
			o.inTime = time.Since(r.start) <= r.plan.Duration
			t.add(o)
		})
	}
}

func take(slots chan struct{}) bool {
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

func (r *runner) report(tallies []*tally) Report {
	report := Report{Took: time.Since(r.start)}
	total := 0
	for _, t := range tallies {
		result := t.finish()
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
