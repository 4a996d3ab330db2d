package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	simTick     = 50 * time.Millisecond
	simBeat     = 600 * time.Millisecond
	simTransit  = 20 * time.Millisecond // of a message, and of a call to the store and back
	simTimeout  = 1500 * time.Millisecond
	testApplyIn = 2 * time.Second
)

// Hosts that the store served learned of no change while the hosts that read for all got no answer and went on sending
// heartbeats. A host whose evidence is old reads for itself.
func TestChangeIsInForceWhileItsReadersHang(t *testing.T) {
	cases := map[string]struct {
		zones, perZone int
		bound          time.Duration
		turned         string // how the store turns the readers away
		most           int    // list calls of all hosts in a second at most, for the prefixes together
	}{
		"8 hosts, silent":    {4, 2, testApplyIn, "silent", 40},
		"8 hosts, refused":   {4, 2, testApplyIn, "refused", 40},
		"8 hosts, suspended": {4, 2, testApplyIn, "suspended", 40},
		"50 hosts, silent":   {5, 10, 3 * time.Second, "silent", 200},
		"300 hosts, silent":  {10, 30, 3 * time.Second, "silent", 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSim(c.zones, c.perZone, c.bound)
			s.run(10 * time.Second)
			if quiet := s.lists(5*time.Second, 10*time.Second); quiet > 5*7 {
				t.Errorf("%d lists in 5 s of calm, want those of the readers only", quiet)
			}
			for _, prefix := range []string{PrefixConfig, PrefixEndpoints, PrefixVersions} {
				for _, reader := range s.readers(prefix) {
					s.turned[reader] = c.turned
				}
			}
			s.revision++ // the change
			changed := s.now
			s.run(8 * time.Second)
			for _, h := range s.hosts {
				if s.turned[h.name] == "" && (h.changedAt == 0 || h.changedAt-changed > c.bound) {
					t.Errorf("the change is in force at %s after %v (0: never), want %v at most", h.name, h.changedAt-changed, c.bound)
				}
			}
			var latest time.Duration
			for _, h := range s.hosts {
				if s.turned[h.name] == "" {
					latest = max(latest, h.changedAt-changed)
				}
			}
			busiest := s.busiestSecond(changed, s.now)
			t.Logf("in force after %v at the latest; %d lists in 5 s of calm, %d in the busiest second of trouble", latest, s.lists(5*time.Second, 10*time.Second), busiest)
			if busiest > c.most {
				t.Errorf("%d lists in a second, want %d at most", busiest, c.most)
			}
		})
	}
}

// While the whole store is away, hosts that read for themselves must wait longer and longer.
func TestStaleReadsPauseWhileTheStoreIsAway(t *testing.T) {
	s := newSim(4, 2, testApplyIn)
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		s.turned[h.name] = "refused"
	}
	s.run(20 * time.Second)
	// The readers go on in their turns, six lists a second; each of the eight hosts may list three prefixes now and then.
	if n := s.lists(20*time.Second, 30*time.Second); n > 10*6+8*3*3 {
		t.Errorf("%d lists in 10 s of an outage", n)
	}
}

// sim steps the components of a fleet that has one store.
type sim struct {
	now      time.Duration
	hosts    []*simHost
	turned   map[string]string // how the store turns a host away, by name
	revision uint64
	calls    []time.Duration // of lists
	queue    []simEvent
}

type simHost struct {
	name      string
	p         *Component
	peers     []*simHost
	seq       uint64
	sentAt    map[uint64]time.Duration
	echo      map[string]uint64 // highest number that was received, by sender
	changedAt time.Duration     // when the second configuration came into force
}

type simEvent struct {
	at   time.Duration
	host *simHost
	ev   event.Event
}

func newSim(zones, perZone int, bound time.Duration) *sim {
	s := &sim{now: time.Second, turned: map[string]string{}, revision: 5}
	infos := fleetHosts(zones, perZone)
	hubs := member.Hubs(infos, 2)
	whole := len(infos) <= 16
	if whole {
		hubs = nil
	}
	for _, info := range infos {
		h := &simHost{name: info.Name, sentAt: map[uint64]time.Duration{}, echo: map[string]uint64{}}
		h.p = &Component{Host: info.Name, Zone: info.Zone, Decoder: testDecoder{}, Keys: &keys.Table{}, ApplyBound: bound}
		s.hosts = append(s.hosts, h)
		s.step(h, event.HostsChanged{Hosts: infos, Hubs: hubs})
	}
	for i, h := range s.hosts {
		for j, other := range s.hosts {
			isHub, otherHub := slices.Contains(hubs, h.name), slices.Contains(hubs, other.name)
			if i != j && (whole || isHub && otherHub || (isHub || otherHub) && infos[i].Zone == infos[j].Zone) {
				h.peers = append(h.peers, other)
			}
		}
	}
	return s
}

// readers returns the hosts that list a prefix in turns.
func (s *sim) readers(prefix string) []string {
	var names []string
	for _, h := range s.hosts {
		if h.p.rank(h.p.prefixCache(prefix)) < relisterCount {
			names = append(names, h.name)
		}
	}
	return ranks.Top(prefix, names, relisterCount)
}

// lists returns the number of lists in a span.
func (s *sim) lists(from, to time.Duration) int {
	n := 0
	for _, at := range s.calls {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func (s *sim) busiestSecond(from, to time.Duration) int {
	most := 0
	for at := from; at < to; at += 100 * time.Millisecond {
		most = max(most, s.lists(at, at+time.Second))
	}
	return most
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simTransit / 2 {
		due := s.queue
		s.queue = nil
		for _, e := range due {
			if e.at > s.now || s.turned[e.host.name] == "suspended" {
				s.queue = append(s.queue, e)
				continue
			}
			s.step(e.host, e.ev)
		}
		for i, h := range s.hosts {
			shifted := s.now + time.Duration(i)*70*time.Millisecond // hosts beat and tick at different moments
			if s.turned[h.name] == "suspended" {
				continue
			}
			if shifted%simTick == 0 {
				s.step(h, event.Tick{})
			}
			if shifted%simBeat == 0 {
				s.beat(h)
			}
		}
		s.loseSuspended()
	}
}

// loseSuspended tells the others of suspended hosts 1.5 s after their last heartbeat.
func (s *sim) loseSuspended() {
	for _, h := range s.hosts {
		if s.turned[h.name] == "suspended" && s.now-h.sentAt[h.seq] == simTimeout {
			for _, other := range h.peers {
				s.step(other, event.HostLost{Host: h.name})
			}
		}
	}
}

func (s *sim) beat(h *simHost) {
	h.seq++
	h.sentAt[h.seq] = s.now
	var beat wire.Beat
	h.p.FillBeat(s.now, &beat)
	for _, to := range h.peers {
		seen := event.BeatSeen{Host: h.name, Beat: beat}
		if echo, ok := h.echo[to.name]; ok {
			seen.Anchor, seen.Anchored = to.sentAt[echo], true
		}
		to.echo[h.name] = h.seq
		s.queue = append(s.queue, simEvent{s.now + simTransit, to, seen})
	}
}

func (s *sim) step(h *simHost, ev event.Event) {
	var out event.Batch
	h.p.Step(s.now, ev, &out)
	if site := h.p.site; site != nil && site.Revision == 2 && h.changedAt == 0 {
		h.changedAt = s.now
	}
	for _, effect := range out.Effects {
		switch e := effect.(type) {
		case event.ListObjects:
			s.calls = append(s.calls, s.now)
			s.answer(h, e.Call, e.Prefix)
		case event.WatchObjects: // without a change until its end
			s.queue = append(s.queue, simEvent{s.now + e.Wait, h, event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kinds.StoreUnavailable}})
		case event.SendPeer:
			for _, to := range h.peers {
				if to.name == e.Host {
					s.queue = append(s.queue, simEvent{s.now + simTransit, to, event.PeerReceived{Host: h.name, Message: e.Message}})
				}
			}
		}
	}
}

// answer answers a list as the store does for a host.
func (s *sim) answer(h *simHost, call event.ObjectCall, prefix string) {
	done := event.ObjectsDone{Call: call, Prefix: prefix, SentAt: s.now}
	after := simTransit
	switch s.turned[h.name] {
	case "silent":
		done.Kind, after = kinds.StoreUnavailable, simTimeout
	case "refused":
		done.Kind = kinds.StoreRefused
	default:
		done.List.Revision = s.revision
		if prefix == PrefixConfig {
			done.List.Objects = []wire.Object{object("Config/Site", s.revision, fmt.Sprint(s.revision-4))}
		}
	}
	s.queue = append(s.queue, simEvent{s.now + after, h, done})
}
