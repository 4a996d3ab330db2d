// Package serve is the callers' HTTP listener.
package serve

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

const (
	headTimeout   = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	answerTimeout = 5 * time.Second // to write an answer of our own
	headMost      = 256 << 10       // bytes of a head before the site's limit is looked at
	bodiesMost    = 64 << 20        // bytes of all bodies that are held at once
)

// Server takes callers' requests. Its exported fields are set before Run.
type Server struct {
	Address  string
	Executor *call.Executor
	Post     func(event.Event) bool
	Now      func() time.Duration
	Handlers map[string]http.Handler // by path prefix, for calls that figshift answers itself
	Protocol Protocol                // nil takes the project's own

	last     atomic.Uint64
	site     atomic.Pointer[use]
	ready    atomic.Pointer[event.Ready]
	draining atomic.Bool
	bodies   atomic.Int64
	closing  chan struct{}
}

// Protocol tells how callers speak. Its methods may be called concurrently.
type Protocol interface {
	// Read sets what the head of a call tells. The key is in neither what it returns nor what goes on.
	Read(r *http.Request) (Head, error)
	// Refuse writes an answer of figshift's own.
	Refuse(w http.ResponseWriter, answer event.AnswerRequest, id string)
	// Jobs answers the submissions of batch jobs.
	Jobs() http.Handler
}

// Head is what the head of a call tells.
type Head struct {
	ID      string
	KeyHash string // of the key that the call bears, "" without one
	Target  string // path and query as they came
	Header  http.Header
	Within  time.Duration // time that the caller waits, 0 when it does not tell
}

// use is the configuration in force with its routes.
type use struct {
	site   *config.Site
	routes route.Routes
}

// Prepare is called once, before the other methods.
func (s *Server) Prepare() { s.closing = make(chan struct{}) }

// Do takes the effects that concern the listener; those that others need too are left to them.
func (s *Server) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.UseSite:
		s.site.Store(&use{site: e.Site, routes: route.NewRoutes(e.Site)})
	case event.Ready:
		s.ready.Store(&e)
	case event.BeginDrain:
		s.draining.Store(true)
	case event.StopListening:
		close(s.closing)
		return true
	}
	return false
}

// Run serves until ctx ends. After StopListening it closes the listener, waits for the answers under way
// and posts ListenerClosed.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headMost,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return errors.Wrap(err, "serving callers")
	case <-s.closing:
	}
	if server.Shutdown(ctx) == nil {
		s.Post(event.ListenerClosed{})
	}
	<-ctx.Done()
	return nil
}

// ServeHTTP answers one call. It may be called concurrently.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.Protocol == nil {
		switch r.URL.Path {
		case "/healthz":
			w.WriteHeader(http.StatusOK)
			return
		case "/readyz":
			s.Readyz(w, r)
			return
		}
	}
	if h := s.handler(r); h != nil {
		h.ServeHTTP(w, r)
		return
	}
	s.caller(w, r)
}

// Readyz answers with 200 while the daemon takes callers. It may be called concurrently.
func (s *Server) Readyz(w http.ResponseWriter, _ *http.Request) {
	ready := s.ready.Load()
	switch {
	case s.draining.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case ready == nil:
		http.Error(w, "starting", http.StatusServiceUnavailable)
	case !ready.Ready:
		http.Error(w, ready.Reason, http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// handler returns the handler of a call that figshift answers itself, nil for any other.
func (s *Server) handler(r *http.Request) http.Handler {
	if s.Protocol != nil {
		use := s.site.Load()
		if use == nil {
			return nil
		}
		matched, _ := use.routes.Match(r.Host, r.URL.Path)
		if matched.Jobs != nil && r.Method == http.MethodPost {
			return s.Protocol.Jobs()
		}
	}
	path := r.URL.Path
	var found http.Handler
	longest := -1
	for prefix, h := range s.Handlers {
		if len(prefix) > longest && len(path) >= len(prefix) && path[:len(prefix)] == prefix {
			found, longest = h, len(prefix)
		}
	}
	return found
}

// caller carries one caller's request from its head to its answer.
func (s *Server) caller(w http.ResponseWriter, r *http.Request) {
	request := s.last.Add(1)
	id := s.Executor.RequestID(request)
	in, err := s.read(w, r)
	if err != nil {
		s.refuse(w, event.AnswerRequest{Kind: kinds.From(err), Detail: detailOf(err)}, id)
		return
	}
	defer s.bodies.Add(-int64(len(in.exchange.Body)))
	sink := &httpSink{writer: w, control: http.NewResponseController(w)}
	in.exchange.Request, in.exchange.Sink = request, sink
	in.arrived.Request = request
	if s.Protocol == nil {
		w.Header().Set(wire.HeaderRequest, id)
	}
	s.Executor.Open(in.exchange)
	defer s.Executor.Close(in.exchange)
	if !s.Post(in.arrived) {
		s.refuse(w, event.AnswerRequest{Kind: kinds.Stopping}, id)
		return
	}
	answer := in.exchange.Run(r.Context(), s.Executor, func() { s.Post(event.CallerGone{Request: request}) })
	s.end(w, sink, in.exchange, answer)
}

// refuse writes an answer of our own.
func (s *Server) refuse(w http.ResponseWriter, answer event.AnswerRequest, id string) {
	if s.Protocol != nil {
		s.Protocol.Refuse(w, answer, id)
		return
	}
	WriteError(w, answer, id)
}

// end writes our own answer, or ends one that has begun so that the caller sees that it is not whole.
func (s *Server) end(w http.ResponseWriter, sink *httpSink, e *call.Exchange, answer event.AnswerRequest) {
	if answer.Kind == "" {
		return
	}
	_ = sink.control.SetWriteDeadline(time.Now().Add(answerTimeout))
	if !e.Begun() {
		s.refuse(w, answer, e.ID)
		return
	}
	sink.cut(answer, e.Generate != nil)
	panic(http.ErrAbortHandler)
}
