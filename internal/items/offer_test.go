package items

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

// decodeTest reads a body that is the name of the job's model.
func decodeTest(c Call, body []byte, _ int64) (wire.Job, error) {
	if string(body) == "spoiled" {
		return wire.Job{}, kinds.New(kinds.BadRequest, "spoiled")
	}
	return wire.Job{ID: c.Job, Model: string(body)}, nil
}

// answering has the reducer place jobs at hosts in turn, then here, and answer submissions; what was submitted and placed is kept.
func answering(x *Executor, hosts string, own kinds.Kind) (submitted *[]string, placed *[]event.JobPlaced) {
	submitted, placed = &[]string{}, &[]event.JobPlaced{}
	x.Decode = decodeTest
	x.Post = func(ev event.Event) bool {
		switch e := ev.(type) {
		case event.JobCalled:
			a := event.JobAnswer{Seq: e.Seq}
			if e.Call == event.JobPlace {
				a.Host, hosts, _ = strings.Cut(hosts, ",")
			}
			if e.Call == event.JobSubmit {
				*submitted = append(*submitted, e.Job)
				a = event.JobAnswer{Seq: e.Seq, Kind: own}
			}
			x.answer(a)
		case event.JobPlaced:
			e.Took = 0
			*placed = append(*placed, e)
		}
		return true
	}
	return submitted, placed
}

// Answers the pattern: a submission is handed to the hub of its route, which takes it, refuses it, stops, or is lost on the
// way. It is taken here when nothing speaks against it, and no answer says "not run" while the hub may run it.
func TestOffer(t *testing.T) {
	cases := map[string]struct {
		place  string
		answer kinds.Kind // of the other host, or the first of two
		sent   bool
		err    bool
		next   kinds.Kind // answer of the second one
		left   bool       // the caller leaves before the answer
		own    kinds.Kind
		want   kinds.Kind
		here   bool
	}{
		"this host's":             {place: "", here: true},
		"this host refuses":       {place: "", own: kinds.StoreRefused, here: true, want: kinds.StoreRefused},
		"taken":                   {place: "h2"},
		"refused":                 {place: "h2", answer: kinds.StoreRefused, want: kinds.StoreRefused},
		"stops":                   {place: "h2", answer: kinds.Stopping, here: true},
		"stops, then refused":     {place: "h2", answer: kinds.Stopping, own: kinds.StoreRefused, here: true, want: kinds.StoreRefused},
		"is not ready":            {place: "h2", answer: kinds.NotReady, here: true},
		"not reached":             {place: "h2", err: true, here: true},
		"not reached and refused": {place: "h2", err: true, own: kinds.StoreRefused, here: true, want: kinds.StoreRefused},
		"lost":                    {place: "h2", err: true, sent: true, here: true},
		"lost and refused":        {place: "h2", err: true, sent: true, own: kinds.StoreRefused, here: true, want: kinds.OutcomeUnknown},
		"lost and stopping":       {place: "h2", err: true, sent: true, own: kinds.Stopping, here: true, want: kinds.OutcomeUnknown},
		"taken by the next":       {place: "h2,h3", err: true, sent: true},
		"refused by the next":     {place: "h2,h3", err: true, next: kinds.StoreRefused, want: kinds.StoreRefused},
		"lost, next refuses":      {place: "h2,h3", err: true, sent: true, next: kinds.StoreRefused, want: kinds.OutcomeUnknown},
		"stops, next stops":       {place: "h2,h3", answer: kinds.Stopping, next: kinds.Stopping, here: true},
		"a third is not tried":    {place: "h2,h3,h4", answer: kinds.Stopping, next: kinds.Stopping, here: true},
		"the caller leaves":       {place: "h2", err: true, sent: true, left: true, want: kinds.OutcomeUnknown},
		"lost and unknown":        {place: "h2", err: true, sent: true, own: kinds.OutcomeUnknown, here: true, want: kinds.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, peers := newExecutor(t)
			submitted, placed := answering(x, c.place, c.own)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			peers.taken = func() (event.JobAnswer, bool, error) {
				if c.left {
					leave()
				}
				if len(*placed) > 0 {
					return event.JobAnswer{Kind: c.next}, true, nil
				}
				if c.err {
					return event.JobAnswer{}, c.sent, errors.New("no answer")
				}
				return event.JobAnswer{Kind: c.answer}, true, nil
			}
			a := x.Offer(ctx, Call{Job: "j9", KeyHash: "k"}, []byte("m"))
			if diff := cmp.Diff(c.want, a.Kind); diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.here, len(*submitted) == 1); diff != "" {
				t.Errorf("submitted here (-want +got):\n%s", diff)
			}
			var want []event.JobPlaced
			if first, rest, more := strings.Cut(c.place, ","); c.place != "" && !c.left {
				want = append(want, event.JobPlaced{Job: "j9", Host: first, Answered: !c.err, Kind: c.answer})
				if next, _, _ := strings.Cut(rest, ","); more {
					want = append(want, event.JobPlaced{Job: "j9", Host: next, Answered: true, Kind: c.next})
				}
			}
			if diff := cmp.Diff(want, append([]event.JobPlaced(nil), *placed...)); diff != "" {
				t.Errorf("told (-want +got):\n%s", diff)
			}
		})
	}
}

// A submission travels between two hosts with its body and without the key; one without the hosts' secret, one that can't
// be read and a host that is frozen are told apart.
func TestSubmissionTravels(t *testing.T) {
	const secret = "s"
	cases := map[string]struct {
		secret string
		body   string
		own    kinds.Kind
		frozen bool
		kind   kinds.Kind
		sent   bool
		failed bool
	}{
		"taken":          {secret: secret, body: "m", sent: true},
		"refused":        {secret: secret, body: "m", own: kinds.StoreRefused, kind: kinds.StoreRefused, sent: true},
		"spoiled body":   {secret: secret, body: "spoiled", kind: kinds.BadRequest, sent: true},
		"another secret": {secret: "other", body: "m", failed: true},
		"frozen":         {secret: secret, body: "m", frozen: true, sent: true, failed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, _, _ := newExecutor(t)
			answering(x, "", c.own)
			there := &Pages{Secret: secret, Jobs: x}
			thaw := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.frozen {
					<-thaw
				}
				there.ServeSubmit(w, r)
			}))
			defer server.Close()
			defer close(thaw)
			address := server.Listener.Addr().(*net.TCPAddr)
			book := &relay.Book{Port: address.Port}
			book.Do(event.KnowHosts{Hosts: []event.Host{{Name: "h2", Address: address.String()}}})
			here := &Pages{Book: book, Secret: c.secret, HTTP: http.DefaultTransport}
			began := time.Now()
			a, sent, err := here.Submit(context.Background(), "h2", Call{Job: "j9"}, []byte(c.body))
			if diff := cmp.Diff([]any{c.kind, c.sent, c.failed}, []any{a.Kind, sent, err != nil}); diff != "" {
				t.Errorf("kind, sent, failed (-want +got):\n%s", diff)
			}
			if c.frozen && time.Since(began) > 2*takenWithin {
				t.Errorf("a frozen host was given up after %v", time.Since(began))
			}
			if _, sent, err := here.Submit(context.Background(), "h3", Call{}, nil); err == nil || sent {
				t.Error("a host that is not known was sent something")
			}
		})
	}
}
