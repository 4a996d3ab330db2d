package items

import (
	"context"
	"net/http"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// scoreTokens is the estimated cost of a call that scores a text, in tokens.
const scoreTokens = 50

// score sends the call that scores an item's text as a request of figshift's own, and posts ItemScored.
func (x *Executor) score(e event.ScoreItem) {
	j := x.jobTable.withItem(e.Job, e.Item)
	if j == nil || j.job.Items[e.Item].Reward == nil {
		x.Post(event.ItemScored{Job: e.Job, Item: e.Item, Kind: kinds.NotFound})
		return
	}
	reward := j.job.Items[e.Item].Reward
	x.mu.Lock()
	x.lastScoreRequest++
	request := x.lastScoreRequest
	x.mu.Unlock()
	sink := &scoreSink{stamp: x.Names.Stamp}
	exchange := &call.Exchange{
		Request: request, ID: reward.ID, Host: reward.Host, Method: http.MethodPost, Target: reward.Path,
		Header: http.Header{}, Body: reward.Body, Sink: sink,
	}
	x.Calls.Open(exchange)
	defer x.Calls.Close(exchange)
	x.Post(event.RequestArrived{
		Request: request, ID: reward.ID, Host: reward.Host, Path: reward.Path, Method: http.MethodPost,
		Tokens: scoreTokens, Deadline: e.Deadline, Own: true,
	})
	answer := exchange.Run(context.Background(), x.Calls, func() {})
	done := event.ItemScored{Job: e.Job, Item: e.Item, Kind: answer.Kind, Status: sink.status, Failures: exchange.Failures()}
	if done.Kind == "" && sink.status/100 == 2 {
		t := j.texts[e.Item]
		t.mu.Lock()
		t.score = sink.score
		t.mu.Unlock()
	}
	x.Post(done)
}

// scoreSink receives the answer of a call that scores a text.
type scoreSink struct {
	stamp  string // name of the header field that holds the score
	status int
	score  string
	bytes  int // of the body so far
}

// maxScoreBytes is the longest body of a score call's answer, which is discarded.
const maxScoreBytes = 1 << 20

// Head records the status and the score.
func (s *scoreSink) Head(status int, header http.Header) error {
	s.status, s.score = status, header.Get(s.stamp)
	return nil
}

// Body discards the answer's body. It returns an error for one that is too long to be an answer.
func (s *scoreSink) Body(p []byte) error {
	if s.bytes += len(p); s.bytes > maxScoreBytes {
		return kinds.New(kinds.EndpointRefused, "the answer to the scoring call exceeds %d bytes", maxScoreBytes)
	}
	return nil
}

// Trailer discards the answer's trailer.
func (s *scoreSink) Trailer(http.Header) {}

// Segment returns an error, since a call that scores a text must not be answered by a generation.
func (s *scoreSink) Segment(wire.Segment) error {
	return kinds.New(kinds.EndpointRefused, "the scoring call was answered with a generation")
}

// Interrupt does nothing, since no method of the sink blocks.
func (s *scoreSink) Interrupt() {}
