package objapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

func TestClientKinds(t *testing.T) {
	cases := map[string]struct {
		answer http.HandlerFunc
		kind   kinds.Kind
	}{
		"stored":       {answer: func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(wire.Object{Version: 2}) }},
		"conflict":     {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }, kind: kinds.Conflict},
		"missing":      {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, kind: kinds.NotFound},
		"outage":       {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, kind: kinds.StoreUnavailable},
		"rate limited": {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, kind: kinds.StoreUnavailable},
		"aborted":      {answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, kind: kinds.StoreUnavailable},
		"not JSON":     {answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, kind: kinds.StoreUnavailable},
		"not modified": {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }, kind: kinds.StoreUnavailable},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				test.answer(w, r)
			}))
			defer server.Close()
			client := &Client{Base: server.URL, HTTP: server.Client()}
			_, err := client.Put(context.Background(), wire.ObjectPut{Name: "Duty/a", Version: 1})
			if diff := cmp.Diff([]any{test.kind, int64(1)}, []any{kinds.KindOf(err), calls.Load()}); diff != "" {
				t.Errorf("kind and number of calls (-want +got):\n%s", diff)
			}
		})
	}
}

func TestExecutorBefore(t *testing.T) {
	cases := map[string]struct {
		before time.Duration
		kind   kinds.Kind
		calls  int64
	}{
		"no deadline": {calls: 1},
		"in time":     {before: time.Hour, calls: 1},
		"too late":    {before: time.Minute, kind: kinds.DeadlineExceeded},
		"long past":   {before: 1, kind: kinds.DeadlineExceeded},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				_ = json.NewEncoder(w).Encode(wire.Object{Version: 2})
			}))
			defer server.Close()
			events := make(chan event.Event, 1)
			x := &Executor{
				Store: &Client{Base: server.URL, HTTP: server.Client()},
				Post:  func(ev event.Event) bool { events <- ev; return true },
				Now:   func() time.Duration { return time.Minute },
				Scope: tally.NoopScope,
			}
			x.Prepare()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = x.Run(ctx) }()
			x.Do(event.PutObject{Call: event.ObjectCall{Owner: "o", Seq: 3}, Name: "Duty/a", Before: test.before, Urgent: true})
			done, _ := (<-events).(event.ObjectDone)
			want := []any{event.ObjectCall{Owner: "o", Seq: 3}, test.kind, time.Minute, test.calls}
			if diff := cmp.Diff(want, []any{done.Call, done.Kind, done.SentAt, calls.Load()}); diff != "" {
				t.Errorf("call, kind, time sent and number of calls (-want +got):\n%s", diff)
			}
		})
	}
}

func TestExecutorUrgentFirst(t *testing.T) {
	x := &Executor{Store: &Client{}, Scope: tally.NoopScope}
	x.Prepare()
	x.Do(event.GetObject{Name: "Config/Site"})
	x.Do(event.PutObject{Name: "Duty/a", Urgent: true})
	first, _ := x.nextCall(context.Background())
	second, _ := x.nextCall(context.Background())
	if diff := cmp.Diff([]string{"put", "get"}, []string{first.kind, second.kind}); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
