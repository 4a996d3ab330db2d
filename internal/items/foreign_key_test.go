package items

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// A job must not be ended by the key of another organisation, which must not learn either that the job exists.
func TestForeignKeyEndsNoJob(t *testing.T) {
	cases := map[string]struct {
		job, organisation string
		inMemory          bool
		want              []any // kind of the answer, and whether the end was asked of the reducer
	}{
		"own job":                   {"j1", "North", false, []any{kinds.Kind(""), true}},
		"own job in memory":         {"j1", "North", true, []any{kinds.Kind(""), true}},
		"another's job":             {"j1", "South", false, []any{kinds.NotFound, false}},
		"another's job in memory":   {"j1", "South", true, []any{kinds.NotFound, false}},
		"job that may not exist":    {"j9", "South", false, []any{kinds.NotFound, true}},
		"own job that is submitted": {"j9", "North", false, []any{kinds.NotFound, true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, _ := newExecutor(t)
			if c.inMemory {
				x.jobTable.add(testJob())
			}
			asked := false
			x.Post = func(ev event.Event) bool {
				call := ev.(event.JobCalled)
				answer := event.JobAnswer{Seq: call.Seq, Organisation: c.organisation}
				if call.Call == event.JobEnd {
					asked = true
					_, err := x.get(context.Background(), wire.PrefixJobs+call.Job)
					answer.Kind = kinds.KindOf(err)
				}
				x.deliverAnswer(answer)
				return true
			}
			got := x.End(context.Background(), JobCall{Job: c.job})
			if diff := cmp.Diff(c.want, []any{got.Kind, asked}); diff != "" {
				t.Errorf("kind of the answer, and whether the end was asked (-want +got):\n%s", diff)
			}
		})
	}
}
