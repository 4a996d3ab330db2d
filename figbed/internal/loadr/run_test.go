package loadr_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/internal/wire"
)

func TestRunCountsOutcomes(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Figshift-Kind", "QueueFull")
		w.WriteHeader(http.StatusTooManyRequests)
	}
	cases := map[string]struct {
		handler   http.Handler
		maxTokens int
		want      func(r loadr.Result) bool
	}{
		"Whole":   {&engin.Engine{}, 8, func(r loadr.Result) bool { return r.Whole == r.Sent && r.CachedTokens > 0 && r.P99 > 0 }},
		"Refused": {http.HandlerFunc(refuse), 0, func(r loadr.Result) bool { return r.Refused["QueueFull"] == r.Sent && r.NoRetryAfter == r.Sent }},
		"Cut": {http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), 8, func(r loadr.Result) bool {
			return r.Unknown == r.Sent
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			plan := loadr.Plan{
				Targets:  []string{server.URL},
				Duration: 500 * time.Millisecond,
				Sources:  []loadr.Source{{Organisation: "North", Path: wire.PathGenerate, Rate: 100, MaxTokens: test.maxTokens, Prefixes: 2}},
			}
			report, err := loadr.Run(context.Background(), plan)
			if err != nil {
				t.Fatal(err)
			}
			if r := report.ResultOf("North"); r.Sent == 0 || !test.want(r) {
				t.Errorf("unexpected result: %v", r)
			}
		})
	}
}

func TestRunIsBounded(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	time.AfterFunc(time.Second, func() { close(release) })
	plan := loadr.Plan{
		Targets: []string{server.URL}, Duration: 500 * time.Millisecond, MaxOutstanding: 3, MaxRequests: 10,
		Sources: []loadr.Source{{Name: "calls", Path: "/", Rate: 200}},
	}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	r := report.ResultOf("calls")
	if diff := cmp.Diff([]int{3, 7}, []int{r.Sent, r.Dropped}); diff != "" {
		t.Errorf("sent and dropped (-want +got):\n%s", diff)
	}
}
