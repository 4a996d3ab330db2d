package items

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	readBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20 // longest line of an event stream
	maxEventBytes   = 1 << 20 // longest event, with whatever else comes before it
	maxTextBytes    = 8 << 20 // longest stream
	eventStreamType = "text/event-stream"
)

var (
	errMissingEvent = errors.New("event ids are not consecutive")
	errEndlessEvent = errors.New("an event is too long")
	errEndlessText  = errors.New("the stream is too long")
	errNoEvent      = errors.New("the stream has no event")
	errTextDropped  = errors.New("the text before the event was dropped")
)

// run runs an item once at an engine, which continues after the events that are held here. It cancels ctx when the
// engine sends no event for e.Silence.
func (x *Executor) run(ctx context.Context, cancel context.CancelFunc, e event.RunItem) event.ItemEnded {
	start := x.Now()
	done := event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Reason: event.ReasonBodyMissing}
	j := x.jobTable.withItem(e.Job, e.Item)
	if j == nil {
		return done
	}
	t := j.texts[e.Item]
	if e.Restart {
		t.reset()
	}
	t.prepare(e.Software)
	eventsBefore, lastID, _ := t.state()
	var silent, tooLarge atomic.Bool
	t.receiving = x.Memory.Open(func() { tooLarge.Store(true); cancel() })
	defer t.receiving.Close()
	t.receiving.Await(true)
	watchdog := time.AfterFunc(e.Silence, func() { silent.Store(true); cancel() })
	defer watchdog.Stop()
	engine := wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}
	var previousEvent time.Duration
	done.Status, done.Reason = x.runRequest(ctx, j, e, t, lastID, func() {
		watchdog.Reset(e.Silence)
		now := x.Now()
		if previousEvent > 0 {
			x.paceStats.record(engine, now-previousEvent)
		} else {
			done.First = now - start
		}
		previousEvent = now
	})
	if done.Reason != "" && done.Reason != event.ReasonRefused && silent.Load() {
		done.Reason = event.ReasonSilent
	} else if done.Reason != "" && done.Reason != event.ReasonRefused && ctx.Err() != nil && !tooLarge.Load() {
		done.Reason = event.ReasonStopped
	}
	done.Events, _, done.Versions = t.state()
	_, done.Software = t.began()
	done.New = max(0, done.Events-eventsBefore) // 0 when the text was dropped
	done.Took = x.Now() - start
	return done
}

// runRequest sends an item to an engine and adds the events of the answer to the item's text. It calls onEvent after each
// event. It returns the answer's status and the reason why the text is incomplete, "" for a complete one.
func (x *Executor) runRequest(ctx context.Context, j *jobState, e event.RunItem, t *itemText, lastID string, onEvent func()) (int, string) {
	if ctx.Err() != nil {
		return 0, event.ReasonStopped // no engine can use a run without time
	}
	req, err := x.newRequest(ctx, j, e, lastID)
	if err != nil {
		return 0, event.ReasonBodyMissing
	}
	sent := x.Now()
	transport := x.HTTP
	if e.Identify {
		transport = x.Identified
	}
	var conn verifiedConn // the last one, when the transport needs several
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = verify(info, e)
		if conn.identified && !conn.Reused {
			x.reportIdentity(conn, e)
		}
	}}
	traced := httptrace.WithClientTrace(ctx, trace)
	var questions conns.Questions
	if e.Charged {
		traced = questions.With(traced)
	}
	resp, err := transport.RoundTrip(req.WithContext(traced))
	if e.Charged {
		x.reportQuestions(conn, e, questions.Close())
	}
	if err != nil {
		return 0, event.ReasonBroken
	}
	defer func() { _ = resp.Body.Close() }()
	if !conns.EndsRequest(resp.StatusCode) {
		conns.Abandon(conn.Conn) // a whole answer may still come on it
		return 0, event.ReasonBroken
	}
	if !x.Names.IsResponseTo(resp, j.job.Items[e.Item].ID, conn.Reused) {
		conns.Abandon(conn.Conn) // the response that belongs to the item may still come on it
		return resp.StatusCode, call.ForeignReason(conn.Reused)
	}
	if answered, ok := x.Names.Answered(wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, sent, resp); ok {
		x.Post(answered)
	}
	switch {
	case resp.Header.Get(x.Names.NotRun) != "", resp.StatusCode == http.StatusMisdirectedRequest:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, readBufferBytes)) // so that the connection can be reused
		return resp.StatusCode, event.ReasonRefused
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return resp.StatusCode, event.ReasonUnprocessable
	case resp.StatusCode == http.StatusInternalServerError:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, readBufferBytes))
		return resp.StatusCode, event.ReasonStatus
	case resp.StatusCode != http.StatusOK, !strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType):
		return resp.StatusCode, event.ReasonBroken
	}
	version, _ := strconv.ParseUint(resp.Header.Get(x.Names.GeneratedVersion), 10, 64) // 0 when the engine does not say
	if err := x.readEvents(resp.Body, t, lastID, madeBy{version, e.Software}, onEvent); err != nil {
		return resp.StatusCode, event.ReasonCut
	}
	return resp.StatusCode, ""
}

// verifiedConn is the connection of a run. Found is the incarnation to which it leads, if it is identified.
type verifiedConn struct {
	httptrace.GotConnInfo
	found      string
	identified bool
}

// verify closes a connection that leads to another incarnation of the engine than the one that is meant.
func verify(info httptrace.GotConnInfo, e event.RunItem) verifiedConn {
	c := verifiedConn{GotConnInfo: info}
	c.found, c.identified = conns.Verify(info.Conn, e.Incarnation)
	return c
}

// reportIdentity reports what the engine has told of itself on a new connection.
func (x *Executor) reportIdentity(c verifiedConn, e event.RunItem) {
	x.Post(event.EndpointIdentified{Endpoint: e.Endpoint, Incarnation: e.Incarnation, Found: c.found})
}

// reportQuestions reports that an item whose question was counted asked none, on a kept connection, or more than one.
func (x *Executor) reportQuestions(c verifiedConn, e event.RunItem, asked int) {
	takenBack := c.identified && c.Reused && asked == 0
	if !takenBack && asked <= 1 {
		return
	}
	x.Post(event.EndpointIdentified{Endpoint: e.Endpoint, Incarnation: e.Incarnation, Found: c.found, Reused: true, Uncounted: asked - 1})
}

func (x *Executor) newRequest(ctx context.Context, j *jobState, e event.RunItem, lastID string) (*http.Request, error) {
	item := j.job.Items[e.Item]
	req, err := conns.NewRequest(ctx, http.MethodPost, e.Address, item.Path)
	if err != nil {
		return nil, err
	}
	req.Host = j.job.RouteHost
	req.Body = io.NopCloser(bytes.NewReader(item.Body))
	// The transport repeats a request of which it could write nothing, as on a connection that was closed meanwhile.
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(item.Body)), nil }
	req.ContentLength = int64(len(item.Body))
	if req.Header, err = x.itemHeader(&item); err != nil {
		return nil, err
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	names := &x.Names
	set := func(name, value string) {
		if name != "" && value != "" {
			req.Header.Set(name, value)
		}
	}
	set(names.Request, item.ID)
	set(names.Organisation, j.job.Organisation)
	set(names.Expect, e.Endpoint)
	set(names.Deadline, strconv.FormatInt(max(1, (e.Deadline-x.Now()).Milliseconds()), 10))
	set(names.LastEvent, lastID)
	if e.Version != 0 {
		set(names.RequiredVersion, strconv.FormatUint(e.Version, 10))
	}
	return req, nil
}

// madeBy is what generates the events of a stream: a version of the weights, until an event names another one, and a version
// of the software.
type madeBy struct {
	weights  uint64
	software string
}

// readEvents appends the events of a stream to t until the stream ends. An event that is cut off is dropped. A stream that goes on
// after an event may bring no more, but one that begins has one at least.
func (x *Executor) readEvents(body io.Reader, t *itemText, lastID string, by madeBy, onEvent func()) error {
	lines := newLineReader(body, t.receiving)
	versionField := strings.ToLower(x.Names.GeneratedVersion)
	data := heldBytes{claim: t.receiving}
	id, pending, dataLines := "", false, 0
	eventBytes, textBytes := 0, 0
	for {
		line, err := lines.next()
		eventBytes += len(line) + 1
		textBytes += len(line) + 1
		if eventBytes > maxEventBytes {
			return errEndlessEvent
		}
		if textBytes > maxTextBytes {
			return errEndlessText
		}
		if err == io.EOF && !pending {
			if lastID == "" {
				return errNoEvent
			}
			return t.finish(lastID)
		}
		if err != nil {
			return errors.Wrap(err, "reading the stream")
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0:
			if !pending {
				continue
			}
			if !isNextEvent(lastID, id) {
				return errMissingEvent
			}
			if lastID != id {
				if err := t.add(id, data.data, by.weights, by.software); err != nil {
					return errors.Wrap(err, "keeping the text")
				}
			}
			lastID, id, pending, dataLines, eventBytes = id, "", false, 0, 0
			data.drop()
			onEvent()
		case len(name) == 0: // a comment
		case string(name) == versionField:
			by.weights, _ = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			pending = true
		case string(name) == "id":
			id, pending = string(bytes.TrimSpace(value)), true
		case string(name) == "data":
			var separator []byte
			if dataLines > 0 {
				separator = []byte{'\n'}
			}
			if err := data.append(slices.Concat(separator, value)...); err != nil {
				return errors.Wrap(err, "keeping an event")
			}
			dataLines++
			pending = true
		}
	}
}

// isNextEvent reports whether id is that of the event after lastID. Ids are consecutive numbers; the first is 0 or 1.
func isNextEvent(lastID, id string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	if lastID == "" {
		return number <= 1
	}
	lastNumber, err := strconv.ParseUint(lastID, 10, 64)
	return err == nil && number == lastNumber+1
}
