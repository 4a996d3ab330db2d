package member

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// reachableStore is a Store that is always reachable.
type reachableStore struct{}

// Reachable implements Store.
func (reachableStore) Reachable(time.Duration) bool { return true }

func hostObject(i int, revision uint64, admitted bool) wire.Object {
	h := host(i)
	h.Admitted = admitted
	value, _ := json.Marshal(h)
	return wire.Object{Name: Prefix + h.Name, Version: 1, Revision: revision, Value: value}
}

// newRegistered returns the component of host 0, registered at store revision 10, with others that are admitted.
func newRegistered(others int) *Component {
	p := newComponent(others + 1)
	p.Store = reachableStore{}
	for i := 1; i <= others; i++ {
		p.Step(0, event.ObjectSeen{Object: hostObject(i, uint64(i), true)}, &event.Batch{})
	}
	p.Step(0, event.ObjectSeen{Object: hostObject(0, 10, false)}, &event.Batch{})
	return p
}

func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		others       int
		acknowledged int // other hosts whose heartbeats show the registration
		outdated     int // other hosts whose heartbeats don't show it
		founder      string
		admit        bool
	}{
		"founder of a new store":  {founder: "h0", admit: true},
		"founded by another host": {founder: "h9"},
		"no heartbeats yet":       {others: 3},
		"known to a minority":     {others: 3, acknowledged: 1, outdated: 2},
		"known to a majority":     {others: 3, acknowledged: 2, admit: true},
		"known to half":           {others: 4, acknowledged: 2},
		"alive, but not known to": {others: 3, outdated: 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newRegistered(test.others)
			for i := 1; i <= test.acknowledged; i++ {
				p.receiveTestHeartbeat(0, i, wire.Beat{Seq: 1, Complete: true, HostsRevision: 10})
			}
			for i := test.acknowledged + 1; i <= test.acknowledged+test.outdated; i++ {
				p.receiveTestHeartbeat(0, i, wire.Beat{Seq: 1, Complete: true, HostsRevision: 9})
			}
			p.Step(time.Second, event.Tick{}, &event.Batch{})
			founded := event.ObjectDone{Call: event.ObjectCall{Owner: founderOwner, Seq: 1}, Kind: kinds.Conflict}
			p.Step(time.Second, founded, &event.Batch{})
			founded = event.ObjectDone{Call: event.ObjectCall{Owner: founderOwner, Seq: 2}, Object: wire.Object{Writer: test.founder}}
			p.Step(time.Second, founded, &event.Batch{})
			p.Step(time.Second, event.Tick{}, &event.Batch{})
			if diff := cmp.Diff([]bool{test.admit, false}, []bool{p.registration.admit, p.Self.Admitted}); diff != "" {
				t.Errorf("requests admission, is admitted (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRegisterKeepsAdmission(t *testing.T) {
	former := host(0)
	former.Incarnation = "h0-0"
	former.Admitted = true
	value, _ := json.Marshal(former)
	cases := map[string]struct {
		read     event.ObjectDone
		admitted bool
	}{
		"first start":   {read: event.ObjectDone{Kind: kinds.NotFound}},
		"started again": {read: event.ObjectDone{Object: wire.Object{Version: 3, Value: value}}, admitted: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newComponent(1)
			p.Step(0, event.Tick{}, &event.Batch{})
			test.read.Call = event.ObjectCall{Owner: registerOwner, Seq: 1}
			var out event.Batch
			p.Step(0, test.read, &out)
			put, _ := out.Effects[0].(event.PutObject)
			var written event.Host
			_ = json.Unmarshal(put.Value, &written)
			got := []any{put.Version, written.Incarnation, written.Admitted}
			if diff := cmp.Diff([]any{test.read.Object.Version, host(0).Incarnation, test.admitted}, got); diff != "" {
				t.Errorf("version, incarnation, admitted (-want +got):\n%s", diff)
			}
		})
	}
}

// A host that was silent for long must be deleted by one of the hosts that are alive, and never by a host for which no
// majority is alive.
func TestForget(t *testing.T) {
	const others = 8
	cases := map[string]struct {
		silent  int // hosts that send no heartbeat
		silence time.Duration
		deletes bool
	}{
		"one host is silent for long":    {silent: 1, silence: forgetAfter, deletes: true},
		"one host is silent for a while": {silent: 1, silence: forgetAfter - time.Second},
		"most hosts are silent for long": {silent: 5, silence: forgetAfter},
		"no host is silent":              {silence: forgetAfter},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			deleted := 0
			for first := 1; first <= others; first++ {
				p := newRegistered(others)
				p.Self.Admitted = true
				p.Step(time.Second, event.Tick{}, &event.Batch{})
				now := time.Second + test.silence
				for i := 1; i <= others; i++ {
					if position := (i - first + others) % others; position >= test.silent {
						p.receiveTestHeartbeat(now, i, wire.Beat{Seq: 1})
					}
				}
				var out event.Batch
				p.Step(now, event.Tick{}, &out)
				p.Step(now+time.Millisecond, event.Tick{}, &out)
				for _, effect := range out.Effects {
					if _, ok := effect.(event.DeleteObject); ok {
						deleted++
					}
				}
			}
			if diff := cmp.Diff(test.deletes, deleted > 0); diff != "" {
				t.Errorf("%d deletions; any deletion (-want +got):\n%s", deleted, diff)
			}
			if deleted >= others {
				t.Errorf("%d deletions, want fewer than one by each host", deleted)
			}
		})
	}
}
