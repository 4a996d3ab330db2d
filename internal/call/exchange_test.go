package call

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// TestRequestCutByTheEndOfTheProcess ends the executor before the reducer has answered a request. The kind must be
// OutcomeUnknown if an endpoint may have run the request, Stopping otherwise.
func TestRequestCutByTheEndOfTheProcess(t *testing.T) {
	cases := map[string]struct {
		send bool
		want kinds.Kind
	}{
		"not sent":               {want: kinds.Stopping},
		"sent, no response read": {send: true, want: kinds.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				panic(http.ErrAbortHandler)
			}))
			defer endpoint.Close()
			started := time.Now()
			ctx, end := context.WithCancel(context.Background())
			x := &Executor{Now: func() time.Duration { return time.Since(started) }}
			x.Post = func(ev event.Event) bool {
				switch ev.(type) {
				case event.AttemptConnected:
					x.Do(event.SendAttempt{Request: 1, Attempt: 1, Before: time.Minute})
				case event.AttemptDone:
					end()
				}
				return true
			}
			x.Prepare()
			go func() { _ = x.Run(ctx) }()
			e := &Exchange{Request: 1, Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: []byte("x")}
			x.Open(e)
			if c.send {
				address := strings.TrimPrefix(endpoint.URL, "http://")
				x.Do(event.StartAttempt{Request: 1, Attempt: 1, Address: address, Deadline: time.Minute})
			} else {
				end()
			}
			got := e.Run(context.Background(), x, func() {})
			if diff := cmp.Diff(c.want, got.Kind); diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
		})
	}
}
