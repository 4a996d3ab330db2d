package engin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/internal/wire"
)

func ExampleTokens() {
	fmt.Println(len(engin.Tokens(wire.Generate{Prompt: "one two", MaxTokens: 3, Seed: 7})))
	// Output: 3
}

func startServer(t *testing.T, e *engin.Engine) string {
	t.Helper()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL
}

func postJSON(t *testing.T, url string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func readSegments(resp *http.Response) []wire.Segment {
	var received []wire.Segment
	decoder := json.NewDecoder(resp.Body)
	for {
		var s wire.Segment
		if decoder.Decode(&s) != nil {
			return received
		}
		received = append(received, s)
	}
}

func joinTokens(received []wire.Segment) []string {
	var joined []string
	for _, s := range received {
		joined = append(joined, s.Tokens...)
	}
	return joined
}

func TestResumedAnswerEqualsWhole(t *testing.T) {
	g := wire.Generate{Prompt: "a b c", MaxTokens: 12, Seed: 3}
	complete := joinTokens(readSegments(postJSON(t, startServer(t, &engin.Engine{})+wire.PathGenerate, g)))
	g.Held = complete[:5]
	rest := readSegments(postJSON(t, startServer(t, &engin.Engine{Version: 9})+wire.PathGenerate, g))
	if diff := cmp.Diff(complete[5:], joinTokens(rest)); diff != "" {
		t.Errorf("resumed tokens (-want +got):\n%s", diff)
	}
	last := rest[len(rest)-1]
	want := wire.Segment{Done: true, Version: 9, PromptTokens: 3, GeneratedTokens: 7}
	if diff := cmp.Diff(want, last); diff != "" {
		t.Errorf("last line (-want +got):\n%s", diff)
	}
}

func TestSegmentsNameTheVersionThatMadeThem(t *testing.T) {
	url := startServer(t, &engin.Engine{Version: 1, RequestRate: 200})
	resp := postJSON(t, url+wire.PathGenerate, wire.Generate{Prompt: "p", MaxTokens: 60})
	var first wire.Segment
	decoder := json.NewDecoder(resp.Body)
	if err := decoder.Decode(&first); err != nil {
		t.Fatal(err)
	}
	postJSON(t, url+wire.PathSwap, wire.SwapOrder{OrderID: "o", Version: 2})
	last := first
	for !last.Done {
		if err := decoder.Decode(&last); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]uint64{1, 2}, []uint64{first.Version, last.Version}); diff != "" {
		t.Errorf("first and last version (-want +got):\n%s", diff)
	}
}

func TestFaults(t *testing.T) {
	cases := map[string]struct {
		faults   engin.Faults
		status   int
		notRun   string
		complete bool
	}{
		"None":           {engin.Faults{}, 200, "", true},
		"Refuse":         {engin.Faults{Refuse: 1}, 503, "true", false},
		"FailAfterStart": {engin.Faults{FailAfterStart: 1}, 500, "", false},
		"Cut":            {engin.Faults{Cut: 1, CutSegments: 1}, 200, "", false},
		"EndEarly":       {engin.Faults{EndEarly: 1, CutSegments: 1}, 200, "", false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			e := &engin.Engine{}
			e.SetFaults(test.faults)
			resp := postJSON(t, startServer(t, e)+wire.PathGenerate, wire.Generate{Prompt: "p", MaxTokens: 20})
			received := readSegments(resp)
			complete := len(received) > 0 && received[len(received)-1].Done
			got := []any{resp.StatusCode, resp.Header.Get(wire.HeaderNotRun), complete}
			if diff := cmp.Diff([]any{test.status, test.notRun, test.complete}, got); diff != "" {
				t.Errorf("status, not-run header, complete (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFencing(t *testing.T) {
	cases := map[string]struct {
		checks bool
		want   bool
	}{"Checks": {true, false}, "Ignores": {false, true}}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			url := startServer(t, &engin.Engine{ChecksFencing: test.checks}) + wire.PathSwap
			postJSON(t, url, wire.SwapOrder{OrderID: "new", Fencing: 5, Version: 5})
			var reply wire.SwapReply
			resp := postJSON(t, url, wire.SwapOrder{OrderID: "old", Fencing: 4, Version: 4})
			if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, reply.Accepted); diff != "" {
				t.Errorf("old order accepted (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCachedPromptStartsFaster(t *testing.T) {
	url := startServer(t, &engin.Engine{PrefillRate: 10}) + wire.PathGenerate
	g := wire.Generate{Prompt: "one two three", MaxTokens: 1}
	start := time.Now()
	readSegments(postJSON(t, url, g))
	cold := time.Since(start)
	start = time.Now()
	received := readSegments(postJSON(t, url, g))
	if warm := time.Since(start); warm >= cold {
		t.Errorf("warm start took %v, cold %v", warm, cold)
	}
	if diff := cmp.Diff(3, received[len(received)-1].CachedTokens); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
}
