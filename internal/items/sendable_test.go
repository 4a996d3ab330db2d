package items

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// A job of items that no request can hold was accepted: its runs counted as failures of healthy engines, or ended and began again
// without a pause until its deadline.
func TestItemsThatCannotBeSentAreRefused(t *testing.T) {
	cases := map[string]struct {
		item wire.JobItem
		want kinds.Kind
	}{
		"sound":                          {wire.JobItem{ID: "i", Path: "/p|q", Headers: map[string]string{"X-A": "a\tb", "Y": ""}, Reward: &wire.JobReward{ID: "s", Path: "/s"}}, ""},
		"path with a blank":              {wire.JobItem{ID: "i", Path: "/p q"}, kinds.BadRequest},
		"path of two lines":              {wire.JobItem{ID: "i", Path: "/p HTTP/1.1\r\nX: y"}, kinds.BadRequest},
		"path with a malformed escape":   {wire.JobItem{ID: "i", Path: "/%zz"}, kinds.BadRequest},
		"id of two lines":                {wire.JobItem{ID: "i\r\nX: y", Path: "/p"}, kinds.BadRequest},
		"id with a blank at its end":     {wire.JobItem{ID: "i ", Path: "/p"}, kinds.BadRequest},
		"field with a blank in its name": {wire.JobItem{ID: "i", Path: "/p", Headers: map[string]string{"X y": "a"}}, kinds.BadRequest},
		"field without a name":           {wire.JobItem{ID: "i", Path: "/p", Headers: map[string]string{"": "a"}}, kinds.BadRequest},
		"field of two lines":             {wire.JobItem{ID: "i", Path: "/p", Headers: map[string]string{"X": "a\r\nY: b"}}, kinds.BadRequest},
		"score call without a path":      {wire.JobItem{ID: "i", Path: "/p", Reward: &wire.JobReward{ID: "s"}}, kinds.BadRequest},
		"score call's id of two lines":   {wire.JobItem{ID: "i", Path: "/p", Reward: &wire.JobReward{ID: "s\n", Path: "/s"}}, kinds.BadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, _ := newExecutor(t)
			submitted, _ := fakeReducer(x, "", "")
			x.Decode = func(JobCall, []byte, int64, func([]byte) error) (wire.Job, error) {
				return wire.Job{ID: "j9", Items: []wire.JobItem{c.item}}, nil
			}
			answer := x.SubmitLocal(context.Background(), JobCall{Job: "j9"}, nil)
			if accepted := len(*submitted) > 0; answer.Kind != c.want || accepted != (c.want == "") {
				t.Errorf("kind %q, accepted %v; want %q", answer.Kind, accepted, c.want)
			}
		})
	}
}

// An older build may have accepted such a job: an item of it must not count as a failure of its engine.
func TestItemThatCannotBeSentIsNoFailureOfItsEngine(t *testing.T) {
	address, connections := lateEngine(t, "")
	for name, value := range map[string]string{"X": "a\r\nY: b", "X y": "a"} {
		x, _ := foreignExecutor()
		j := foreignJob()
		j.job.Items[0].Headers = map[string]string{name: value}
		_, reason := x.runRequest(context.Background(), j, event.RunItem{Address: address}, j.texts[0], "", func() {})
		if reason != event.ReasonBodyMissing || connections.Load() != 0 {
			t.Errorf("%q: reason %q after %d connections, want %q after none", name, reason, connections.Load(), event.ReasonBodyMissing)
		}
	}
}

// Fields of an item must neither end its connection nor say where its text goes on.
func TestFieldsOfAnItem(t *testing.T) {
	x, _ := foreignExecutor()
	x.Names.Organisation, x.Names.Deadline, x.Names.LastEvent, x.Names.RequiredVersion = "Organisation", "Deadline", "Last-Event-Id", "Expect-Version"
	j := foreignJob()
	j.job.Organisation = "North"
	j.job.Items[0].Headers = map[string]string{
		"model": "m", "Connection": "close, X-Hop", "X-Hop": "h", "Expect": "100-continue", "Content-Length": "9", "Transfer-Encoding": "chunked",
		"Last-Event-Id": "3", "Expect-Version": "4", "Organisation": "South", "Request": "other", "Deadline": "1",
	}
	req, err := x.newRequest(context.Background(), j, event.RunItem{Address: "e", Deadline: 2 * time.Second}, "")
	if err != nil {
		t.Fatal(err)
	}
	want := http.Header{"Model": {"m"}, "Request": {"item-0"}, "Organisation": {"North"}, "Deadline": {"2000"}, "User-Agent": {""}}
	if diff := cmp.Diff(want, req.Header); diff != "" {
		t.Errorf("fields (-want +got):\n%s", diff)
	}
}
