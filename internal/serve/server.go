// Package serve implements the HTTP listener for callers.
package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

const (
	headerReadTimeout = 5 * time.Second // of a request that begins while the daemon stops
	waitCheckInterval = 50 * time.Millisecond
	errorWriteTimeout = 5 * time.Second // for writing an error response
)

// Server serves callers' requests. Its exported fields are set before Run.
type Server struct {
	Address  string
	Executor *call.Executor
	Post     func(event.Event) bool
	Now      func() time.Duration
	Handlers map[string]http.Handler // by path prefix, for requests that figshift answers itself
	Protocol Protocol                // nil means figshift's own protocol
	Gate     *gate.Gate              // bounds the callers; nil for no bound but the limits of requests
	// StopTime is the time from BeginDrain after which requests that Handlers and the Protocol serve are ended, 0 for never. The
	// reducer ends the others.
	StopTime time.Duration

	lastRequest atomic.Uint64
	active      atomic.Pointer[activeSite]
	ready       atomic.Pointer[event.Ready]
	draining    atomic.Bool
	closing     chan struct{}
	ending      context.Context // ends StopTime after BeginDrain
	end         context.CancelFunc
}

// Protocol defines the form of callers' requests and of error responses. Its methods may be called concurrently.
type Protocol interface {
	// Read returns the values of a request's head, without the API key, which must not be forwarded either.
	Read(r *http.Request) (RequestHead, error)
	// Refuse writes an error response of figshift itself.
	Refuse(w http.ResponseWriter, answer event.AnswerRequest, id string)
	// Jobs returns the handler for submitted batch jobs.
	Jobs() http.Handler
}

// RequestHead holds the values of a request's head.
type RequestHead struct {
	ID      string
	KeyHash string // hash of the API key, "" without one
	Target  string // path and query as received
	Header  http.Header
	Timeout time.Duration // the caller's timeout, 0 when the request sets none
	// LastEvent is the id of the last event that the caller holds of a stream that it takes up again, "" for none, and
	// Resumes is the id of its attempt that brought the first event.
	LastEvent string
	Resumes   string
}

// activeSite is the configuration in force with its routes.
type activeSite struct {
	site   *config.Site
	routes route.Routes
}

// Prepare is called once, before the other methods.
func (s *Server) Prepare() {
	s.closing = make(chan struct{})
	s.ending, s.end = context.WithCancel(context.Background())
	if s.Gate == nil {
		s.Gate = &gate.Gate{}
	}
}

// Do carries out the effects for the listener. It reports true for StopListening only, since other executors need the
// other effects too.
func (s *Server) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.UseSite:
		s.active.Store(&activeSite{site: e.Site, routes: route.NewRoutes(e.Site)})
		limits := e.Site.Limits
		s.Gate.SetLimits(gate.Limits{HeadBytes: limits.MaxHeaderBytes, HeadTime: limits.HeaderTimeout, IdleTime: limits.IdleTimeout})
	case event.Ready:
		s.ready.Store(&e)
	case event.BeginDrain:
		s.draining.Store(true)
		if s.StopTime > 0 {
			time.AfterFunc(s.StopTime, s.end)
		}
	case event.StopListening:
		s.draining.Store(true)
		close(s.closing)
		return true
	}
	return false
}

// Run serves until ctx ends. After StopListening it closes the listener, waits for the open requests and posts
// ListenerClosed. It returns an error when it can't listen or serve.
func (s *Server) Run(ctx context.Context) error {
	listener, err := newStopListener(s.Address, s.Gate)
	if err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	server := &http.Server{Handler: s, ConnState: listener.track}
	go s.Gate.Run(ctx)
	failed := make(chan error, 1)
	go func() { failed <- s.Gate.Serve(server, listener) }()
	defer func() {
		s.Gate.Stop()
		_ = server.Close()
	}()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return errors.Wrap(err, "serving callers")
	case <-s.closing:
	}
	if stop(ctx, listener) {
		s.Post(event.ListenerClosed{})
	}
	<-ctx.Done()
	return nil
}

// stop closes the listener and waits until all connections are closed. It returns false when ctx ends first. It uses neither
// Server.Shutdown, which closes a connection whose request is read after Shutdown has begun, without an answer, nor
// Server.SetKeepAlivesEnabled, which closes one whose next request is being read.
func stop(ctx context.Context, listener *stopListener) bool {
	if err := listener.Close(); err != nil {
		return false // the listener has failed before
	}
	done := listener.allClosed()
	for {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(waitCheckInterval):
			listener.endWaiting()
		}
	}
}

// ServeHTTP answers one request. It may be called concurrently.
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
	if h := s.localHandler(r); h != nil {
		s.serveLocal(w, r, h)
		return
	}
	s.serveCaller(w, r)
}

// serveLocal lets a handler answer a request. Its context ends with StopTime, so that the handler answers before the process ends.
func (s *Server) serveLocal(w http.ResponseWriter, r *http.Request, h http.Handler) {
	if s.ending.Err() != nil {
		gate.SkipBody(w, r)
		s.writeRefusal(w, event.AnswerRequest{Kind: kinds.Stopping}, "")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(s.ending, cancel)
	defer stop()
	h.ServeHTTP(w, r.WithContext(ctx))
}

// MaxBodyBytes returns the greatest size of a request's body, 0 before a configuration has been loaded. It may be called
// concurrently.
func (s *Server) MaxBodyBytes() int64 {
	active := s.active.Load()
	if active == nil {
		return 0
	}
	return active.site.Limits.MaxBodyBytes
}

// Readyz answers with status 200 while the daemon accepts callers' requests, otherwise with 503 and the reason. It may be
// called concurrently.
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

// localHandler returns the handler of a request that figshift answers itself, nil for any other request.
func (s *Server) localHandler(r *http.Request) http.Handler {
	if s.Protocol != nil {
		active := s.active.Load()
		if active == nil {
			return nil
		}
		matchedRoute, _ := active.routes.Match(r.Host, r.URL.Path)
		if matchedRoute.Jobs != nil && r.Method == http.MethodPost {
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

// serveCaller reads one caller's request, posts it to the reducer and writes the response.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	request := s.lastRequest.Add(1)
	id := s.Executor.RequestID(request)
	in, err := s.readRequest(w, r)
	if err != nil {
		gate.SkipBody(w, r)
		kind := kinds.KindOf(err)
		s.writeRefusal(w, event.AnswerRequest{Kind: kind, Detail: errorDetail(err), RetryAfter: gate.RetryAfter(kind)}, id)
		return
	}
	sink := &httpSink{writer: w, control: http.NewResponseController(w), noChunks: !r.ProtoAtLeast(1, 1)}
	in.exchange.Request, in.exchange.Sink = request, sink
	in.arrived.Request = request
	if s.Protocol == nil {
		w.Header().Set(wire.HeaderRequest, id)
	}
	s.Executor.Open(in.exchange)
	defer s.Executor.Close(in.exchange)
	if !s.Post(in.arrived) {
		s.writeRefusal(w, event.AnswerRequest{Kind: kinds.Stopping}, id)
		return
	}
	answer := in.exchange.Run(r.Context(), s.Executor, func() { s.Post(event.CallerGone{Request: request}) })
	s.finishResponse(w, sink, in.exchange, answer)
}

// writeRefusal writes an error response of figshift itself.
func (s *Server) writeRefusal(w http.ResponseWriter, answer event.AnswerRequest, id string) {
	if s.Protocol != nil {
		s.Protocol.Refuse(w, answer, id)
		return
	}
	WriteError(w, answer, id)
}

// finishResponse writes an error response. If a response has begun, it aborts the connection instead, so that the caller
// detects that the response is incomplete.
func (s *Server) finishResponse(w http.ResponseWriter, sink *httpSink, e *call.Exchange, answer event.AnswerRequest) {
	if answer.Kind == "" {
		return
	}
	_ = sink.control.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	if !e.Begun() {
		s.writeRefusal(w, answer, e.ID)
		return
	}
	sink.writeStreamError(answer, e.Generate != nil)
	if sink.unframed {
		sink.reset()
	}
	panic(http.ErrAbortHandler)
}
