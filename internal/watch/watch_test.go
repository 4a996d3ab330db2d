package watch

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/wire"
)

// testRoster has fixed hosts, and evidence of a fixed time.
type testRoster struct {
	hosts []event.Host
	since time.Duration
}

// Known implements Roster.
func (r testRoster) Known() []event.Host { return r.hosts }

// Alive implements Roster.
func (r testRoster) Alive(time.Duration) []event.Host { return r.hosts }

// Since implements Evidence.
func (r testRoster) Since(time.Duration) (time.Duration, bool) { return r.since, true }

func newPart(hosts ...string) *Part {
	roster := testRoster{}
	for _, name := range hosts {
		roster.hosts = append(roster.hosts, event.Host{Name: name, Zone: "a", Admitted: true})
	}
	return &Part{Self: roster.hosts[0], Roster: roster, Evidence: roster, Keys: &keys.Table{}}
}

func siteObject(revision, siteRevision uint64) wire.Object {
	site := config.Defaults()
	site.Revision = siteRevision
	value, _ := json.Marshal(site)
	return wire.Object{Name: SiteObject, Revision: revision, Value: value}
}

func keyObject(revision uint64, state keys.State) wire.Object {
	hash := keys.Hash("key")
	value, _ := json.Marshal(keys.Shard{Keys: map[string]keys.Entry{hash: {Organisation: "North", State: state}}})
	return wire.Object{Name: keys.ShardOf(hash), Revision: revision, Value: value}
}

// start lets a part list every prefix, with objects of each, at the store's revision 10.
func start(p *Part, objects ...wire.Object) {
	p.Step(0, event.Tick{}, &event.Batch{})
	for _, f := range p.feeds {
		p.Step(0, listed(f, 10, objects...), &event.Batch{})
	}
}

func listed(f *feed, revision uint64, objects ...wire.Object) event.ObjectsDone {
	list := wire.ObjectList{Revision: revision}
	for _, o := range objects {
		if strings.HasPrefix(o.Name, f.prefix) {
			list.Objects = append(list.Objects, o)
		}
	}
	return event.ObjectsDone{Call: event.ObjectCall{Owner: owner, Seq: f.seq}, Prefix: f.prefix, List: list, SentAt: time.Second}
}

func TestObjectsTakeEffect(t *testing.T) {
	push := func(after, revision uint64, o wire.Object) event.Event {
		push := &wire.Push{Prefix: o.Name[:len(keys.Prefix)], After: after, Revision: revision, Objects: []wire.Object{o}}
		if o.Name == SiteObject {
			push.Prefix = PrefixConfig
		}
		return event.PeerReceived{Host: "h2", Message: wire.Message{Push: push}}
	}
	cases := map[string]struct {
		events []event.Event
		site   uint64 // revision in force
		upTo   uint64 // of the keys
		state  keys.State
	}{
		"as listed":                {site: 2, upTo: 6, state: keys.Active},
		"newer configuration":      {events: []event.Event{push(5, 11, siteObject(11, 3))}, site: 3, upTo: 6, state: keys.Active},
		"older object":             {events: []event.Event{push(0, 3, siteObject(3, 9))}, site: 2, upTo: 6, state: keys.Active},
		"newer object, older site": {events: []event.Event{push(5, 11, siteObject(11, 1))}, site: 2, upTo: 6, state: keys.Active},
		"withdrawn":                {events: []event.Event{push(6, 11, keyObject(11, keys.Withdrawn))}, site: 2, upTo: 11, state: keys.Withdrawn},
		"withdrawn, then old object": {
			events: []event.Event{push(6, 11, keyObject(11, keys.Withdrawn)), push(0, 6, keyObject(6, keys.Active))},
			site:   2, upTo: 11, state: keys.Withdrawn,
		},
		"push after a lost one": {events: []event.Event{push(9, 11, keyObject(11, keys.Withdrawn))}, site: 2, upTo: 6, state: keys.Withdrawn},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPart("h1", "h2")
			start(p, siteObject(5, 2), keyObject(6, keys.Active))
			for _, ev := range test.events {
				p.Step(time.Second, ev, &event.Batch{})
			}
			site, upTo := p.Revisions()
			entry, _ := p.Keys.Lookup(keys.Hash("key"))
			if diff := cmp.Diff([]any{test.site, test.upTo, test.state}, []any{site, upTo, entry.State}); diff != "" {
				t.Errorf("configuration, keys' revision and the key's state (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOldAnswerIsNoContact(t *testing.T) {
	p := newPart("h1")
	start(p, siteObject(5, 2))
	p.Step(time.Minute, event.Tick{}, &event.Batch{})
	f := p.feed(PrefixConfig)
	done := listed(f, 9, siteObject(9, 9))
	done.SentAt = time.Minute
	p.Step(time.Minute, done, &event.Batch{})
	at, _ := p.OwnContact()
	site, _ := p.Revisions()
	if diff := cmp.Diff([]any{time.Second, uint64(2)}, []any{at, site}); diff != "" {
		t.Errorf("contact and configuration after an answer older than what was known (-want +got):\n%s", diff)
	}
}

func TestStartByPeers(t *testing.T) {
	cases := map[string]struct {
		known    []string
		answered []string
		complete bool
	}{
		"no answer":          {known: []string{"h1", "h2", "h3"}},
		"one of two":         {known: []string{"h1", "h2"}, answered: []string{"h2"}, complete: true},
		"one of four":        {known: []string{"h1", "h2", "h3", "h4", "h5"}, answered: []string{"h2"}},
		"two of four":        {known: []string{"h1", "h2", "h3", "h4", "h5"}, answered: []string{"h2", "h3"}},
		"three of four":      {known: []string{"h1", "h2", "h3", "h4", "h5"}, answered: []string{"h2", "h3", "h4"}, complete: true},
		"one of two, twice":  {known: []string{"h1", "h2", "h3"}, answered: []string{"h2", "h2"}},
		"alone in an outage": {known: []string{"h1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPart(test.known...)
			p.Step(0, event.Tick{}, &event.Batch{})
			for _, host := range test.answered {
				for _, prefix := range []string{member.Prefix, PrefixConfig, keys.Prefix, wire.PrefixRollouts} {
					push := &wire.Push{Prefix: prefix, Revision: 5}
					p.Step(0, event.PeerReceived{Host: host, Message: wire.Message{Push: push}}, &event.Batch{})
				}
			}
			p.Step(time.Second, event.Tick{}, &event.Batch{})
			if diff := cmp.Diff(test.complete, p.Complete()); diff != "" {
				t.Errorf("complete (-want +got):\n%s", diff)
			}
		})
	}
}

// The store's calls grow with the zones' watchers: a host that is none of them makes no call while its evidence is fresh.
func TestOnlyWatchersCall(t *testing.T) {
	cases := map[string]struct {
		age   time.Duration // of the evidence
		calls int           // hosts that call
	}{
		"fresh": {age: time.Second, calls: 2},
		"old":   {age: 2500 * time.Millisecond, calls: 6},
	}
	names := []string{"h1", "h2", "h3", "h4", "h5", "h6"}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			calling := 0
			for i := range names {
				p := newPart(append([]string{names[i]}, append(append([]string{}, names[:i]...), names[i+1:]...)...)...)
				start(p, siteObject(5, 2))
				p.Evidence = testRoster{since: time.Minute - test.age}
				var out event.Batch
				p.Step(time.Minute, event.Tick{}, &out)
				if len(out.Effects) > 0 {
					calling++
				}
			}
			if diff := cmp.Diff(test.calls, calling); diff != "" {
				t.Errorf("hosts that call the store (-want +got):\n%s", diff)
			}
		})
	}
}

// A push says that its objects are all since its start, also those that the sender knew before by another's push.
func TestPushIsWhole(t *testing.T) {
	p := newPart("h1", "h2")
	start(p, keyObject(6, keys.Active))
	late := wire.Object{Name: keys.Prefix + "x", Revision: 11}
	push := &wire.Push{Prefix: keys.Prefix, After: 9, Revision: 11, Objects: []wire.Object{late}}
	p.Step(time.Second, event.PeerReceived{Host: "h2", Message: wire.Message{Push: push}}, &event.Batch{})
	p.Step(time.Minute, event.Tick{}, &event.Batch{})
	var out event.Batch
	first, last := wire.Object{Name: keys.Prefix + "y", Revision: 9}, wire.Object{Name: keys.Prefix + "z", Revision: 12}
	p.Step(time.Minute, listed(p.feed(keys.Prefix), 12, first, late, last), &out)
	var pushed []wire.Push
	for _, effect := range out.Effects {
		if send, ok := effect.(event.SendPeer); ok {
			pushed = append(pushed, *send.Message.Push)
		}
	}
	want := []wire.Push{{Prefix: keys.Prefix, After: 6, Revision: 12, Objects: []wire.Object{first, late, last}}}
	if diff := cmp.Diff(want, pushed); diff != "" {
		t.Errorf("pushes (-want +got):\n%s", diff)
	}
}
