package call

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/wire"
)

// An endpoint that leaves says so in all its answers. Until the list showed it too, it still got work.
func TestAnswersTellThatAnEndpointLeaves(t *testing.T) {
	names := HeaderNames{Leaving: "Leaving", Expect: "Expect"}
	cases := map[string]struct {
		status int
		values []string
		want   []bool // whether the answer tells of the endpoint, and whether it leaves
	}{
		"one":                      {200, []string{"1"}, []bool{true, true}},
		"true":                     {200, []string{"true"}, []bool{true, true}},
		"with a space":             {200, []string{" 1 "}, []bool{true, true}},
		"refusal":                  {503, []string{"1"}, []bool{true, true}},
		"failure":                  {500, []string{"1"}, []bool{true, true}},
		"not said":                 {200, nil, []bool{true, false}},
		"zero":                     {200, []string{"0"}, []bool{true, false}},
		"another value":            {200, []string{"soon"}, []bool{true, false}},
		"empty":                    {200, []string{""}, []bool{true, false}},
		"twice":                    {200, []string{"1", "1"}, []bool{true, true}},
		"once among others":        {200, []string{"0", "1"}, []bool{true, true}},
		"another endpoint answers": {421, []string{"1"}, []bool{false, false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp := &http.Response{StatusCode: c.status, Header: http.Header{"Leaving": c.values}}
			answered, ok := names.Answered(wire.LeaveMark{Endpoint: "e1", Incarnation: "7"}, time.Second, resp)
			if diff := cmp.Diff(c.want, []bool{ok, answered.Leaving}); diff != "" {
				t.Errorf("tells of the endpoint, and says that it leaves (-want +got):\n%s", diff)
			}
			if ok && (answered.Endpoint != "e1" || answered.Incarnation != "7") {
				t.Errorf("tells of %+v", answered)
			}
		})
	}
}
