package flow

import (
	"testing"
	"time"
)

// The rule on requests that crash endpoints: later than crashGrace after such a request has crashed the third endpoint, it
// reaches endpoints in at most crashRetries more runs.
const (
	crashGrace   = 3 * time.Second
	crashRetries = 3
)

var crashFleetCases = map[string]crashFleetCase{
	"harmful request":                         {hosts: 8, endpoints: 7, harmful: true},
	"harmful request, few endpoints":          {hosts: 7, endpoints: 4, harmful: true},
	"harmful request, many hosts":             {hosts: 30, endpoints: 20, harmful: true},
	"harmful request, a third of news lost":   {hosts: 8, endpoints: 7, harmful: true, lostNews: 0.33},
	"harmful request, hosts restart":          {hosts: 8, endpoints: 7, harmful: true, restart: true},
	"harmful request, answers lost":           {hosts: 8, endpoints: 7, harmful: true, lostAnswers: 0.03},
	"harmful request, endpoints also crash":   {hosts: 8, endpoints: 7, harmful: true, crashTogether: true},
	"no harmful request, endpoints crash":     {hosts: 8, endpoints: 8, crashTogether: true},
	"no harmful request, answers lost":        {hosts: 8, endpoints: 7, lostAnswers: 0.1},
	"no harmful request, many answers lost":   {hosts: 8, endpoints: 7, lostAnswers: 0.3},
	"no harmful request, both, hosts restart": {hosts: 8, endpoints: 7, lostAnswers: 0.1, crashTogether: true, restart: true},
}

// A request that crashes endpoints was sent on by each host to which it came. Requests that ran beside it must not be given
// up with it, and those whose answers were lost only until something is heard from the endpoints that lost them.
func TestHarmfulRequestIsGivenUpByAllHosts(t *testing.T) {
	for name, c := range crashFleetCases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(15) {
				f := c.simulate(seed)
				if n := f.runsAfterThird(); n > crashRetries {
					t.Errorf("seed %d: the harmful request ran %d times later than %v after the third of %d crashes, at most %d are allowed", seed, n, crashGrace, len(f.crashes), crashRetries)
				}
				if n := len(f.givenUp); n > 0 && c.lostAnswers == 0 {
					t.Errorf("seed %d: %d innocent requests were given up; outcomes %v", seed, n, f.innocent)
				}
				if still := f.stillGivenUp(); len(still) > 0 {
					t.Errorf("seed %d: innocent requests are given up although the endpoints live: %v", seed, still)
				}
				if failed := f.late; failed[""] == 0 || !c.restart && c.lostAnswers == 0 && len(failed) > 1 {
					t.Errorf("seed %d: outcomes of the innocent requests at the end: %v", seed, failed)
				}
			}
			if !c.harmful {
				return
			}
			c.baseline = true
			if n := c.simulate(1).runsAfterThird(); n <= crashRetries {
				t.Errorf("without the policy the request runs %d times, which is allowed: the case shows nothing", n)
			}
		})
	}
}
