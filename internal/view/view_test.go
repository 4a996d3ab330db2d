package view

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// testDecoder decodes the tests' own objects.
type testDecoder struct{}

func (testDecoder) Site(value []byte) (*config.Site, map[string]keys.Entry, error) {
	site := config.Defaults()
	if err := json.Unmarshal(value, &site.Revision); err != nil {
		return nil, nil, kinds.New(kinds.ConfigInvalid, "%v", err)
	}
	return site, nil, nil
}

func (testDecoder) Endpoint(name string, value []byte) (wire.Endpoint, error) {
	if reason, ok := strings.CutPrefix(string(value), "undecodable"); ok {
		return wire.Endpoint{}, kinds.New(kinds.ConfigInvalid, "undecodable%s", reason)
	}
	return wire.Endpoint{Name: name, Service: "s", State: wire.EndpointState(value)}, nil
}

func (testDecoder) Version(value []byte) (wire.ModelVersion, error) {
	return wire.ModelVersion{Model: "m", Version: uint64(len(value))}, nil
}

// rig runs one host's component; the test plays the store and the peers.
type rig struct {
	t            *testing.T
	now          time.Duration
	p            *Component
	out          event.Batch
	pendingCalls []event.Effect // not answered yet
}

func newRig(t *testing.T, host string, peers ...string) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Second, p: &Component{Host: host, Decoder: testDecoder{}, Keys: &keys.Table{}}}
	for _, peer := range peers {
		r.step(event.BeatSeen{Host: peer})
	}
	r.step(event.Tick{})
	return r
}

func (r *rig) step(ev event.Event) {
	r.out = event.Batch{}
	r.p.Step(r.now, ev, &r.out)
	for _, e := range r.out.Effects {
		switch e.(type) {
		case event.ListObjects, event.WatchObjects:
			r.pendingCalls = append(r.pendingCalls, e)
		}
	}
}

func (r *rig) tick(d time.Duration) {
	r.now += d
	r.step(event.Tick{})
}

// answer completes the oldest pending call for a prefix and reports whether there was one.
func (r *rig) answer(prefix string, kind kinds.Kind, list wire.ObjectList) bool {
	r.t.Helper()
	for i, e := range r.pendingCalls {
		id, callPrefix := event.ObjectCall{}, ""
		switch c := e.(type) {
		case event.ListObjects:
			id, callPrefix = c.Call, c.Prefix
		case event.WatchObjects:
			id, callPrefix = c.Call, c.Prefix
		}
		if callPrefix != prefix {
			continue
		}
		r.pendingCalls = append(r.pendingCalls[:i:i], r.pendingCalls[i+1:]...)
		r.step(event.ObjectsDone{Call: id, Prefix: prefix, List: list, Kind: kind})
		return true
	}
	return false
}

func object(name string, revision uint64, value string) wire.Object {
	return wire.Object{Name: name, Revision: revision, Version: revision, Value: []byte(value)}
}

func list(revision uint64, objects ...wire.Object) wire.ObjectList {
	return wire.ObjectList{Revision: revision, Objects: objects}
}

// endpoints returns the names in the endpoint list that the last step raised, nil when it raised none.
func (r *rig) endpoints() []string {
	var names []string
	for _, e := range r.out.Raised {
		if l, ok := e.(event.EndpointsListed); ok {
			names = []string{}
			for _, endpoint := range l.List.Endpoints {
				names = append(names, endpoint.Name)
			}
		}
	}
	return names
}

// A watch may report nothing after the store has dropped its history. A new configuration must still be in force within
// seconds.
func TestRelistFindsChangesMissedByWatches(t *testing.T) {
	hosts := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"}
	first := time.Duration(0)
	for i, host := range hosts {
		peers := append(append([]string{}, hosts[:i]...), hosts[i+1:]...)
		r := newRig(t, host, peers...)
		r.answer(PrefixConfig, "", list(5, object("Config/Site", 5, "1")))
		r.pendingCalls = nil // leave the watch unanswered
		for r.now < 10*time.Second {
			r.tick(50 * time.Millisecond)
			if r.answer(PrefixConfig, "", list(9, object("Config/Site", 9, "2"))) {
				break
			}
		}
		if r.p.site.Revision == 2 && (first == 0 || r.now < first) {
			first = r.now
		}
	}
	if first == 0 || first > 2*time.Second {
		t.Errorf("the first host has the change at %s, want at 2s at the latest", first)
	}
}

// If all hosts listed a prefix again at the same moment, a change just after it would wait for the next round.
func TestRelistsTakeTurns(t *testing.T) {
	hosts := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"}
	turns := map[int]int{}
	for i, host := range hosts {
		r := newRig(t, host, append(append([]string{}, hosts[:i]...), hosts[i+1:]...)...)
		r.answer(PrefixConfig, "", list(5, object("Config/Site", 5, "1")))
		r.pendingCalls = nil
		for r.now < 8*time.Second {
			r.tick(50 * time.Millisecond)
			for _, e := range r.pendingCalls {
				if c, ok := e.(event.ListObjects); ok && c.Prefix == PrefixConfig {
					turns[int(r.now/relistTurn)]++
				}
			}
			for r.answer(PrefixConfig, "", list(5, object("Config/Site", 5, "1"))) {
			}
		}
	}
	for turn := 5; turn < 15; turn++ {
		if turns[turn] != 1 {
			t.Errorf("%d hosts list again in turn %d, want one: %v", turns[turn], turn, turns)
		}
	}
}

// Endpoints' entries expire during an outage of the store. Endpoints whose entries are renewed within two seconds of
// its recovery must stay listed without a gap; the others must be removed.
func TestExpiredEntries(t *testing.T) {
	cases := map[string]struct {
		outage  time.Duration // length of the outage before the removal is reported
		renewed bool          // whether the entry is written again
		want    [][]string    // right after the removal, and 2.5 s later
	}{
		"no outage":    {0, false, [][]string{{"e1"}, {"e1"}}},
		"renewed":      {3 * time.Second, true, [][]string{{"e1", "e2"}, {"e1", "e2"}}},
		"not renewed":  {3 * time.Second, false, [][]string{{"e1", "e2"}, {"e1"}}},
		"short outage": {300 * time.Millisecond, false, [][]string{{"e1", "e2"}, {"e1"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "h1")
			r.answer(PrefixEndpoints, "", list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/e2", 4, "Live")))
			r.tick(startupDelay)
			for end := r.now + c.outage; r.now < end; r.tick(50 * time.Millisecond) {
				r.answer(PrefixEndpoints, kinds.StoreRefused, wire.ObjectList{})
			}
			watch := func(l wire.ObjectList) bool { // answers a watch, not a periodic list
				r.pendingCalls = effectsOf[event.WatchObjects](r.pendingCalls)
				return r.answer(PrefixEndpoints, "", l)
			}
			for !watch(list(7, wire.Object{Name: "Endpoints/e2", Revision: 7, Deleted: true})) {
				r.tick(50 * time.Millisecond)
			}
			got := [][]string{r.endpoints()}
			if c.renewed {
				r.tick(50 * time.Millisecond)
				if !watch(list(8, object("Endpoints/e2", 8, "Live"))) {
					t.Fatal("no watch is pending")
				}
			}
			last := got[0]
			for range 50 {
				r.tick(50 * time.Millisecond)
				if names := r.endpoints(); names != nil {
					last = names
				}
			}
			got = append(got, last)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("endpoints (-want +got):\n%s", diff)
			}
		})
	}
}

// A host that does not watch learns from a peer whether removed entries expired in an outage.
func TestExpiredEntriesReportedByAPeer(t *testing.T) {
	cases := map[string]struct {
		returned bool
		want     []string
	}{
		"no outage":            {false, []string{"e1"}},
		"store just recovered": {true, []string{"e1", "e2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "h1", "h2")
			r.answer(PrefixEndpoints, "", list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/e2", 4, "Live")))
			gone := wire.Object{Name: "Endpoints/e2", Revision: 7, Deleted: true}
			push := wire.Push{Prefix: PrefixEndpoints, Revision: 7, Objects: []wire.Object{gone}, Returned: c.returned}
			r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &push}})
			if diff := cmp.Diff(c.want, r.endpoints()); diff != "" {
				t.Errorf("endpoints (-want +got):\n%s", diff)
			}
		})
	}
}

// A host that the store refuses must get a new configuration from its peers, and an older one must not replace it.
func TestPushes(t *testing.T) {
	r := newRig(t, "h1", "h2")
	r.answer(PrefixConfig, "", list(5, object("Config/Site", 5, "3")))
	push := func(revision uint64, value string) {
		p := wire.Push{Prefix: PrefixConfig, Revision: revision, Objects: []wire.Object{object("Config/Site", revision, value)}}
		r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &p}})
	}
	push(7, "4")
	push(6, "2")
	push(8, "1")
	if r.p.site.Revision != 4 {
		t.Errorf("configuration revision %d is in force, want 4", r.p.site.Revision)
	}
}

// A peer's heartbeat shows that it knows a change that this host's own watch has not reported.
func TestPullFromAPeerThatKnowsMore(t *testing.T) {
	r := newRig(t, "h1", "h2")
	r.answer(PrefixConfig, "", list(5, object("Config/Site", 5, "1")))
	r.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Positions: []uint64{9, 0, 0, 0}}})
	want := []event.Effect{event.SendPeer{Host: "h2", Message: wire.Message{Pull: &wire.Pull{Prefixes: []string{PrefixConfig}, After: []uint64{5}}}}}
	if diff := cmp.Diff(want, r.out.Effects); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
	r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Pull: &wire.Pull{Prefixes: []string{PrefixConfig}, After: []uint64{3}}}})
	push := r.out.Effects[0].(event.SendPeer).Message.Push
	if len(push.Objects) != 1 || push.Objects[0].Revision != 5 {
		t.Errorf("push = %v, want the configuration", push)
	}
}

// Other writers may store anything under the prefix: an undecodable entry must not affect the other endpoints.
func TestUndecodableEntryIsSkipped(t *testing.T) {
	r := newRig(t, "h1")
	r.answer(PrefixEndpoints, "", list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/x", 4, "undecodable")))
	if diff := cmp.Diff([]string{"e1"}, r.endpoints()); diff != "" {
		t.Errorf("endpoints (-want +got):\n%s", diff)
	}
	var lines []string
	for _, e := range r.out.Effects {
		if l, ok := e.(event.Log); ok && l.Event == "ObjectRefused" {
			lines = append(lines, l.Fields[0].Value)
		}
	}
	if diff := cmp.Diff("Endpoints/x", strings.Join(lines, ",")); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
}

// Guards against a log line for each write and a line as long as what another writer stored, and against an odd entry that
// leaves the endpoint of the sound one before it in use.
func TestOddEntryIsReportedOnce(t *testing.T) {
	r := newRig(t, "h1")
	r.answer(PrefixEndpoints, "", list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/x", 4, "Live")))
	long := "undecodable" + strings.Repeat("9", 100_000)
	steps := []struct {
		value     string
		lines     int
		endpoints string
	}{
		{"undecodable", 1, "e1"},
		{"undecodable", 0, "e1"},
		{long, 1, "e1"},
		{long, 0, "e1"},
		{"Live", 0, "e1,x"},
		{"undecodable", 1, "e1"},
	}
	for i, s := range steps {
		push := wire.Push{Prefix: PrefixEndpoints, Objects: []wire.Object{object("Endpoints/x", uint64(6+i), s.value)}}
		r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &push}})
		lines := 0
		for _, e := range r.out.Effects {
			l, ok := e.(event.Log)
			if !ok || l.Event != "ObjectRefused" {
				continue
			}
			lines++
			if n := len(l.Fields[1].Value); n > 300 {
				t.Errorf("step %d: an error of %d bytes in the log", i, n)
			}
		}
		if got := strings.Join(r.endpoints(), ","); lines != s.lines || got != s.endpoints {
			t.Errorf("step %d: %d lines and endpoints %s, want %d and %s", i, lines, got, s.lines, s.endpoints)
		}
	}
}

// Guards against objects that every list lacks without a word of it.
func TestUnreadableObjectsAreReportedOnce(t *testing.T) {
	r := newRig(t, "h1")
	var lines []string
	for i, unreadable := range []int{2, 2, 1, 0} {
		if i > 0 {
			r.p.prefixCache(PrefixEndpoints).listed = false
			r.pendingCalls = nil
			r.p.prefixCache(PrefixEndpoints).inFlight = false
			r.tick(startupDelay)
		}
		listed := list(uint64(5+i), object("Endpoints/e1", 3, "Live"))
		listed.Unreadable = unreadable
		r.answer(PrefixEndpoints, "", listed)
		for _, l := range effectsOf[event.Log](r.out.Effects) {
			if l := l.(event.Log); l.Event == "ObjectRefused" {
				lines = append(lines, l.Fields[1].Value)
			}
		}
	}
	if diff := cmp.Diff([]string{"2 objects have no readable metadata", "1 objects have no readable metadata"}, lines); diff != "" {
		t.Errorf("errors of the lines (-want +got):\n%s", diff)
	}
}

// Guards against a host that takes callers while it knows no entry but odd ones.
func TestOddEntryMakesNoHostReady(t *testing.T) {
	r := newRig(t, "h1")
	r.answer(PrefixConfig, "", list(2, object("Config/Site", 2, "1")))
	r.answer(PrefixEndpoints, "", list(5, object("Endpoints/x", 4, "undecodable")))
	r.tick(50 * time.Millisecond)
	if got := r.p.notReadyReason(); got != "NoEndpoints" {
		t.Errorf("reason %q, want NoEndpoints", got)
	}
	push := wire.Push{Prefix: PrefixEndpoints, Objects: []wire.Object{object("Endpoints/e1", 6, "Live")}}
	r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &push}})
	if got := r.p.notReadyReason(); got != "" {
		t.Errorf("reason %q with a sound entry, want none", got)
	}
}

// After the store has dropped its history, the next call must be a list.
func TestHistoryGone(t *testing.T) {
	r := newRig(t, "h1")
	r.answer(PrefixConfig, "", list(5, object("Config/Site", 5, "1")))
	r.tick(startupDelay)
	r.pendingCalls = effectsOf[event.WatchObjects](r.pendingCalls)
	r.answer(PrefixConfig, kinds.HistoryGone, wire.ObjectList{})
	r.tick(50 * time.Millisecond)
	last := r.pendingCalls[len(r.pendingCalls)-1]
	if l, ok := last.(event.ListObjects); !ok || l.Prefix != PrefixConfig {
		t.Errorf("the call after HistoryGone is %#v, want a list", last)
	}
}

func effectsOf[E event.Effect](all []event.Effect) []event.Effect {
	var kept []event.Effect
	for _, e := range all {
		if _, ok := e.(E); ok {
			kept = append(kept, e)
		}
	}
	return kept
}
