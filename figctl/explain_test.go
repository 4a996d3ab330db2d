package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/kinds"
)

// sampleLog has the format of daemons' logs of a simulated day, with fictional hosts, ids and times.
const sampleLog = `
   4.1 host-b Time=2026-12-04T01:00:04.100Z Level=info Event=StoreWay Daemon=host-b Own=false Kind=StoreUnavailable
Time=2026-12-04T01:00:05.000Z Level=info Event=RequestSent Daemon=host-a Request=r1 AgeMS=0 Endpoint=e1 Try=1
Time=2026-12-04T01:00:05.700Z Level=info Event=RequestSent Daemon=host-a Request=r1 AgeMS=700 Endpoint=e2 Try=2
Time=2026-12-04T01:00:05.650Z Level=info Event=RequestRetried Daemon=host-a Request=r1 AgeMS=650 Endpoint=e1 Reason=Broken Status=0
Time=2026-12-04T01:00:05.730Z Level=info Event=RequestDone Daemon=host-a Request=r1 AgeMS=730 Kind= Endpoint=e2
Time=2026-12-04T01:00:06.000Z Level=info Event=JobRefused Daemon=host-b Job=j1 Kind=StoreRefused RetryMS=100
Time=2026-12-04T01:00:07.000Z Level=info Event=ScoreFailed Daemon=host-b Job=j2 Item=i7 Attempt=3 Kind=NoEndpoint Status=0
Time=2026-12-04T01:00:07.500Z Level=info Event=ItemDown Daemon=host-b Job=j2 Item=i7 Attempt=3 Reason=Late
not a line
`

func TestExplain(t *testing.T) {
	cases := map[string]struct {
		id      string
		summary string
		kind    kinds.Kind
		shows   []string
	}{
		"late lookup": {
			id:      "r1",
			summary: "story: r1 ended 0.730 s after its first line with RequestDone; before it: RequestRetried Broken at e1 1 times",
			shows:   []string{"  +0.650s host-a RequestRetried Request=r1 AgeMS=650 Endpoint=e1 Reason=Broken Status=0\n    +0.700s host-a RequestSent"},
		},
		"refused job": {
			id:      "j1",
			summary: "story: j1 ended 0.000 s after its first line with JobRefused (StoreRefused); before it: JobRefused StoreRefused 1 times",
			shows:   []string{"meanwhile:\n    -1.900s host-b StoreWay Own=false Kind=StoreUnavailable\n"},
		},
		"missing score": {
			id:      "i7",
			summary: "story: i7 ended 0.500 s after its first line with ItemDown; before it: ScoreFailed NoEndpoint 1 times, ItemDown Late 1 times",
		},
		"unknown": {id: "r9", kind: kinds.NotFound},
		"no id":   {id: "", kind: kinds.BadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			f := explainFlags{id: c.id}
			err := f.printTimeline(&out, strings.NewReader(sampleLog))
			if got := kinds.KindOf(err); got != c.kind {
				t.Fatalf("error %v, want kind %q", err, c.kind)
			}
			if err != nil {
				return
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			if diff := cmp.Diff(c.summary, lines[len(lines)-1]); diff != "" {
				t.Errorf("last line (-want +got):\n%s", diff)
			}
			for _, want := range c.shows {
				if !strings.Contains(out.String(), want) {
					t.Errorf("output lacks %q:\n%s", want, out.String())
				}
			}
		})
	}
}
