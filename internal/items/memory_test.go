package items

import (
	"context"
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
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

// A job that fits into an object of the store must not be refused for its size.
func TestStoredSizeIsNotOverstated(t *testing.T) {
	cases := map[string]wire.Job{
		"empty": {ID: "j", Items: []wire.JobItem{{ID: "a"}}},
		"small": {ID: "j", Items: []wire.JobItem{{ID: "a", Path: "/p", Headers: map[string]string{"n": "v"}, Body: []byte("body"), Group: "g", Reward: &wire.JobReward{ID: "r", Host: "h", Path: "/s", Body: []byte("s")}}}},
		"large": {ID: "j", Items: []wire.JobItem{{ID: "a", Path: "/p", Body: make([]byte, 800_000)}}},
	}
	for name, job := range cases {
		t.Run(name, func(t *testing.T) {
			value, err := encode(job)
			if err != nil {
				t.Fatal(err)
			}
			if stored := int64(base64.StdEncoding.EncodedLen(len(value))); storedBytes(&job) > stored {
				t.Errorf("%d bytes are expected, the object has %d", storedBytes(&job), stored)
			}
		})
	}
}

// A job that no object of the store can hold was sent to it again and again, and its outcome was unknown.
func TestJobOverTheStoresLimitIsRefused(t *testing.T) {
	x := &Executor{
		Now: func() time.Duration { return 0 }, MaxStoredBytes: 1 << 20,
		Decode: func(c JobCall, _ []byte, _ int64, _ func([]byte) error) (wire.Job, error) {
			return wire.Job{ID: c.Job, Items: []wire.JobItem{{ID: "a", Body: make([]byte, 1<<20)}}}, nil
		},
	}
	if diff := cmp.Diff(event.JobAnswer{Kind: kinds.BodyTooLarge}, x.SubmitLocal(context.Background(), JobCall{Job: "j"}, nil)); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
