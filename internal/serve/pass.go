package serve

import (
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

// passOverhead is what a passed call may have beyond its body, in bytes.
const passOverhead = 1 << 20

// ServePassed makes an attempt at a call that another host passes on. It may be called concurrently.
func (s *Server) ServePassed(w http.ResponseWriter, r *http.Request) {
	if !relay.HasSecret(r, s.Executor.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	active := s.active.Load()
	if active == nil {
		refusePassed(w, kinds.NotReady)
		return
	}
	var passed wire.PassedCall
	body, err := gate.ReadBody(w, r, active.site.Limits.MaxBodyBytes+passOverhead)
	if err != nil {
		refusePassed(w, kinds.KindOf(err))
		return
	}
	if msgpack.Unmarshal(body, &passed) != nil || passed.DeadlineMS <= 0 {
		refusePassed(w, kinds.BadRequest)
		return
	}
	sink := &passSink{httpSink{writer: w, control: http.NewResponseController(w)}}
	request := s.lastRequest.Add(1)
	exchange := &call.Exchange{
		Request: request, ID: passed.ID, Host: passed.Host, Method: passed.Method, Target: passed.Target, Header: passed.Header, Body: passed.Body, Sink: sink,
	}
	s.Executor.Open(exchange)
	defer s.Executor.Close(exchange)
	if !s.Post(arrivalOf(request, passed, s.Now())) {
		refusePassed(w, kinds.Stopping)
		return
	}
	answer := exchange.Run(r.Context(), s.Executor, func() { s.Post(event.CallerGone{Request: request}) })
	switch {
	case answer.Kind == "":
	case exchange.Begun():
		panic(http.ErrAbortHandler) // so that the other host notices that the answer is incomplete
	default:
		refusePassed(w, answer.Kind)
	}
}

// lastEventHeader names the last event that a caller holds of a stream that it takes up again, as in the HTML standard.
const lastEventHeader = "Last-Event-Id"

func arrivalOf(request uint64, passed wire.PassedCall, now time.Duration) event.RequestArrived {
	return event.RequestArrived{
		Request: request, ID: passed.ID, Host: passed.Host, Path: passed.Target, Method: passed.Method, Own: true, Pass: &passed.Terms,
		Organisation: passed.Organisation, Class: config.Class(passed.Terms.Class), Tokens: passed.Terms.Tokens, Digest: passed.Terms.Digest,
		LastEvent: http.Header(passed.Header).Get(lastEventHeader), Resumes: passed.Terms.Resumes, Deadline: now + time.Duration(passed.DeadlineMS)*time.Millisecond,
	}
}

// refusePassed tells the host that passed a call on why no answer of an endpoint is passed back, and so whether it has run.
func refusePassed(w http.ResponseWriter, kind kinds.Kind) {
	w.Header().Set(wire.HeaderPassed, string(kind))
	w.WriteHeader(kinds.AnswerFor(kind).Status)
	_, _ = io.WriteString(w, string(kind)) // the other host may have closed the connection
}

// passSink writes the answer of an endpoint for the host that passed the call on.
type passSink struct{ httpSink }

// Head writes the status and header of an endpoint's answer. The connection between hosts is kept, so that an answer that
// ends with the endpoint's connection is framed here.
func (k *passSink) Head(status int, header http.Header) error {
	header = header.Clone()
	if header.Get("Transfer-Encoding") != "" {
		header.Del("Transfer-Encoding")
		header.Set(wire.HeaderUnframed, "1")
	}
	header.Set(wire.HeaderPassed, wire.PassedAnswer)
	return k.httpSink.Head(status, header)
}
