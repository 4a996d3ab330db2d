package items

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/relay"
)

const (
	// PathSubmit is the path at which a host receives the submissions that other hosts forward.
	PathSubmit = "/submit"
	// acceptTimeout is the time in which the other host must have read a submission and sent its response header, which
	// takes milliseconds.
	acceptTimeout = 500 * time.Millisecond
	// answerTimeout is the time for the whole response, which waits for the store.
	answerTimeout = 4 * time.Second
	// forwardOverhead is what a forwarded submission may have beyond the caller's, in bytes.
	forwardOverhead = 16 << 10
	// maxForwards is the number of hosts that a submission is forwarded to before this host takes it. Each host that is
	// gone costs acceptTimeout, and callers wait only some seconds.
	maxForwards = 2
)

// forwardedSubmission is a submission as it is forwarded to another host: with the hash of the caller's key, without the
// key.
type forwardedSubmission struct {
	Call JobCall
	Body []byte
}

// SubmitRouted forwards a caller's submission to the host that should run it and, when that one does not take it, to
// the next. This host takes the submission when it should run the job itself or when neither of the two took it.
// Several hosts may then have the submission; the store lets only one of them run the job. When the caller leaves while
// another host waits for the store, that host continues, and the caller's next submission of the job is forwarded to it
// too. The answer's kind is "" once the job is stored. No kind claims that nothing runs while another host may have
// taken the job. SubmitRouted may be called concurrently.
func (x *Executor) SubmitRouted(ctx context.Context, c JobCall, body []byte) event.JobAnswer {
	mayRun := false
	claim := gate.From(ctx).Claim()
	for range maxForwards {
		placement := x.callReducer(ctx, event.JobCalled{Call: event.JobPlace, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: c.Job}, nil)
		if placement.Kind != "" {
			return withoutFalseNotRun(placement, mayRun)
		}
		if placement.Host == "" {
			break
		}
		if err := claim.Grow(budget.Bodies, int64(len(body))); err != nil { // for the copy that is sent
			return withoutFalseNotRun(refusal(err), mayRun)
		}
		start := x.Now()
		answer, sent, err := x.Peers.Submit(ctx, placement.Host, c, body)
		claim.Shrink(budget.Bodies, int64(len(body)))
		if err != nil && ctx.Err() != nil {
			return event.JobAnswer{Kind: kinds.OutcomeUnknown} // the caller has left; the other host carries on
		}
		x.Post(event.JobPlaced{Job: c.Job, Host: placement.Host, Answered: err == nil, Kind: answer.Kind, Took: x.Now() - start})
		if err == nil && answer.Kind != kinds.Stopping && answer.Kind != kinds.NotReady {
			return withoutFalseNotRun(answer, mayRun)
		}
		mayRun = mayRun || err != nil && sent
	}
	return withoutFalseNotRun(x.SubmitLocal(ctx, c, body), mayRun)
}

// refusal returns the answer to a submission that got no memory, or whose job can't be decoded or run.
func refusal(err error) event.JobAnswer {
	kind := kinds.KindOf(err)
	return event.JobAnswer{Kind: kind, RetryAfter: gate.RetryAfter(kind)}
}

// withoutFalseNotRun replaces an answer that says that nothing runs by OutcomeUnknown when a host that did not answer
// may run the job.
func withoutFalseNotRun(answer event.JobAnswer, mayRun bool) event.JobAnswer {
	if mayRun && answer.Kind != "" && kinds.AnswerFor(answer.Kind).Run == kinds.NotRun {
		return event.JobAnswer{Kind: kinds.OutcomeUnknown}
	}
	return answer
}

// SubmitLocal accepts a submission to be run by this host. The answer's kind is "" once the job is stored. It may be
// called concurrently.
func (x *Executor) SubmitLocal(ctx context.Context, c JobCall, body []byte) event.JobAnswer {
	claim := gate.From(ctx).Claim()
	hold := func(item []byte) error { return claim.Grow(budget.Jobs, itemCost(item)) }
	job, err := x.Decode(c, body, x.UnixMS(), hold)
	if err != nil {
		return refusal(err)
	}
	if x.MaxStoredBytes > 0 && storedBytes(&job) > x.MaxStoredBytes {
		return event.JobAnswer{Kind: kinds.BodyTooLarge}
	}
	if err := checkSendable(&job); err != nil {
		return refusal(err)
	}
	if kind := x.jobTable.admit(&job, x.MaxJobBytes); kind != "" {
		return event.JobAnswer{Kind: kind, RetryAfter: gate.RetryAfter(kind)}
	}
	return x.Submit(ctx, c, job)
}

// Submit forwards a submission to a host. With an error, sent tells whether the host may have taken it. It may be called
// concurrently.
func (p *PeerClient) Submit(ctx context.Context, host string, c JobCall, body []byte) (answer event.JobAnswer, sent bool, err error) {
	address := p.Hosts.Address(host)
	if address == "" {
		return answer, false, kinds.New(kinds.NotFound, "host %s has no known address", host)
	}
	encoded, err := msgpack.Marshal(forwardedSubmission{c, body})
	if err != nil {
		return answer, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	acceptTimer := time.AfterFunc(acceptTimeout, cancel)
	defer acceptTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathSubmit, bytes.NewReader(encoded))
	if err != nil {
		return answer, false, err
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return answer, !conns.IsDialError(err), err
	}
	defer func() { _ = resp.Body.Close() }()
	acceptTimer.Stop()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerAnswer))
	if err == nil && resp.StatusCode != http.StatusOK {
		return answer, false, kinds.New(kinds.Forbidden, "host %s answered %d", host, resp.StatusCode)
	}
	if err == nil {
		err = msgpack.Unmarshal(respBody, &answer)
	}
	return answer, true, err
}

// ServeSubmit takes a submission that another host forwards. It sends the response header as soon as it has read the
// submission. It may be called concurrently.
func (p *PeerClient) ServeSubmit(w http.ResponseWriter, r *http.Request) {
	if !relay.HasSecret(r, p.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	limit := p.MaxBytes()
	if limit == 0 {
		gate.SkipBody(w, r)
		writeAnswer(w, event.JobAnswer{Kind: kinds.NotReady})
		return
	}
	var forwarded forwardedSubmission
	body, err := gate.ReadBody(w, r, limit+forwardOverhead)
	if err == nil {
		err = gate.From(r.Context()).Claim().Grow(budget.Bodies, int64(len(body))) // for the decoded copy
	}
	if err != nil {
		writeAnswer(w, refusal(err))
		return
	}
	if msgpack.Unmarshal(body, &forwarded) != nil {
		http.Error(w, "malformed submission", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // on a closed connection the write of the body fails too
	writeAnswer(w, p.Executor.SubmitLocal(r.Context(), forwarded.Call, forwarded.Body))
}

// writeAnswer sends the answer to a forwarded submission. Without one, the outcome is unknown to the other host.
func writeAnswer(w http.ResponseWriter, a event.JobAnswer) {
	answer, err := msgpack.Marshal(a)
	if err != nil {
		return
	}
	_, _ = w.Write(answer) // the other host may have closed the connection
}
