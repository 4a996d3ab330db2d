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

// reachable is a Store that always answers.
type reachable struct{}

// Reachable implements Store.
func (reachable) Reachable(time.Duration) bool { return true }

func hostObject(i int, revision uint64, admitted bool) wire.Object {
	h := host(i)
	h.Admitted = admitted
	value, _ := json.Marshal(h)
	return wire.Object{Name: Prefix + h.Name, Version: 1, Revision: revision, Value: value}
}

// newAdmitted returns the part of host 0, registered at the store's revision 10, with others that are admitted.
func newAdmitted(others int) *Part {
	p := newPart(others + 1)
	p.Store = reachable{}
	for i := 1; i <= others; i++ {
		p.Step(0, event.ObjectSeen{Object: hostObject(i, uint64(i), true)}, &event.Batch{})
	}
	p.Step(0, event.ObjectSeen{Object: hostObject(0, 10, false)}, &event.Batch{})
	return p
}

func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		others  int
		knowing int // others whose beats show the registration
		old     int // others whose beats do not
		founder string
		admit   bool
	}{
		"founder of a store":      {founder: "h0", admit: true},
		"founded by another":      {founder: "h9"},
		"not yet heard":           {others: 3},
		"known to a minority":     {others: 3, knowing: 1, old: 2},
		"known to a majority":     {others: 3, knowing: 2, admit: true},
		"half is no majority":     {others: 4, knowing: 2},
		"heard, but not known to": {others: 3, old: 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newAdmitted(test.others)
			for i := 1; i <= test.knowing; i++ {
				p.hear(0, i, wire.Beat{Seq: 1, Complete: true, HostsRevision: 10})
			}
			for i := test.knowing + 1; i <= test.knowing+test.old; i++ {
				p.hear(0, i, wire.Beat{Seq: 1, Complete: true, HostsRevision: 9})
			}
			p.Step(time.Second, event.Tick{}, &event.Batch{})
			founded := event.ObjectDone{Call: event.ObjectCall{Owner: founderOwner, Seq: 1}, Kind: kinds.Conflict}
			p.Step(time.Second, founded, &event.Batch{})
			founded = event.ObjectDone{Call: event.ObjectCall{Owner: founderOwner, Seq: 2}, Object: wire.Object{Writer: test.founder}}
			p.Step(time.Second, founded, &event.Batch{})
			p.Step(time.Second, event.Tick{}, &event.Batch{})
			if diff := cmp.Diff([]bool{test.admit, false}, []bool{p.register.admit, p.Self.Admitted}); diff != "" {
				t.Errorf("seeks admission, is admitted (-want +got):\n%s", diff)
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
			p := newPart(1)
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

// Each host that was silent for long is deleted by one of those that are heard, and by none that hears no majority.
func TestForget(t *testing.T) {
	const others = 8
	cases := map[string]struct {
		lost    int // hosts that are not heard
		silence time.Duration
		deletes bool
	}{
		"one is silent for long":      {lost: 1, silence: forgetAfter, deletes: true},
		"one is silent for a while":   {lost: 1, silence: forgetAfter - time.Second},
		"most are silent for long":    {lost: 5, silence: forgetAfter},
		"nobody is silent after long": {silence: forgetAfter},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			deleted := 0
			for first := 1; first <= others; first++ {
				p := newAdmitted(others)
				p.Self.Admitted = true
				p.Step(time.Second, event.Tick{}, &event.Batch{})
				now := time.Second + test.silence
				for i := 1; i <= others; i++ {
					if lost := (i - first + others) % others; lost >= test.lost {
						p.hear(now, i, wire.Beat{Seq: 1})
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
				t.Errorf("%d deletions from here; any wanted (-want +got):\n%s", deleted, diff)
			}
			if deleted >= others {
				t.Errorf("%d deletions from here: every host deletes", deleted)
			}
		})
	}
}
