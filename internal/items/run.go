package items

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	readBuffer = 4 << 10
	lineMost   = 1 << 20 // bytes of one event
)

var errGap = errors.New("an event of the stream is missing")

// run runs an item once, from the events that are held on.
func (x *Executor) run(ctx context.Context, cancel context.CancelFunc, e event.RunItem) event.ItemEnded {
	began := x.Now()
	done := event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Reason: event.ReasonGone}
	j := x.keeper.get(e.Job)
	if j == nil {
		return done
	}
	t := j.texts[e.Item]
	if e.Restart {
		t.reset()
	}
	before, last, _ := t.state()
	var silent atomic.Bool
	watchdog := time.AfterFunc(e.Silence, func() { silent.Store(true); cancel() })
	defer watchdog.Stop()
	engine := wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}
	var previous time.Duration
	done.Status, done.Reason = x.exchange(ctx, j, e, t, last, func() {
		watchdog.Reset(e.Silence)
		now := x.Now()
		if previous > 0 {
			x.paces.add(engine, now-previous)
		} else {
			done.First = now - began
		}
		previous = now
	})
	if done.Reason != "" && done.Reason != event.ReasonRefused && silent.Load() {
		done.Reason = event.ReasonSilent
	} else if done.Reason != "" && done.Reason != event.ReasonRefused && ctx.Err() != nil {
		done.Reason = event.ReasonStopped
	}
	done.Events, _, done.Versions = t.state()
	done.New = done.Events - before
	done.Took = x.Now() - began
	return done
}

// exchange sends the item and takes its stream. It returns the answer's status and "" for a whole text.
func (x *Executor) exchange(ctx context.Context, j *kept, e event.RunItem, t *text, last string, alive func()) (int, string) {
	req, err := x.request(ctx, j, e, last)
	if err != nil {
		return 0, event.ReasonGone
	}
	resp, err := x.HTTP.RoundTrip(req)
	if err != nil {
		return 0, event.ReasonBroken
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.Header.Get(x.Names.NotRun) != "", resp.StatusCode == http.StatusMisdirectedRequest:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, readBuffer)) // so that the connection can be used again
		return resp.StatusCode, event.ReasonRefused
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return resp.StatusCode, event.ReasonNever
	case resp.StatusCode == http.StatusInternalServerError:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, readBuffer))
		return resp.StatusCode, event.ReasonStatus
	case resp.StatusCode != http.StatusOK:
		return resp.StatusCode, event.ReasonBroken
	}
	if x.Names.Stamp != "" && resp.Header.Get(x.Names.Stamp) == "" || !x.echoes(resp, j.job.Items[e.Item].ID) {
		return resp.StatusCode, event.ReasonBroken
	}
	version, _ := strconv.ParseUint(resp.Header.Get(x.Names.Made), 10, 64) // 0 is not told
	if err := x.stream(resp.Body, t, last, version, alive); err != nil {
		return resp.StatusCode, event.ReasonCut
	}
	return resp.StatusCode, ""
}

func (x *Executor) echoes(resp *http.Response, id string) bool {
	echoed := resp.Header.Get(x.Names.Request)
	return echoed == "" || echoed == id
}

func (x *Executor) request(ctx context.Context, j *kept, e event.RunItem, last string) (*http.Request, error) {
	it := j.job.Items[e.Item]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+it.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Host = j.job.RouteHost
	req.Body = io.NopCloser(bytes.NewReader(it.Body))
	req.ContentLength = int64(len(it.Body))
	for name, value := range it.Headers {
		req.Header.Set(name, value)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	n := &x.Names
	set := func(name, value string) {
		if name != "" && value != "" {
			req.Header.Set(name, value)
		}
	}
	set(n.Request, it.ID)
	set(n.Organisation, j.job.Organisation)
	set(n.Expect, e.Endpoint)
	set(n.Deadline, strconv.FormatInt(max(1, (e.Deadline-x.Now()).Milliseconds()), 10))
	set(n.LastEvent, last)
	if e.Version != 0 {
		set(n.Version, strconv.FormatUint(e.Version, 10))
	}
	return req, nil
}

// stream takes a stream's events until its end. Only whole events are kept.
func (x *Executor) stream(body io.Reader, t *text, last string, version uint64, alive func()) error {
	r := bufio.NewReaderSize(body, readBuffer)
	made := strings.ToLower(x.Names.Made) + ":"
	var data []byte
	id, open := "", false
	for {
		line, err := readLine(r)
		if err == io.EOF && len(line) == 0 && !open {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading the stream")
		}
		switch {
		case len(line) == 0:
			if !open {
				continue
			}
			if !follows(last, id) {
				return errGap
			}
			if last != id {
				t.add(id, data, version)
			}
			last, data, id, open = id, nil, "", false
			alive()
		case bytes.HasPrefix(line, []byte(made)):
			version, _ = strconv.ParseUint(string(bytes.TrimSpace(line[len(made):])), 10, 64)
			open = true
		case bytes.HasPrefix(line, []byte("id:")):
			id, open = string(bytes.TrimSpace(line[3:])), true
		case bytes.HasPrefix(line, []byte("data:")):
			value := bytes.TrimPrefix(line[5:], []byte(" "))
			if data != nil {
				data = append(data, '\n')
			}
			data, open = append(data, value...), true
		}
	}
}

// follows reports whether the event id comes next after last; ids are consecutive numbers.
func follows(last, id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	if last == "" {
		return n <= 1
	}
	l, err := strconv.ParseUint(last, 10, 64)
	return err == nil && n == l+1
}

// readLine returns the next line without its end.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if err != bufio.ErrBufferFull {
		if err == io.EOF && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	long := append([]byte(nil), line...)
	for err == bufio.ErrBufferFull && len(long) < lineMost {
		line, err = r.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return bytes.TrimRight(long, "\r\n"), nil
}
