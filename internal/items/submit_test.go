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

// decodeModelName is a Decode function for bodies that consist of the name of the job's model.
func decodeModelName(c JobCall, body []byte, _ int64, _ func([]byte) error) (wire.Job, error) {
	if string(body) == "malformed" {
		return wire.Job{}, kinds.New(kinds.BadRequest, "malformed")
	}
	return wire.Job{ID: c.Job, Model: string(body)}, nil
}

// fakeReducer answers the executor's calls. It places jobs at each of the hosts in turn, which are separated by commas,
// and then at this host, and answers submissions to this host with ownAnswer. It returns the ids of the jobs that are
// submitted to this host and the reports on forwarded submissions.
func fakeReducer(x *Executor, hosts string, ownAnswer kinds.Kind) (submitted *[]string, placed *[]event.JobPlaced) {
	submitted, placed = &[]string{}, &[]event.JobPlaced{}
	x.Decode = decodeModelName
	x.Post = func(ev event.Event) bool {
		switch e := ev.(type) {
		case event.JobCalled:
			a := event.JobAnswer{Seq: e.Seq}
			if e.Call == event.JobPlace {
				a.Host, hosts, _ = strings.Cut(hosts, ",")
			}
			if e.Call == event.JobSubmit {
				*submitted = append(*submitted, e.Job)
				a = event.JobAnswer{Seq: e.Seq, Kind: ownAnswer}
			}
			x.deliverAnswer(a)
		case event.JobPlaced:
			e.Took = 0
			*placed = append(*placed, e)
		}
		return true
	}
	return submitted, placed
}

// TestSubmitRouted covers a submission that is forwarded to the hub of its route. The hub takes it, refuses it, is
// stopping, or does not answer. In the last two cases this host must take the submission, and no answer may claim that
// the job does not run while the hub may run it.
func TestSubmitRouted(t *testing.T) {
	cases := map[string]struct {
		hosts     string     // to which the reducer places the job before this one, separated by commas
		answer    kinds.Kind // of the first of the hosts
		sent      bool       // the first host may have taken the submission although it did not answer
		fails     bool       // the first host does not answer
		next      kinds.Kind // of the second of the hosts
		leaves    bool       // the caller leaves before the first host answers
		ownAnswer kinds.Kind // of this host
		want      kinds.Kind
		takenHere bool // this host takes the submission
	}{
		"this host's":             {hosts: "", takenHere: true},
		"this host refuses":       {hosts: "", ownAnswer: kinds.StoreRefused, takenHere: true, want: kinds.StoreRefused},
		"taken":                   {hosts: "h2"},
		"refused":                 {hosts: "h2", answer: kinds.StoreRefused, want: kinds.StoreRefused},
		"stops":                   {hosts: "h2", answer: kinds.Stopping, takenHere: true},
		"stops, then refused":     {hosts: "h2", answer: kinds.Stopping, ownAnswer: kinds.StoreRefused, takenHere: true, want: kinds.StoreRefused},
		"is not ready":            {hosts: "h2", answer: kinds.NotReady, takenHere: true},
		"not reached":             {hosts: "h2", fails: true, takenHere: true},
		"not reached and refused": {hosts: "h2", fails: true, ownAnswer: kinds.StoreRefused, takenHere: true, want: kinds.StoreRefused},
		"lost":                    {hosts: "h2", fails: true, sent: true, takenHere: true},
		"lost and refused":        {hosts: "h2", fails: true, sent: true, ownAnswer: kinds.StoreRefused, takenHere: true, want: kinds.OutcomeUnknown},
		"lost and stopping":       {hosts: "h2", fails: true, sent: true, ownAnswer: kinds.Stopping, takenHere: true, want: kinds.OutcomeUnknown},
		"taken by the next":       {hosts: "h2,h3", fails: true, sent: true},
		"refused by the next":     {hosts: "h2,h3", fails: true, next: kinds.StoreRefused, want: kinds.StoreRefused},
		"lost, next refuses":      {hosts: "h2,h3", fails: true, sent: true, next: kinds.StoreRefused, want: kinds.OutcomeUnknown},
		"stops, next stops":       {hosts: "h2,h3", answer: kinds.Stopping, next: kinds.Stopping, takenHere: true},
		"a third is not tried":    {hosts: "h2,h3,h4", answer: kinds.Stopping, next: kinds.Stopping, takenHere: true},
		"the caller leaves":       {hosts: "h2", fails: true, sent: true, leaves: true, want: kinds.OutcomeUnknown},
		"lost and unknown":        {hosts: "h2", fails: true, sent: true, ownAnswer: kinds.OutcomeUnknown, takenHere: true, want: kinds.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, peers := newExecutor(t)
			submitted, placed := fakeReducer(x, c.hosts, c.ownAnswer)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			peers.submit = func() (event.JobAnswer, bool, error) {
				if c.leaves {
					cancel()
				}
				if len(*placed) > 0 {
					return event.JobAnswer{Kind: c.next}, true, nil
				}
				if c.fails {
					return event.JobAnswer{}, c.sent, errors.New("no answer")
				}
				return event.JobAnswer{Kind: c.answer}, true, nil
			}
			a := x.SubmitRouted(ctx, JobCall{Job: "j9", KeyHash: "k"}, []byte("m"))
			if diff := cmp.Diff(c.want, a.Kind); diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.takenHere, len(*submitted) == 1); diff != "" {
				t.Errorf("submitted here (-want +got):\n%s", diff)
			}
			var want []event.JobPlaced
			if first, rest, more := strings.Cut(c.hosts, ","); c.hosts != "" && !c.leaves {
				want = append(want, event.JobPlaced{Job: "j9", Host: first, Answered: !c.fails, Kind: c.answer})
				if next, _, _ := strings.Cut(rest, ","); more {
					want = append(want, event.JobPlaced{Job: "j9", Host: next, Answered: true, Kind: c.next})
				}
			}
			if diff := cmp.Diff(want, append([]event.JobPlaced(nil), *placed...)); diff != "" {
				t.Errorf("reported to the reducer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSubmitToPeer forwards a submission with its body from one host to another. The sender must tell apart a host
// that refuses, a malformed body, a wrong secret and a suspended host.
func TestSubmitToPeer(t *testing.T) {
	const secret = "s"
	cases := map[string]struct {
		secret    string // of the sender
		body      string
		ownAnswer kinds.Kind // of the receiver
		suspended bool       // the receiver does not read the submission
		kind      kinds.Kind
		sent      bool
		failed    bool
	}{
		"taken":          {secret: secret, body: "m", sent: true},
		"refused":        {secret: secret, body: "m", ownAnswer: kinds.StoreRefused, kind: kinds.StoreRefused, sent: true},
		"malformed body": {secret: secret, body: "malformed", kind: kinds.BadRequest, sent: true},
		"another secret": {secret: "other", body: "m", failed: true},
		"suspended":      {secret: secret, body: "m", suspended: true, sent: true, failed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, _, _ := newExecutor(t)
			fakeReducer(x, "", c.ownAnswer)
			receiver := &PeerClient{Secret: secret, Executor: x, MaxBytes: func() int64 { return 1 << 20 }}
			resume := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.suspended {
					<-resume
				}
				receiver.ServeSubmit(w, r)
			}))
			defer server.Close()
			defer close(resume)
			address := server.Listener.Addr().(*net.TCPAddr)
			hosts := &relay.HostAddresses{Port: address.Port}
			hosts.Do(event.KnowHosts{Hosts: []event.Host{{Name: "h2", Address: address.String()}}})
			sender := &PeerClient{Hosts: hosts, Secret: c.secret, HTTP: http.DefaultTransport}
			start := time.Now()
			a, sent, err := sender.Submit(context.Background(), "h2", JobCall{Job: "j9"}, []byte(c.body))
			if diff := cmp.Diff([]any{c.kind, c.sent, c.failed}, []any{a.Kind, sent, err != nil}); diff != "" {
				t.Errorf("kind, sent, failed (-want +got):\n%s", diff)
			}
			if c.suspended && time.Since(start) > 2*acceptTimeout {
				t.Errorf("a suspended host was given up after %v", time.Since(start))
			}
			if _, sent, err := sender.Submit(context.Background(), "h3", JobCall{}, nil); err == nil || sent {
				t.Error("a host that is not known was sent something")
			}
		})
	}
}
