package items

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Submitted jobs of many small items had no bound together.
func TestJobsInMemoryAreBounded(t *testing.T) {
	jobOf := func(id string, items int) wire.Job {
		job := wire.Job{ID: id}
		for i := range items {
			job.Items = append(job.Items, wire.JobItem{ID: fmt.Sprint(i)})
		}
		return job
	}
	const limit = 100 * itemBytes
	var jt jobTable
	jt.prepare()
	jt.add(jobOf("held", 60))
	cases := map[string]struct {
		job  wire.Job
		want kinds.Kind
	}{
		"Fits":       {jobOf("a", 30), ""},
		"OthersHold": {jobOf("a", 60), kinds.MemoryShort},
		"NeverFits":  {jobOf("a", 101), kinds.BodyTooLarge},
		"Repeated":   {jobOf("held", 60), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, jt.admit(&c.job, limit)); diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
		})
	}
	jt.drop("held")
	jt.drop("held")
	if jt.held != 0 {
		t.Errorf("%d bytes are held by no job", jt.held)
	}
}
