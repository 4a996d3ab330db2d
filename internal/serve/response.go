package serve

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Refusal is the JSON body of an error response of figshift itself.
type Refusal struct {
	Kind         kinds.Kind
	Run          kinds.Run
	Detail       string
	RetryAfterMS int64
	Request      string
}

// WriteError writes an error response with the kind of answer and what is known about the run of the request.
// It is called at most once for a request, before anything else is written to w.
func WriteError(w http.ResponseWriter, answer event.AnswerRequest, id string) {
	response := kinds.AnswerFor(answer.Kind)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderKind, string(answer.Kind))
	h.Set(wire.HeaderRun, string(response.Run))
	h.Set(wire.HeaderRequest, id)
	refusal := Refusal{Kind: answer.Kind, Run: response.Run, Detail: answer.Detail, Request: id}
	if response.RetryAfter {
		wait := max(answer.RetryAfter, time.Second)
		refusal.RetryAfterMS = wait.Milliseconds()
		h.Set("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(response.Status)
	_ = json.NewEncoder(w).Encode(refusal)
}

func errorDetail(err error) string {
	var e *kinds.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return ""
}

// httpSink writes a response to a caller.
type httpSink struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	started  bool
	noChunks bool // the caller speaks HTTP/1.0
	// unframed is set when the response ends with its connection, so that a closed one looks complete.
	unframed bool
}

// Head writes the status and header of an endpoint's response.
func (k *httpSink) Head(status int, header http.Header) error {
	h := k.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	k.started = true
	k.unframed = header.Get("Transfer-Encoding") == "identity" || k.noChunks && header.Get("Content-Length") == ""
	k.writer.WriteHeader(status)
	return nil
}

// Body writes and flushes the next bytes.
func (k *httpSink) Body(p []byte) error {
	if _, err := k.writer.Write(p); err != nil {
		return err
	}
	return k.control.Flush()
}

// Trailer adds trailer fields.
func (k *httpSink) Trailer(trailer http.Header) {
	for name, values := range trailer {
		k.writer.Header()[http.TrailerPrefix+name] = values
	}
}

// Segment writes and flushes one line of JSON.
func (k *httpSink) Segment(s wire.Segment) error {
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if !k.started {
		k.started, k.unframed = true, k.noChunks
		k.writer.Header().Set("Content-Type", "application/x-ndjson")
		k.writer.WriteHeader(http.StatusOK)
	}
	return k.Body(append(line, '\n'))
}

// Interrupt unblocks a write to a slow caller.
func (k *httpSink) Interrupt() { _ = k.control.SetWriteDeadline(time.Now()) }

// reset ends the connection with a reset. When that fails, the connection has ended already.
func (k *httpSink) reset() {
	conn, _, err := k.control.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// writeStreamError ends a generation that has started with a segment that holds the error kind. A failure to write it is
// ignored.
func (k *httpSink) writeStreamError(answer event.AnswerRequest, generation bool) {
	if generation && k.started {
		_ = k.Segment(wire.Segment{Error: string(answer.Kind)})
	}
}
