package items

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
)

// Items past their deadline were sent to engines with a deadline of a millisecond.
func TestRunWithoutTimeIsNotSent(t *testing.T) {
	cases := map[string]struct {
		left time.Duration
		want string // reason
		sent bool
	}{
		"time is left":         {time.Minute, event.ReasonBroken, true},
		"the deadline is now":  {0, event.ReasonStopped, false},
		"the deadline is over": {-time.Second, event.ReasonStopped, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, _ := newExecutor(t)
			sent := false
			x.HTTP = roundTripper(func(*http.Request) (*http.Response, error) {
				sent = true
				return nil, http.ErrHandlerTimeout
			})
			ended := make(chan event.ItemEnded, 1)
			x.Post = func(ev event.Event) bool { ended <- ev.(event.ItemEnded); return true }
			x.jobTable.add(testJob())
			x.jobTable.get("j1").texts[0].add("1", []byte("a"), 1, "")
			x.startRun(event.RunItem{Job: "j1", Attempt: 1, Address: "e1", Silence: time.Minute, Deadline: x.Now() + c.left})
			e := <-ended
			if diff := cmp.Diff([]any{c.want, c.sent, 1}, []any{e.Reason, sent, e.Events}); diff != "" {
				t.Errorf("reason, sent, events held (-want +got):\n%s", diff)
			}
		})
	}
}
