package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

const (
	// endedJobGroups makes jobs that would run for longer than cancelLimit.
	endedJobGroups = 80
	endInterval    = 1500 * time.Millisecond // pause between two such jobs
	maxEndDelayMS  = 400                     // from a job's acceptance to its end
	// cancelLimit is the time from the acknowledgement of a job's end to the last item of it that a server begins.
	cancelLimit = 3 * time.Second
)

// ender submits long jobs, one at a time, to random hosts and ends them at random hosts.
type ender struct{ trainer }

func (e *ender) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", e.name, n)
		if e.submit(ctx, id) {
			sleep(ctx, time.Duration(e.random.IntN(maxEndDelayMS))*time.Millisecond)
			e.end(id)
		}
		sleep(ctx, endInterval)
	}
}

// end ends a job at random hosts until one acknowledges the end, also after the load has ended.
func (e *ender) end(id string) {
	e.update(id, func(j *Job) { j.Ending = time.Now() })
	for deadline := time.Now().Add(jobTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		status, _, _ := send(e.client, e.runner.testbed.platform.ClientAddress(e.randomHost()), http.MethodDelete, "/api/lots/"+id, "end-"+id, estate.Key, nil)
		if status == http.StatusOK {
			e.update(id, func(j *Job) { j.Ended = time.Now() })
			return
		}
	}
}

func (e *ender) update(id string, fn func(j *Job)) {
	e.runner.recorder.update(func(h *History) {
		for i := range h.Jobs {
			if h.Jobs[i].ID == id {
				fn(&h.Jobs[i])
			}
		}
	})
}

// checkEnds checks that no item of a job begins at a server long after the job's end was acknowledged.
func checkEnds(h *History, runs map[string][]Run) (violations []string) {
	for _, j := range h.Jobs {
		if j.Ended.IsZero() {
			continue
		}
		for _, item := range j.Items {
			for _, r := range runs[item] {
				if r.At.After(j.Ended.Add(cancelLimit)) && h.undisturbed(j.Ended, r.At, disruptionRecovery) {
					violations = append(violations, fmt.Sprintf("UNASKED: item %s began at %s %.1f s after the end of its job was acknowledged", item, r.Server, r.At.Sub(j.Ended).Seconds()))
				}
			}
		}
	}
	return violations
}
