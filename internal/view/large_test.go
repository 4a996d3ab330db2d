package view

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/wire"
)

// countingDecoder counts the endpoint entries that are decoded.
type countingDecoder struct {
	testDecoder
	endpoints *int
}

func (c countingDecoder) Endpoint(name string, value []byte) (wire.Endpoint, error) {
	*c.endpoints++
	return c.testDecoder.Endpoint(name, value)
}

// With hundreds of endpoints, of which several change each second, the cost of a change must not grow with the number
// of endpoints that did not change.
func TestOnlyChangedEntriesAreDecoded(t *testing.T) {
	const entries, changes = 300, 50
	decoded := 0
	r := newRig(t, "h1")
	r.p.Decoder = countingDecoder{endpoints: &decoded}
	all := make([]wire.Object, entries)
	for i := range all {
		all[i] = object(fmt.Sprintf("%se%03d", PrefixEndpoints, i), uint64(1+i), "Live")
	}
	all[7].Value = []byte("undecodable")
	if !r.answer(PrefixEndpoints, "", list(entries, all...)) {
		t.Fatal("the entries were not listed")
	}
	if diff := cmp.Diff(entries, decoded); diff != "" {
		t.Errorf("entries decoded at first (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(entries-1, len(r.endpoints())); diff != "" {
		t.Errorf("endpoints listed (-want +got):\n%s", diff)
	}
	decoded = 0
	for i := range changes {
		r.now += time.Second
		o := object(all[i].Name, uint64(entries+1+i), "Leaving")
		r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &wire.Push{Prefix: PrefixEndpoints, Revision: o.Revision, Objects: []wire.Object{o}}}})
		if diff := cmp.Diff(entries-1+min(1, i/7), len(r.endpoints())); diff != "" {
			t.Errorf("endpoints listed after change %d (-want +got):\n%s", i, diff)
		}
	}
	if diff := cmp.Diff(changes, decoded); diff != "" {
		t.Errorf("entries decoded for %d changes (-want +got):\n%s", changes, diff)
	}
}

// With thousands of endpoints, whose versions change many times a second, the endpoint list must be raised only a few
// times a second, but at once when an endpoint starts to leave or is removed, and for the first list.
func TestListsOfManyEndpointsAreBounded(t *testing.T) {
	const entries = 3000
	wait := entries * raiseIntervalPerEndpoint
	r := newRig(t, "h1")
	all := make([]wire.Object, entries)
	for i := range all {
		all[i] = object(fmt.Sprintf("%se%04d", PrefixEndpoints, i), uint64(1+i), "Live")
	}
	r.answer(PrefixEndpoints, "", list(entries, all...))
	if diff := cmp.Diff(entries, len(r.endpoints())); diff != "" {
		t.Fatalf("endpoints listed at first (-want +got):\n%s", diff)
	}
	revision := uint64(entries)
	push := func(i int, change func(o *wire.Object)) {
		revision++
		o := object(all[i].Name, revision, "Live")
		change(&o)
		r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &wire.Push{Prefix: PrefixEndpoints, Revision: revision, Objects: []wire.Object{o}}}})
	}
	lists := 0
	for step := range 100 {
		r.now += wait / 10
		push(step, func(*wire.Object) {})
		if r.endpoints() != nil {
			lists++
		}
		r.step(event.Tick{})
		if r.endpoints() != nil {
			lists++
		}
	}
	if lists < 9 || lists > 10 {
		t.Errorf("%d endpoint lists during 10 minimum intervals", lists)
	}
	r.now += wait
	r.step(event.Tick{})
	push(1, func(*wire.Object) {})
	push(2, func(o *wire.Object) { o.Value = []byte("Leaving") })
	if r.endpoints() == nil {
		t.Error("an endpoint that leaves was not listed at once")
	}
	push(3, func(o *wire.Object) { o.Deleted = true })
	if diff := cmp.Diff(entries-1, len(r.endpoints())); diff != "" {
		t.Errorf("endpoints listed after a removal (-want +got):\n%s", diff)
	}
	push(4, func(*wire.Object) {})
	if r.endpoints() != nil {
		t.Error("the minimum interval between two lists was not kept")
	}
	r.tick(wait)
	if r.endpoints() == nil {
		t.Error("the last change was not listed")
	}
	r.tick(wait)
	if r.endpoints() != nil {
		t.Error("a list was raised without a change")
	}
}

// An entry is overwritten with undecodable bytes, then removed, then written again.
func TestEntryThatCannotBeRead(t *testing.T) {
	r := newRig(t, "h1")
	r.answer(PrefixEndpoints, "", list(2, object(PrefixEndpoints+"e1", 1, "Live"), object(PrefixEndpoints+"e2", 2, "Live")))
	steps := []struct {
		object wire.Object
		want   []string
	}{
		{object(PrefixEndpoints+"e1", 3, "undecodable"), []string{"e2"}},
		{wire.Object{Name: PrefixEndpoints + "e1", Revision: 4, Deleted: true}, []string{"e2"}},
		{object(PrefixEndpoints+"e1", 5, "Live"), []string{"e1", "e2"}},
		{wire.Object{Name: PrefixEndpoints + "e2", Revision: 6, Deleted: true}, []string{"e1"}},
	}
	for _, s := range steps {
		r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &wire.Push{Prefix: PrefixEndpoints, Revision: s.object.Revision, Objects: []wire.Object{s.object}}}})
		if diff := cmp.Diff(s.want, r.endpoints()); diff != "" {
			t.Errorf("endpoints after revision %d (-want +got):\n%s", s.object.Revision, diff)
		}
	}
}

// When all hosts of a large fleet start at once, each lists every prefix once and watches only the hosts prefix,
// to learn which hosts start with it. It must not call for the other prefixes before it receives heartbeats from the
// hosts that watch them; a host that receives none must start to follow the prefixes by itself soon.
func TestCallsOfAStart(t *testing.T) {
	cases := map[string]struct {
		connected bool     // whether the hubs of the own zone send heartbeats
		early     []string // prefixes watched during the start-up delay
		after     int      // watches and lists right after it
	}{
		"connected to the hubs": {true, nil, 0},
		"not connected":         {false, []string{PrefixHosts}, 6}, // three watches, three lists
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &rig{t: t, now: time.Second, p: &Component{Host: "h9", Zone: "a", Decoder: testDecoder{}, Keys: &keys.Table{}}}
			r.tick(0)
			first := len(r.pendingCalls)
			if diff := cmp.Diff(4, first); diff != "" {
				t.Errorf("calls at the start (-want +got):\n%s", diff)
			}
			for _, prefix := range []string{PrefixConfig, PrefixEndpoints, PrefixVersions, PrefixHosts} {
				r.answer(prefix, "", list(5))
			}
			if c.connected {
				r.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1", Zone: "a"}, {Name: "h2", Zone: "a"}, {Name: "h9", Zone: "a"}}, Hubs: []string{"h1", "h2"}})
				r.step(event.BeatSeen{Host: "h1"})
				r.step(event.BeatSeen{Host: "h2"})
			}
			for end := r.now + startupDelay - 50*time.Millisecond; r.now < end; {
				r.tick(50 * time.Millisecond)
			}
			var early []string
			for _, e := range r.pendingCalls {
				w, ok := e.(event.WatchObjects)
				if !ok {
					t.Errorf("unexpected call in the first second: %+v", e)
				}
				early = append(early, w.Prefix)
			}
			if diff := cmp.Diff(c.early, early); diff != "" {
				t.Errorf("watches in the first second (-want +got):\n%s", diff)
			}
			r.pendingCalls = nil
			for range 4 {
				r.tick(50 * time.Millisecond)
			}
			if diff := cmp.Diff(c.after, len(r.pendingCalls)); diff != "" {
				t.Errorf("calls after the first second (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a fully connected fleet that saw no change in the second after its start: endpoints that left got calls until then.
func TestChangesRightAfterAStart(t *testing.T) {
	cases := map[string]struct {
		hubs []string
		want []string // prefixes watched right after the first lists
	}{
		"fully connected": {nil, []string{PrefixConfig, PrefixEndpoints, PrefixVersions, PrefixHosts}},
		"large":           {[]string{"h2", "h3"}, []string{PrefixHosts}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "h1")
			r.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1"}}})
			for _, prefix := range []string{PrefixConfig, PrefixEndpoints, PrefixVersions} {
				r.answer(prefix, "", list(5))
			}
			r.tick(50 * time.Millisecond)
			if n := len(effectsOf[event.WatchObjects](r.pendingCalls)); n != 0 {
				t.Errorf("%d watches before the hosts are listed, want none", n)
			}
			r.answer(PrefixHosts, "", list(5))
			r.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1"}, {Name: "h2"}, {Name: "h3"}}, Hubs: c.hubs})
			r.tick(50 * time.Millisecond)
			var watched []string
			for _, e := range effectsOf[event.WatchObjects](r.pendingCalls) {
				watched = append(watched, e.(event.WatchObjects).Prefix)
			}
			if diff := cmp.Diff(c.want, watched); diff != "" {
				t.Errorf("prefixes watched (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against odd entries of 1 MB each that make a push longer than a frame may be, by which links between hosts end again
// and again.
func TestLongOddEntriesAreNotSentOn(t *testing.T) {
	r := newRig(t, "h1", "h2")
	long := "undecodable" + strings.Repeat("[", 1<<20)
	entries := []wire.Object{object("Endpoints/e1", 3, "Live")}
	for i := range 20 {
		entries = append(entries, object("Endpoints/x"+strconv.Itoa(i), 4, long))
	}
	r.answer(PrefixEndpoints, "", list(5, entries...))
	lines := 0
	for _, e := range effectsOf[event.Log](r.out.Effects) {
		if e.(event.Log).Event == "ObjectRefused" {
			lines++
		}
	}
	if diff := cmp.Diff([]string{"e1"}, r.endpoints()); diff != "" || lines != 20 {
		t.Errorf("%d lines, want 20; endpoints (-want +got):\n%s", lines, diff)
	}
	r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Pull: &wire.Pull{Prefixes: []string{PrefixEndpoints}, After: []uint64{0}}}})
	push := r.out.Effects[0].(event.SendPeer).Message.Push
	size := 0
	for _, o := range push.Objects {
		size += len(o.Value)
	}
	if len(push.Objects) != 21 || size > 21*maxOddBytes {
		t.Errorf("a push of %d objects and %d bytes, want 21 objects of at most %d", len(push.Objects), size, maxOddBytes)
	}
}
