package items

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
)

// eventsFrom is an engine that sends two events after the last one that the request names.
type eventsFrom struct{ asked []string }

func (e *eventsFrom) RoundTrip(r *http.Request) (*http.Response, error) {
	last := r.Header.Get("Last-Event-Id")
	e.asked = append(e.asked, last)
	body := map[string]string{"": "id: 1\ndata: p\n\nid: 2\ndata: q\n\n", "1": "id: 2\ndata: q\n\n"}[last]
	header := http.Header{"Content-Type": {eventStreamType}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// A text that engines of one software version had begun went on at an engine of another one, when the host held another
// text than its reducer knew.
func TestRunDropsATextOfAnotherSoftware(t *testing.T) {
	cases := map[string]struct{ held, engine, asked, text string }{
		"Same":           {"v1", "v1", "1", "a\nq"},
		"Other":          {"v1", "v2", "", "p\nq"},
		"CopyWithout":    {"", "v2", "", "p\nq"},
		"NobodyHasOne":   {"", "", "1", "a\nq"},
		"EngineOfNoneIs": {"v1", "", "", "p\nq"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, _ := newExecutor(t)
			engine := &eventsFrom{}
			x.HTTP, x.Names.LastEvent = engine, "Last-Event-Id"
			x.jobTable.add(testJob())
			text := x.jobTable.get("j1").texts[0]
			text.add("1", []byte("a"), 4, c.held)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := x.run(ctx, cancel, event.RunItem{Job: "j1", Item: 0, Attempt: 1, Endpoint: "e", Software: c.engine, Silence: time.Second, Deadline: time.Hour})
			if diff := cmp.Diff([]string{c.asked}, engine.asked); diff != "" {
				t.Errorf("last event asked (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.text, string(text.text.data)); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.engine, done.Software); diff != "" {
				t.Errorf("software version of the text (-want +got):\n%s", diff)
			}
		})
	}
}

// A copy that came later was joined to a text that another software version had begun, and copies did not tell theirs.
func TestCopiesTellTheirSoftware(t *testing.T) {
	text := &itemText{}
	for _, part := range []struct {
		copy textCopy
		fits bool
	}{
		{textCopy{Events: 1, Last: "1", Software: "v1", Data: []byte("a")}, true},
		{textCopy{From: 1, Events: 2, Last: "2", Software: "v2", Data: []byte("\nb")}, false},
		{textCopy{From: 1, Events: 2, Last: "2", Software: "v1", Data: []byte("\nc")}, true},
	} {
		if got := text.appendPart(part.copy); got != part.fits {
			t.Errorf("part from %d of %s: taken: %v, want %v", part.copy.From, part.copy.Software, got, part.fits)
		}
	}
	j := &jobState{texts: []*itemText{text}}
	if diff := cmp.Diff([]event.ItemHeld{{Events: 2, Software: "v1"}}, j.heldItems()); diff != "" {
		t.Error(diff)
	}
	sent, _ := text.since(0, &copyProgress{})
	if diff := cmp.Diff("v1", sent.Software); diff != "" {
		t.Errorf("a copy's version (-want +got):\n%s", diff)
	}
	if stored, ok := text.longPart(0, time.Now()); !ok || stored.Software != "v1" {
		t.Errorf("the stored text's version is %q", stored.Software)
	}
}
