package items

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/relay"
)

const (
	// PathSubmit is that of a submission that another host hands on.
	PathSubmit = "/submit"
	// takenWithin is the time in which the other host must have read a submission, which takes milliseconds.
	takenWithin = 500 * time.Millisecond
	// answerWithin is the time for its answer, which waits for the store.
	answerWithin = 4 * time.Second
	submitMost   = 32 << 20 // bytes
	// mostPlaces is the number of hosts that a submission is handed to before it is taken here; a host that is gone costs
	// takenWithin, and callers wait some seconds.
	mostPlaces = 2
)

// handed is a submission that is handed to another host. The caller's key does not travel.
type handed struct {
	Call Call
	Body []byte
}

// Offer takes a submission as a caller sent it: it is handed to the host that should run it, then to the next one, and
// taken here when neither takes it or this host should run it. Several hosts may then have it; the store lets one of them
// run it. When the caller leaves while the other host waits for the store, that host goes on alone, and the caller's next
// try is handed to it too. The answer's kind is "" once the job will be kept; no kind says that nothing runs while another
// host may have taken it.
func (x *Executor) Offer(ctx context.Context, c Call, body []byte) event.JobAnswer {
	unsure := false
	for range mostPlaces {
		place := x.ask(ctx, event.JobCalled{Call: event.JobPlace, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: c.Job}, nil)
		if place.Kind != "" {
			return truthful(place, unsure)
		}
		if place.Host == "" {
			break
		}
		began := x.Now()
		a, sent, err := x.Peers.Submit(ctx, place.Host, c, body)
		if err != nil && ctx.Err() != nil {
			return event.JobAnswer{Kind: kinds.OutcomeUnknown} // the caller has left; the other host goes on
		}
		x.Post(event.JobPlaced{Job: c.Job, Host: place.Host, Answered: err == nil, Kind: a.Kind, Took: x.Now() - began})
		if err == nil && a.Kind != kinds.Stopping && a.Kind != kinds.NotReady {
			return truthful(a, unsure)
		}
		unsure = unsure || err != nil && sent
	}
	return truthful(x.Take(ctx, c, body), unsure)
}

// truthful returns an answer that does not say that nothing runs while a host that did not answer may have the job.
func truthful(a event.JobAnswer, unsure bool) event.JobAnswer {
	if unsure && a.Kind != "" && kinds.Of(a.Kind).Run == kinds.NotRun {
		return event.JobAnswer{Kind: kinds.OutcomeUnknown}
	}
	return a
}

// Take takes a submission to run it on this host.
func (x *Executor) Take(ctx context.Context, c Call, body []byte) event.JobAnswer {
	job, err := x.Decode(c, body, x.UnixMS())
	if err != nil {
		return event.JobAnswer{Kind: kinds.From(err)}
	}
	return x.Submit(ctx, c, job)
}

// Submit hands a submission to the host of that name. With an error, sent tells whether the host may have taken it.
func (p *Pages) Submit(ctx context.Context, host string, c Call, body []byte) (a event.JobAnswer, sent bool, err error) {
	address := p.Book.Address(host)
	if address == "" {
		return a, false, kinds.New(kinds.NotFound, "host %s has no known address", host)
	}
	text, err := msgpack.Marshal(handed{c, body})
	if err != nil {
		return a, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	taken := time.AfterFunc(takenWithin, cancel)
	defer taken.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathSubmit, bytes.NewReader(text))
	if err != nil {
		return a, false, err
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return a, !conns.Unsent(err), err
	}
	defer func() { _ = resp.Body.Close() }()
	taken.Stop()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		return a, false, kinds.New(kinds.Forbidden, "host %s answered %d", host, resp.StatusCode)
	}
	if err == nil {
		err = msgpack.Unmarshal(answer, &a)
	}
	return a, true, err
}

// ServeSubmit takes a submission that another host hands on. The head of the answer tells at once that it was read. It may be
// called concurrently.
func (p *Pages) ServeSubmit(w http.ResponseWriter, r *http.Request) {
	if !relay.Knows(r, p.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	var h handed
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, submitMost))
	if err != nil || msgpack.Unmarshal(text, &h) != nil {
		http.Error(w, "the submission can't be read", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // a connection that has ended ends the answer too
	answer, err := msgpack.Marshal(p.Jobs.Take(r.Context(), h.Call, h.Body))
	if err != nil {
		return // the answer ends without a body, which tells nothing
	}
	_, _ = w.Write(answer) // the other host may have gone
}
