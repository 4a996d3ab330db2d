package items

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	pathPage     = "/jobs"
	headerSecret = "X-Figshift-Secret"
	pageTimeout  = 800 * time.Millisecond // beyond the time that a read waits
)

// Pages reads results at other hosts and answers their reads. Its exported fields are set before Run.
type Pages struct {
	Listen string // host:port
	Port   int    // of the other hosts' listeners
	Secret []byte
	HTTP   http.RoundTripper
	Jobs   *Executor

	mu    sync.Mutex
	hosts map[string]string // addresses by name
}

// Do takes the hosts that are connected. It may be called concurrently.
func (p *Pages) Do(effect event.Effect) bool {
	e, ok := effect.(event.ConnectPeers)
	if !ok {
		return false
	}
	hosts := make(map[string]string, len(e.Hosts))
	for _, h := range e.Hosts {
		if ip, _, err := net.SplitHostPort(h.Address); err == nil {
			hosts[h.Name] = net.JoinHostPort(ip, strconv.Itoa(p.Port))
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
	return false // others need it too
}

// Page returns a page of a job from the host of that name.
func (p *Pages) Page(ctx context.Context, host, job string, after int, wait time.Duration) (wire.JobPage, bool) {
	p.mu.Lock()
	address := p.hosts[host]
	p.mu.Unlock()
	var page wire.JobPage
	if address == "" {
		return page, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pageTimeout)
	defer cancel()
	query := url.Values{"Job": {job}, "After": {strconv.Itoa(after)}, "WaitMS": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathPage+"?"+query.Encode(), nil)
	if err != nil {
		return page, false
	}
	req.Header.Set(headerSecret, hex.EncodeToString(p.Secret))
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

// Run answers the other hosts' reads until ctx ends.
func (p *Pages) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return errors.Wrap(err, "listening for the other hosts' reads")
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return errors.Wrap(err, "serving the other hosts' reads")
	}
	return nil
}

// ServeHTTP answers one read of a job that this host runs.
func (p *Pages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerSecret)), []byte(hex.EncodeToString(p.Secret))) == 0 {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	query := r.URL.Query()
	after, err := strconv.Atoi(query.Get("After"))
	ms, err2 := strconv.Atoi(query.Get("WaitMS"))
	if err != nil || err2 != nil {
		http.Error(w, "After and WaitMS are whole numbers", http.StatusBadRequest)
		return
	}
	page, ok := p.Jobs.Local(r.Context(), query.Get("Job"), after, time.Duration(ms)*time.Millisecond)
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
