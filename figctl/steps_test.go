package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/kinds"
)

// stepsLog has the format of daemons' logs of two training steps, with fictional hosts, ids and times: in j1 one engine
// refuses the closing item and another one is left for a third, in j2 the owner is lost while the item runs.
const stepsLog = `
Time=2026-12-04T01:00:00.100Z Level=info Event=JobKept Daemon=h1 Job=j1 Kind= Items=4 Target=1 TookMS=100
Time=2026-12-04T01:00:00.100Z Level=info Event=ItemSent Daemon=h1 Job=j1 Item=a Attempt=1 Endpoint=e1 From=0 Group=0 Others=3
Time=2026-12-04T01:00:00.100Z Level=info Event=ItemSent Daemon=h1 Job=j1 Item=b Attempt=2 Endpoint=e2 From=0 Group=0 Others=0
Time=2026-12-04T01:00:00.150Z Level=info Event=ItemEnded Daemon=h1 Job=j1 Item=a Attempt=1 Endpoint=e1 Reason=Refused Status=503 Events=0 TookMS=50
Time=2026-12-04T01:00:00.200Z Level=info Event=ItemSent Daemon=h1 Job=j1 Item=a Attempt=3 Endpoint=e3 From=0 Group=0 Others=0
Time=2026-12-04T01:00:00.500Z Level=info Event=ItemSent Daemon=h1 Job=j1 Item=c Attempt=4 Endpoint=e2 From=0 Group=1 Others=0
Time=2026-12-04T01:00:01.000Z Level=info Event=ItemEnded Daemon=h1 Job=j1 Item=b Attempt=2 Endpoint=e2 Reason= Status=200 Events=30 TookMS=900
Time=2026-12-04T01:00:02.200Z Level=info Event=ItemEnded Daemon=h1 Job=j1 Item=a Attempt=3 Endpoint=e3 Reason=Stopped Status=200 Events=40 TookMS=2000
Time=2026-12-04T01:00:02.300Z Level=info Event=ItemSent Daemon=h1 Job=j1 Item=a Attempt=5 Endpoint=e2 From=40 Group=0 Others=1
Time=2026-12-04T01:00:04.300Z Level=info Event=ItemEnded Daemon=h1 Job=j1 Item=a Attempt=5 Endpoint=e2 Reason= Status=200 Events=100 TookMS=2000
Time=2026-12-04T01:00:04.350Z Level=info Event=Listed Daemon=h1 Job=j1 Chunk=0 Items=2 Left=2 Kind=
Time=2026-12-04T01:00:04.600Z Level=info Event=ItemEnded Daemon=h1 Job=j1 Item=c Attempt=4 Endpoint=e2 Reason= Status=200 Events=100 TookMS=4100
Time=2026-12-04T01:00:04.850Z Level=info Event=JobEnd Daemon=h2 Job=j1 Kind=
Time=2026-12-04T01:00:05.000Z Level=info Event=ItemSent Daemon=h1 Job=j2 Item=d Attempt=6 Endpoint=e1 From=0 Group=0 Others=0
Time=2026-12-04T01:00:06.500Z Level=info Event=JobTaken Daemon=h2 Job=j2 Kind= Epoch=1
Time=2026-12-04T01:00:06.600Z Level=info Event=ItemSent Daemon=h2 Job=j2 Item=d Attempt=1 Endpoint=e1 From=20 Group=0 Others=0
Time=2026-12-04T01:00:07.200Z Level=info Event=ItemEnded Daemon=h2 Job=j2 Item=d Attempt=1 Endpoint=e1 Reason= Status=200 Events=40 TookMS=600
`

func TestStepChains(t *testing.T) {
	lines, err := readLines(strings.NewReader(stepsLog))
	if err != nil {
		t.Fatal(err)
	}
	steps := collectSteps(lines)
	const gap = 30 * time.Millisecond
	want := map[string]map[cause]time.Duration{
		"j1": {
			causeStore: 100 * time.Millisecond, causeRefused: 100 * time.Millisecond, causeRun: 3000 * time.Millisecond,
			causeSlow: 1000 * time.Millisecond, causeMoved: 100 * time.Millisecond, causeList: 50 * time.Millisecond, causeRead: 500 * time.Millisecond,
		},
		"j2": {causeRun: 1200 * time.Millisecond, causeTakeover: 1000 * time.Millisecond},
	}
	got := map[string]map[cause]time.Duration{}
	for _, s := range steps {
		got[s.job] = s.chain(s.closing(), gap)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("seconds by cause (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(gap, fastGap(steps)); diff != "" {
		t.Errorf("time between two events of a fast run (-want +got):\n%s", diff)
	}
}

// A group of an earlier job comes again. The caller waits for it although as many others as the target are whole.
func TestClosingItemOfAGroupThatComesAgain(t *testing.T) {
	const format = `Time=2026-12-04T01:00:%s.000Z Level=info Event=%s Daemon=h1 Job=%s Item=%s Endpoint=e1 Group=%d Target=1 Events=9 From=0 Reason=` + "\n"
	var log strings.Builder
	for _, l := range []struct {
		at, event, job, item string
		group                int
	}{
		{"01", "JobKept", "j1", "", 0},
		{"01", "ItemSent", "j1", "a", 0},
		{"01", "ItemSent", "j1", "b", 1},
		{"02", "ItemEnded", "j1", "b", 1},
		{"03", "JobKept", "j2", "", 0},
		{"03", "ItemSent", "j2", "a", 0},
		{"03", "ItemSent", "j2", "c", 1},
		{"04", "ItemEnded", "j2", "c", 1},
		{"05", "ItemEnded", "j2", "a", 0},
	} {
		fmt.Fprintf(&log, format, l.at, l.event, l.job, l.item, l.group)
	}
	lines, err := readLines(strings.NewReader(log.String()))
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, s := range collectSteps(lines) {
		got[s.job] = s.closing().id
	}
	if diff := cmp.Diff(map[string]string{"j1": "b", "j2": "a"}, got); diff != "" {
		t.Errorf("closing items (-want +got):\n%s", diff)
	}
}

func TestExplainSteps(t *testing.T) {
	cases := map[string]struct {
		flags explainFlags
		log   string
		kind  kinds.Kind
		shows []string
	}{
		"steps": {explainFlags{steps: true}, stepsLog, "", []string{
			"Job  At    Engines  Half", "j1   0.00  3        4.30",
			"j1 closed by a\n  +0.10 on e1 for 0.05, events 0 to 0, others 3, ended Refused\n", "2 of 2 jobs closed; 30ms between",
		}},
		"no step in the log":  {explainFlags{steps: true}, sampleLog, kinds.NotFound, nil},
		"an id besides steps": {explainFlags{steps: true, id: "j1"}, stepsLog, kinds.BadRequest, nil},
		"neither":             {explainFlags{}, stepsLog, kinds.BadRequest, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := c.flags.run(output{out: &out, err: &out}, strings.NewReader(c.log))
			if diff := cmp.Diff(c.kind, kinds.KindOf(err)); diff != "" {
				t.Fatalf("kind of the error (-want +got):\n%s", diff)
			}
			for _, want := range c.shows {
				if !strings.Contains(out.String(), want) {
					t.Errorf("output lacks %q:\n%s", want, out.String())
				}
			}
		})
	}
}
