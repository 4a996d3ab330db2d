package items

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// An endpoint stopped within its answer to a scoring call, or sent one without end. The item got the score of an answer that was
// not whole, or none of an answer that was.
func TestScoreOfAnAnswerThatStopsAnywhere(t *testing.T) {
	const head = " 200 OK\r\nStamp: score\r\n"
	answers := map[string]string{
		"length":        "HTTP/1.1" + head + "Content-Length: 5\r\n\r\nwhole",
		"chunked":       "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\nX: 1\r\n\r\n",
		"unframed":      "HTTP/1.1" + head + "\r\nwhole",
		"unframed, 1.0": "HTTP/1.0" + head + "\r\nwhole",
		"empty":         "HTTP/1.1" + head + "Content-Length: 0\r\n\r\n",
	}
	for framing, whole := range answers {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			engine := newStoppingEngine(t)
			for n := range len(whole) + 1 {
				engine.answer.Store(whole[:n])
				scored, score := scoreAt(engine.address)
				ends := n == len(whole) || strings.HasPrefix(framing, "unframed") && strings.Contains(whole[:n], "\r\n\r\n")
				if got := scored.Kind == "" && score == "score"; got != ends || !ends && score != "" {
					t.Errorf("stopped after %q: %+v, score %q", whole[:n], scored, score)
				}
			}
		})
	}
}

// Bytes without end in the answer to a scoring call kept the call for longer than its time, or filled the memory.
func TestEndlessAnswerToAScoringCall(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: score\r\n"
	more := strings.Repeat("m", 1000)
	for name, answer := range map[string][2]string{
		"head":    {head, "X-More: " + more + "\r\n"},
		"body":    {head + "\r\n", more},
		"chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(more), more)},
		"trailer": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + more + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			if scored, score := scoreAt(endlessEngine(t, answer[0], answer[1])); scored.Kind == "" || score != "" {
				t.Errorf("an answer without end was whole: %+v, score %q", scored, score)
			}
			if took := time.Since(started); took > 5*time.Second {
				t.Errorf("the call took %v", took)
			}
		})
	}
}

// scoreAt has an item's text scored at an address, with one attempt.
func scoreAt(address string) (scored event.ItemScored, score string) {
	started, done := time.Now(), make(chan event.ItemScored, 1)
	now := func() time.Duration { return time.Since(started) }
	calls := &call.Executor{Now: now, Names: call.HeaderNames{Request: "Request", Stamp: "Stamp"}}
	x := &Executor{Calls: calls, Now: now, Names: HeaderNames{HeaderNames: calls.Names}}
	post := func(ev event.Event) bool {
		switch e := ev.(type) {
		case event.RequestArrived:
			calls.Do(event.StartAttempt{Request: e.Request, Attempt: 1, Address: address, Deadline: e.Deadline, Idempotent: true, PassErrors: true})
		case event.AttemptConnected:
			calls.Do(event.SendAttempt{Request: e.Request, Attempt: e.Attempt, Before: time.Hour})
		case event.AttemptDone:
			kind := kinds.StreamCut
			if e.Whole {
				kind = ""
			}
			calls.Do(event.AnswerRequest{Request: e.Request, Kind: kind})
		case event.ItemScored:
			done <- e
		}
		return true
	}
	x.Post, calls.Post = post, post
	calls.Prepare()
	x.jobTable.prepare()
	j := &jobState{job: wire.Job{ID: "j", Items: []wire.JobItem{{ID: "i", Reward: &wire.JobReward{ID: "r", Path: "/score"}}}}, texts: []*itemText{{}}}
	x.jobTable.jobs["j"] = j
	x.score(event.ScoreItem{Job: "j", Deadline: time.Second})
	return <-done, j.texts[0].score
}
