package items

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

// The owner of a job was told of its end by one call whose outcome nobody read.
func TestEndIsRepeatedUntilTheOwnerConfirms(t *testing.T) {
	cases := map[string]struct {
		unheard int
		ended   bool // the store's record says so already
		want    int
	}{
		"confirmed at once":     {0, false, 1},
		"confirmed later":       {2, false, 3},
		"another host ended it": {1, true, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, _, peers := newExecutor(t)
			peers.unheard = c.unheard
			if c.ended {
				x.writeOwner(context.Background(), "j1", wire.JobOwner{Host: "h2", Incarnation: "1", Ended: true}, 0)
			}
			if kind := x.tryEndJob(context.Background(), "j1", &ending{}); kind != "" {
				t.Fatalf("kind %q", kind)
			}
			got := 0
			for deadline := time.Now().Add(5 * time.Second); got < c.want && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				peers.mu.Lock()
				got = len(peers.ends)
				peers.mu.Unlock()
			}
			time.Sleep(2 * notifyInterval) // in which a further call would come
			peers.mu.Lock()
			defer peers.mu.Unlock()
			if diff := cmp.Diff(c.want, len(peers.ends)); diff != "" {
				t.Errorf("calls to the owner (-want +got):\n%s", diff)
			}
		})
	}
}

// The kept connections to an owner had gone silent, and the call that tells of an end waited on one of them.
func TestEndIsToldOnAConnectionOfItsOwn(t *testing.T) {
	x, _, _ := newExecutor(t)
	received := make(chan event.Event, 1)
	x.Post = func(ev event.Event) bool { received <- ev; return true }
	var connections atomic.Int64
	server := httptest.NewServer(&PeerClient{Executor: x, Secret: "s"})
	defer server.Close()
	unshared := conns.Transport(time.Second, 1, time.Second)
	unshared.DisableKeepAlives = true
	silent := roundTripper(func(req *http.Request) (*http.Response, error) {
		connections.Add(1)
		<-req.Context().Done()
		return nil, req.Context().Err()
	})
	address := server.Listener.Addr().(*net.TCPAddr)
	hosts := &relay.HostAddresses{Port: address.Port}
	hosts.Do(event.KnowHosts{Hosts: []event.Host{{Name: "h2", Address: address.String()}}})
	p := &PeerClient{Secret: "s", HTTP: silent, Unshared: unshared, Hosts: hosts}
	if !p.NotifyEnded(context.Background(), "h2", "j1") {
		t.Fatal("the host did not confirm")
	}
	want := event.Event(event.PeerReceived{Message: wire.Message{News: &wire.JobNews{Job: "j1", Ended: true}}})
	if diff := cmp.Diff(want, <-received); diff != "" {
		t.Errorf("received (-want +got):\n%s", diff)
	}
	if connections.Load() > 0 {
		t.Error("a kept connection was used")
	}
}

// The end of a job was refused with 503, which promises that it has not run, although a write without an answer might still
// take effect.
func TestEndIsRefusedOnlyWhenNothingMayHaveEnded(t *testing.T) {
	const budget = 2 * storeRetryInterval
	cases := map[string]struct {
		losses  []loss // of the writes, the last one until the end has been answered
		another bool   // another host writes the record after the first write
		want    []kinds.Kind
	}{
		"stored":                             {[]loss{lossNone}, false, []kinds.Kind{""}},
		"answer lost":                        {[]loss{lossAnswer}, false, []kinds.Kind{""}},
		"refused":                            {[]loss{lossRefused}, false, []kinds.Kind{kinds.StoreRefused}},
		"no answer":                          {[]loss{lossChange}, false, []kinds.Kind{kinds.OutcomeUnknown, ""}},
		"no answer, then refused":            {[]loss{lossChange, lossRefused}, false, []kinds.Kind{kinds.OutcomeUnknown, ""}},
		"no answer, overtaken, then refused": {[]loss{lossChange, lossRefused}, true, []kinds.Kind{kinds.StoreRefused}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, store, _ := newExecutor(t)
			posted := make(chan kinds.Kind, 10)
			var answered atomic.Bool
			x.Post = func(ev event.Event) bool {
				answered.Store(true)
				posted <- ev.(event.JobEnded).Kind
				return true
			}
			writes := 0
			store.nextLoss = func() loss {
				writes++
				if writes == 2 && c.another { // a takeover, before this write
					store.objects[wire.PrefixOwners+"j1"] = wire.Object{Name: wire.PrefixOwners + "j1", Version: 1, Value: []byte(`{"Host":"h3","Epoch":1}`)}
				}
				if answered.Load() && c.losses[len(c.losses)-1] != lossNone {
					return lossNone
				}
				return c.losses[min(writes, len(c.losses))-1]
			}
			x.endJob(context.Background(), event.EndJob{Job: "j1", Budget: budget})
			close(posted)
			var got []kinds.Kind
			for kind := range posted {
				got = append(got, kind)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
			owner, _, err := x.readOwner(context.Background(), "j1")
			if ended := got[len(got)-1] == ""; err != nil || owner.Ended != ended {
				t.Errorf("the record says ended: %v, %v; the last outcome %v", owner.Ended, err, ended)
			}
		})
	}
}

// A second call that ends a job, while the outcome of a write for the first one is unknown, must not be refused either, and
// must be answered in its own time.
func TestEndsOfOneJobShareTheirOutcome(t *testing.T) {
	x, store, _ := newExecutor(t)
	posted := make(chan kinds.Kind, 10)
	x.Post = func(ev event.Event) bool { posted <- ev.(event.JobEnded).Kind; return true }
	outcome := atomic.Int64{}
	outcome.Store(int64(lossChange))
	store.nextLoss = func() loss { return loss(outcome.Load()) }
	end := event.EndJob{Job: "j1", Budget: storeRetryInterval}
	x.Do(end)
	if diff := cmp.Diff(kinds.OutcomeUnknown, <-posted); diff != "" {
		t.Fatalf("first outcome (-want +got):\n%s", diff)
	}
	outcome.Store(int64(lossRefused))
	x.Do(end)
	if diff := cmp.Diff(kinds.OutcomeUnknown, <-posted); diff != "" {
		t.Fatalf("outcome of the second call (-want +got):\n%s", diff)
	}
	outcome.Store(int64(lossNone))
	if diff := cmp.Diff(kinds.Kind(""), <-posted); diff != "" {
		t.Fatalf("last outcome (-want +got):\n%s", diff)
	}
}

// A host that no longer takes events must not confirm an end.
func TestStoppingHostConfirmsNoEnd(t *testing.T) {
	x, _, _ := newExecutor(t)
	x.Post = func(event.Event) bool { return false }
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodDelete, PathJob+"?Job=j1", nil)
	req.Header.Set(relay.HeaderSecret, "s")
	(&PeerClient{Executor: x, Secret: "s"}).ServeHTTP(w, req)
	if diff := cmp.Diff(http.StatusServiceUnavailable, w.Code); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
