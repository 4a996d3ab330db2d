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
	address := p.Book.Address(host)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+PathPage+"?"+url.Values{"Job": {job}}.Encode(), nil)
	if err != nil {
		return
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
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
