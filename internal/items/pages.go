package items

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

const (
	headerEnded = "Figshift-Job-Ended"
	// PathPage is that of a read of a job at the host that runs it.
	PathPage    = "/jobs"
	pageTimeout = 800 * time.Millisecond // beyond the time that a read waits
)

// Pages reads results at other hosts and answers their reads. Its fields are set before use.
type Pages struct {
	Book   *relay.Book
	Secret string
	HTTP   http.RoundTripper
	Jobs   *Executor
}

// Page returns a page of a job from the host of that name.
func (p *Pages) Page(ctx context.Context, host, job string, after int, wait time.Duration) (wire.JobPage, bool) {
	var page wire.JobPage
	address := p.Book.Address(host)
	if address == "" {
		return page, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pageTimeout)
	defer cancel()
	query := url.Values{"Job": {job}, "After": {strconv.Itoa(after)}, "WaitMS": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathPage+"?"+query.Encode(), nil)
	if err != nil {
		return page, false
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return page, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || msgpack.Unmarshal(body, &page) != nil {
		return page, false
	}
	return page, true
}

// Ended tells the host of that name that a job was ended. A host that is not reached learns it when it lists results.
func (p *Pages) Ended(ctx context.Context, host, job string) {
	p.call(ctx, http.MethodDelete, host, job)
}

// Runs asks the host of that name whether it runs a job, and whether the job has ended there.
func (p *Pages) Runs(ctx context.Context, host, job string) (runs, ended bool) {
	resp := p.call(ctx, http.MethodHead, host, job)
	if resp == nil || resp.StatusCode != http.StatusOK {
		return false, false
	}
	return true, resp.Header.Get(headerEnded) != ""
}

// call makes a call without bodies about a job; nil without an answer.
func (p *Pages) call(ctx context.Context, method, host, job string) *http.Response {
	address := p.Book.Address(host)
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+PathPage+"?"+url.Values{"Job": {job}}.Encode(), nil)
	if err != nil {
		return nil
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return nil
	}
	_ = resp.Body.Close()
	return resp
}

// serveRuns tells whether this host runs a job.
func (p *Pages) serveRuns(w http.ResponseWriter, job string) {
	if !p.Jobs.keeper.owns(job) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if p.Jobs.keeper.owner(job).Ended {
		w.Header().Set(headerEnded, "true")
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP answers one read of a job that this host runs. It may be called concurrently.
func (p *Pages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !relay.Knows(r, p.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	query := r.URL.Query()
	if r.Method == http.MethodDelete {
		p.Jobs.Post(event.PeerReceived{Message: wire.Message{News: &wire.JobNews{Job: query.Get("Job"), Ended: true}}})
		return
	}
	if r.Method == http.MethodHead {
		p.serveRuns(w, query.Get("Job"))
		return
	}
	after, err := strconv.Atoi(query.Get("After"))
	ms, err2 := strconv.Atoi(query.Get("WaitMS"))
	if err != nil || err2 != nil {
		http.Error(w, "After and WaitMS are whole numbers", http.StatusBadRequest)
		return
	}
	page, ok := p.Jobs.OwnPage(r.Context(), query.Get("Job"), after, time.Duration(ms)*time.Millisecond)
	if !ok {
		http.NotFound(w, r)
		return
	}
	body, err := msgpack.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body) // the reader may have gone
}
