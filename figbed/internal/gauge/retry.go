package gauge

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
	retryDuration = 3 * time.Second
	retryRate     = 200.0 // requests per second
)

// MeasureRetries measures calls while the services named by failing have faults. It returns the mean number of attempts
// per request and the fraction of the requests that got a complete response.
func MeasureRetries(t testing.TB, site func(s *config.Site), faults servc.Faults, failing ...string) (attempts, complete float64) {
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
		c.Endpoints[name].SetServiceFaults(faults)
	}
	plan := loadr.Plan{Duration: retryDuration, Seed: 1, Targets: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}}
	plan.Sources = []loadr.Source{{Organisation: "North", Key: c.Key("North"), Path: "/lookup", Rate: retryRate}}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	received := 0
	for _, name := range []string{"s1", "s2", "s3"} {
		for _, request := range c.Endpoints[name].Received().Requests {
			if request.Path == "/lookup" {
				received++
			}
		}
	}
	r := report.Results[0]
	t.Log(r)
	return float64(received) / float64(r.Sent), float64(r.Whole) / float64(r.Sent)
}
