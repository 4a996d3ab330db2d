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
	// PathJob is the path of the calls about a job between hosts: GET reads a page of its results, HEAD asks whether the
	// host runs it, and DELETE tells that it was ended.
	PathJob = "/jobs"
	// maxPeerAnswer is the maximum size of an answer: another process may have the host's address.
	maxPeerAnswer   = 16 << 20
	peerCallTimeout = 800 * time.Millisecond // of one call, in addition to the time that a read waits for results
)

// PeerClient makes calls about batch jobs to other hosts and serves their calls. It implements Peers. Its fields are set
// before use.
type PeerClient struct {
	Hosts    *relay.HostAddresses
	Secret   string
	HTTP     http.RoundTripper
	Unshared http.RoundTripper // opens a connection for each call, since a kept one may be silent; nil for HTTP
	Executor *Executor
	MaxBytes func() int64 // greatest size of a submission, 0 before a configuration has been loaded
}

// Page reads a page of a job at a host. The host waits up to wait for a first result. Page returns false when the host
// does not answer or does not run the job. It may be called concurrently.
func (p *PeerClient) Page(ctx context.Context, host, job string, after int, wait time.Duration) (wire.JobPage, bool) {
	var page wire.JobPage
	address := p.Hosts.Address(host)
	if address == "" {
		return page, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerCallTimeout)
	defer cancel()
	query := url.Values{"Job": {job}, "After": {strconv.Itoa(after)}, "WaitMS": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathJob+"?"+query.Encode(), nil)
	if err != nil {
		return page, false
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	sent := time.Now()
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return page, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerAnswer))
	if err != nil || resp.StatusCode != http.StatusOK || msgpack.Unmarshal(body, &page) != nil {
		return page, false
	}
	if page.AgeMS > 0 {
		page.AgeMS += ageMS(sent) - page.TookMS // the time on the way
	}
	return page, true
}

// NotifyEnded tells a host that a job was ended, and reports whether the host has confirmed it. It may be called
// concurrently.
func (p *PeerClient) NotifyEnded(ctx context.Context, host, job string) (confirmed bool) {
	transport := p.Unshared
	if transport == nil {
		transport = p.HTTP
	}
	resp := p.callPeer(ctx, transport, http.MethodDelete, host, job)
	return resp != nil && resp.StatusCode == http.StatusOK
}

// Runs asks a host whether it runs a job, and whether the job has ended there. It may be called concurrently.
func (p *PeerClient) Runs(ctx context.Context, host, job string) (runs, ended bool) {
	resp := p.callPeer(ctx, p.HTTP, http.MethodHead, host, job)
	if resp == nil || resp.StatusCode != http.StatusOK {
		return false, false
	}
	return true, resp.Header.Get(headerEnded) != ""
}

// callPeer makes a call about a job without request and response bodies. It returns nil when there is no response.
func (p *PeerClient) callPeer(ctx context.Context, transport http.RoundTripper, method, host, job string) *http.Response {
	address := p.Hosts.Address(host)
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+PathJob+"?"+url.Values{"Job": {job}}.Encode(), nil)
	if err != nil {
		return nil
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil
	}
	_ = resp.Body.Close()
	return resp
}

// serveRuns answers whether this host runs a job, and whether the job has ended.
func (p *PeerClient) serveRuns(w http.ResponseWriter, job string) {
	if !p.Executor.jobTable.owns(job) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if p.Executor.jobTable.owner(job).Ended {
		w.Header().Set(headerEnded, "true")
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP serves the calls at PathJob. It may be called concurrently.
func (p *PeerClient) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !relay.HasSecret(r, p.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	query := r.URL.Query()
	if r.Method == http.MethodDelete {
		if !p.Executor.Post(event.PeerReceived{Message: wire.Message{News: &wire.JobNews{Job: query.Get("Job"), Ended: true}}}) {
			http.Error(w, "this host is stopping", http.StatusServiceUnavailable)
		}
		return
	}
	if r.Method == http.MethodHead {
		p.serveRuns(w, query.Get("Job"))
		return
	}
	after, err := strconv.Atoi(query.Get("After"))
	waitMS, waitErr := strconv.Atoi(query.Get("WaitMS"))
	if err != nil || waitErr != nil {
		http.Error(w, "After and WaitMS must be integers", http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	page, ok := p.Executor.LocalPage(r.Context(), query.Get("Job"), after, time.Duration(waitMS)*time.Millisecond)
	if !ok {
		http.NotFound(w, r)
		return
	}
	page.TookMS = time.Since(arrived).Milliseconds()
	body, err := msgpack.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body) // the reader may have closed the connection
}
