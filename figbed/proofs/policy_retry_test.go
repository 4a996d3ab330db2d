package proofs

import (
	"context"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/servc"
	"github.com/figshift/figshift/internal/config"
)

const (
	mostAttempts = 1.1 // attempts a request under a failing endpoint
	retryTime    = 5 * time.Second
	retryRate    = 100.0
)

// retryRun measures the attempts a request while the named services fail, and the part of whole answers.
func retryRun(t *testing.T, site func(s *config.Site), failing ...string) (attempts, whole float64) {
	t.Helper()
	c := &proc.Cluster{
		Daemons: 2,
		Services: []proc.Endpoint{
			{Name: "s1", Zone: "a"},
			{Name: "s2", Zone: "b"},
			{Name: "s3", Zone: "a"},
		},
		Site: site,
	}
	c.Start(t)
	for _, name := range failing {
		c.Endpoints[name].ServiceFaults(servc.Faults{RefuseAll: true})
	}
	plan := loadr.Plan{Duration: retryTime, Seed: 1, Targets: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}}
	plan.Sources = []loadr.Source{{Organisation: "North", Key: c.Key("North"), Path: "/lookup", Rate: retryRate}}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, name := range []string{"s1", "s2", "s3"} {
		for _, request := range c.Endpoints[name].Seen().Requests {
			if request.Path == "/lookup" {
				seen++
			}
		}
	}
	r := report.Results[0]
	return float64(seen) / float64(r.Sent), float64(r.Whole) / float64(r.Sent)
}

func TestPolicyRetryBudget(t *testing.T) {
	cases := map[string][]string{"OneOfThreeFails": {"s1"}, "AllFail": {"s1", "s2", "s3"}}
	for name, failing := range cases {
		t.Run(name, func(t *testing.T) {
			attempts, whole := retryRun(t, nil, failing...)
			free, freeWhole := retryRun(t, func(s *config.Site) { s.Retry.BudgetShare = 1 }, failing...)
			t.Logf("Policy=RetryBudget Failing=%s Attempts=%.3f Whole=%.3f Unbounded.Attempts=%.3f Unbounded.Whole=%.3f",
				name, attempts, whole, free, freeWhole)
			if attempts > mostAttempts {
				t.Errorf("%.3f attempts a request", attempts)
			}
		})
	}
}
