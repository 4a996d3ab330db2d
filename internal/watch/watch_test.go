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

// testMembership is a Membership with fixed hosts and Evidence with a fixed time.
type testMembership struct {
	hosts []event.Host
	since time.Duration
}

// Known implements Membership.
func (r testMembership) Known() []event.Host { return r.hosts }

// Alive implements Membership.
func (r testMembership) Alive(time.Duration) []event.Host { return r.hosts }

// UpToDateAt implements Evidence.
func (r testMembership) UpToDateAt(time.Duration) (time.Duration, bool) { return r.since, true }

func newComponent(hosts ...string) *Component {
	membership := testMembership{}
	for _, name := range hosts {
		membership.hosts = append(membership.hosts, event.Host{Name: name, Zone: "a", Admitted: true})
	}
	return &Component{Self: membership.hosts[0], Membership: membership, Evidence: membership, Keys: &keys.Table{}}
}

func siteObject(revision, siteRevision uint64) wire.Object {
	site := config.Defaults()
	site.Revision = siteRevision
	value, _ := json.Marshal(site)
	return wire.Object{Name: SiteObjectName, Revision: revision, Value: value}
}

func keyObject(revision uint64, state keys.State) wire.Object {
	hash := keys.Hash("key")
	value, _ := json.Marshal(keys.Shard{Keys: map[string]keys.Entry{hash: {Organisation: "North", State: state}}})
	return wire.Object{Name: keys.ShardOf(hash), Revision: revision, Value: value}
}

// listAll completes every prefix by a list from the store at revision 10. Each prefix gets those of objects that it
// covers.
func listAll(p *Component, objects ...wire.Object) {
	p.Step(0, event.Tick{}, &event.Batch{})
	for _, f := range p.feeds {
		p.Step(0, listDone(f, 10, objects...), &event.Batch{})
	}
}

func listDone(f *feed, revision uint64, objects ...wire.Object) event.ObjectsDone {
	list := wire.ObjectList{Revision: revision}
	for _, o := range objects {
		if strings.HasPrefix(o.Name, f.prefix) {
			list.Objects = append(list.Objects, o)
		}
	}
	return event.ObjectsDone{Call: event.ObjectCall{Owner: callOwner, Seq: f.callSeq}, Prefix: f.prefix, List: list, SentAt: time.Second}
}

func TestObjectsTakeEffect(t *testing.T) {
	push := func(after, revision uint64, o wire.Object) event.Event {
		push := &wire.Push{Prefix: o.Name[:len(keys.Prefix)], After: after, Revision: revision, Objects: []wire.Object{o}}
		if o.Name == SiteObjectName {
			push.Prefix = PrefixConfig
		}
		return event.PeerReceived{Host: "h2", Message: wire.Message{Push: push}}
	}
	cases := map[string]struct {
		events       []event.Event
		siteRevision uint64 // of the configuration in force
		keysRevision uint64 // knownRevision of the keys
		state        keys.State
	}{
		"listed objects":      {siteRevision: 2, keysRevision: 6, state: keys.Active},
		"newer configuration": {events: []event.Event{push(5, 11, siteObject(11, 3))}, siteRevision: 3, keysRevision: 6, state: keys.Active},
		"older object":        {events: []event.Event{push(0, 3, siteObject(3, 9))}, siteRevision: 2, keysRevision: 6, state: keys.Active},
		"newer object with an older configuration": {events: []event.Event{push(5, 11, siteObject(11, 1))}, siteRevision: 2, keysRevision: 6, state: keys.Active},
		"key withdrawn": {events: []event.Event{push(6, 11, keyObject(11, keys.Withdrawn))}, siteRevision: 2, keysRevision: 11, state: keys.Withdrawn},
		"key withdrawn, then older object": {
			events:       []event.Event{push(6, 11, keyObject(11, keys.Withdrawn)), push(0, 6, keyObject(6, keys.Active))},
			siteRevision: 2, keysRevision: 11, state: keys.Withdrawn,
		},
		"push after a lost push": {events: []event.Event{push(9, 11, keyObject(11, keys.Withdrawn))}, siteRevision: 2, keysRevision: 6, state: keys.Withdrawn},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newComponent("h1", "h2")
			listAll(p, siteObject(5, 2), keyObject(6, keys.Active))
			for _, ev := range test.events {
				p.Step(time.Second, ev, &event.Batch{})
			}
			siteRevision, keysRevision := p.Revisions()
			entry, _ := p.Keys.Lookup(keys.Hash("key"))
			if diff := cmp.Diff([]any{test.siteRevision, test.keysRevision, test.state}, []any{siteRevision, keysRevision, entry.State}); diff != "" {
				t.Errorf("configuration, keys' revision and the key's state (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOldAnswerIsNoContact(t *testing.T) {
	p := newComponent("h1")
	listAll(p, siteObject(5, 2))
	p.Step(time.Minute, event.Tick{}, &event.Batch{})
	f := p.feed(PrefixConfig)
	done := listDone(f, 9, siteObject(9, 9))
	done.SentAt = time.Minute
	p.Step(time.Minute, done, &event.Batch{})
	at, _ := p.OwnContact()
	site, _ := p.Revisions()
	if diff := cmp.Diff([]any{time.Second, uint64(2)}, []any{at, site}); diff != "" {
		t.Errorf("contact and configuration after an outdated answer (-want +got):\n%s", diff)
	}
}

func TestStartByPeers(t *testing.T) {
	cases := map[string]struct {
		known    []string
		answered []string
		complete bool
	}{
		"no answer":         {known: []string{"h1", "h2", "h3"}},
		"one of two":        {known: []string{"h1", "h2"}, answered: []string{"h2"}, complete: true},
		"one of four":       {known: []string{"h1", "h2", "h3", "h4", "h5"}, answered: []string{"h2"}},
		"two of four":       {known: []string{"h1", "h2", "h3", "h4", "h5"}, answered: []string{"h2", "h3"}},
		"three of four":     {known: []string{"h1", "h2", "h3", "h4", "h5"}, answered: []string{"h2", "h3", "h4"}, complete: true},
		"one of two, twice": {known: []string{"h1", "h2", "h3"}, answered: []string{"h2", "h2"}},
		"single host":       {known: []string{"h1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newComponent(test.known...)
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

// The calls to the store must grow with the number of watchers: any other host makes none while its evidence is fresh.
func TestOnlyWatchersCall(t *testing.T) {
	cases := map[string]struct {
		age   time.Duration // of the evidence
		calls int           // hosts that call the store
	}{
		"fresh": {age: time.Second, calls: 2},
		"old":   {age: 2500 * time.Millisecond, calls: 6},
	}
	names := []string{"h1", "h2", "h3", "h4", "h5", "h6"}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			callers := 0
			for i := range names {
				p := newComponent(append([]string{names[i]}, append(append([]string{}, names[:i]...), names[i+1:]...)...)...)
				listAll(p, siteObject(5, 2))
				p.Evidence = testMembership{since: time.Minute - test.age}
				var out event.Batch
				p.Step(time.Minute, event.Tick{}, &out)
				if len(out.Effects) > 0 {
					callers++
				}
			}
			if diff := cmp.Diff(test.calls, callers); diff != "" {
				t.Errorf("hosts that call the store (-want +got):\n%s", diff)
			}
		})
	}
}

// A push must hold all objects since its start, including those that the sender knew before from another host's push.
func TestPushIsWhole(t *testing.T) {
	p := newComponent("h1", "h2")
	listAll(p, keyObject(6, keys.Active))
	known := wire.Object{Name: keys.Prefix + "x", Revision: 11}
	push := &wire.Push{Prefix: keys.Prefix, After: 9, Revision: 11, Objects: []wire.Object{known}}
	p.Step(time.Second, event.PeerReceived{Host: "h2", Message: wire.Message{Push: push}}, &event.Batch{})
	p.Step(time.Minute, event.Tick{}, &event.Batch{})
	var out event.Batch
	first, last := wire.Object{Name: keys.Prefix + "y", Revision: 9}, wire.Object{Name: keys.Prefix + "z", Revision: 12}
	p.Step(time.Minute, listDone(p.feed(keys.Prefix), 12, first, known, last), &out)
	var pushed []wire.Push
	for _, effect := range out.Effects {
		if send, ok := effect.(event.SendPeer); ok {
			pushed = append(pushed, *send.Message.Push)
		}
	}
	want := []wire.Push{{Prefix: keys.Prefix, After: 6, Revision: 12, Objects: []wire.Object{first, known, last}}}
	if diff := cmp.Diff(want, pushed); diff != "" {
		t.Errorf("pushes (-want +got):\n%s", diff)
	}
}
