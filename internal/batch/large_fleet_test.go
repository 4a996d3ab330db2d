package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/wire"
)

// largeFleet is a fleet of two availability zones in which each host is connected to only a few others.
type largeFleet struct {
	hosts []event.Host
	hubs  []string
}

func newLargeFleet() largeFleet {
	var f largeFleet
	for i := range 32 {
		f.hosts = append(f.hosts, event.Host{Name: fmt.Sprintf("h%d", i), Zone: []string{"a", "b"}[i%2], Incarnation: "1"})
	}
	f.hubs = member.Hubs(f.hosts, 2)
	return f
}

// pick returns the first host of a zone that is a hub, or the first that is none.
func (f largeFleet) pick(hub bool, zone string) event.Host {
	i := slices.IndexFunc(f.hosts, func(h event.Host) bool { return h.Zone == zone && slices.Contains(f.hubs, h.Name) == hub })
	return f.hosts[i]
}

// start returns a host that is connected to some others and is past its startupGrace.
func (f largeFleet) start(t *testing.T, self event.Host, connected ...event.Host) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Second, alive: append([]event.Host{self}, connected...)}
	r.p = &Component{Self: self, KeyOwners: r, Membership: r}
	r.step(event.ConfigInForce{Site: testSite()})
	r.step(event.HostsChanged{Hosts: []event.Host{self}}) // the others are read from the store later
	r.tick(50 * time.Millisecond)
	r.step(event.HostsChanged{Hosts: f.hosts, Hubs: f.hubs})
	r.tick(startupGrace)
	r.tick(50 * time.Millisecond)
	return r
}

// The owner of a job dies in a large fleet. The host with copies of its texts must take the job over first, and a host
// that learnt of the job only from a third one must not.
func TestSuccessorInALargeFleet(t *testing.T) {
	f := newLargeFleet()
	self, owner, other := f.hosts[0], f.hosts[1], f.hosts[2]
	more := f.hosts[3]
	cases := map[string]struct {
		from  string        // host that sends the news of the job
		next  string        // copy host that the news names
		limit time.Duration // after the owner's end, 0 for never
	}{
		"has the copies":      {owner.Name, self.Name, 100 * time.Millisecond},
		"another has them":    {owner.Name, other.Name, (maxRank + 1) * rankDelay},
		"nobody has them":     {owner.Name, "", (maxRank + 1) * rankDelay},
		"told by a third":     {other.Name, other.Name, 0},
		"named, but by a hub": {other.Name, self.Name, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.start(t, self, owner, other, more)
			news := wire.JobNews{Job: "j1", Host: owner.Name, Incarnation: "1", Next: c.next}
			r.step(event.PeerReceived{Host: c.from, Message: wire.Message{News: &news}})
			r.alive = []event.Host{self, other, more}
			end, took := r.now, time.Duration(0)
			for r.now < end+10*time.Second && took == 0 {
				r.tick(50 * time.Millisecond)
				if len(take[event.TakeJob](r)) > 0 {
					took = r.now - end
				}
			}
			if c.limit == 0 && took != 0 || c.limit != 0 && (took == 0 || took > c.limit) {
				t.Errorf("taken %s after the owner's end, want within %s (0 for never)", took, c.limit)
			}
		})
	}
}

// A host accepts a job and is gone for good before it has announced it to any other host. The job must be taken over once
// a reader asks another host for it, but not when its owner is alive, the job has ended or this host is cut off.
func TestSoughtJobIsTakenOver(t *testing.T) {
	f := newLargeFleet()
	self, owner := f.hosts[0], f.hosts[1]
	cases := map[string]struct {
		connected []event.Host
		seen      event.JobSeen
		taken     bool
	}{
		"owner is gone":        {f.hosts[2:6], event.JobSeen{Job: "j1", Host: owner.Name, Incarnation: "1"}, true},
		"owner started again":  {append([]event.Host{{Name: owner.Name, Incarnation: "2"}}, f.hosts[2:6]...), event.JobSeen{Job: "j1", Host: owner.Name, Incarnation: "1"}, true},
		"owner lives":          {append([]event.Host{owner}, f.hosts[2:6]...), event.JobSeen{Job: "j1", Host: owner.Name, Incarnation: "1"}, false},
		"job has ended":        {f.hosts[2:6], event.JobSeen{Job: "j1", Host: owner.Name, Incarnation: "1", Ended: true}, false},
		"this host is cut off": {nil, event.JobSeen{Job: "j1", Host: owner.Name, Incarnation: "1"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.start(t, self, c.connected...)
			r.step(event.JobSought{Seen: c.seen})
			for range 40 {
				r.tick(50 * time.Millisecond)
			}
			if got := len(take[event.TakeJob](r)) > 0; got != c.taken {
				t.Errorf("taken: %v, want %v", got, c.taken)
			}
		})
	}
}

// A reader asks a host that is not connected to the owner of a job and does not know the job. Hubs must forward each
// piece of news once, so that such hosts learn of the job.
func TestHubsPassNewsOn(t *testing.T) {
	f := newLargeFleet()
	hub, plain, far := f.pick(true, "a"), f.pick(false, "a"), f.pick(true, "b")
	news := wire.JobNews{Job: "j1", Host: plain.Name, Incarnation: "1"}
	cases := map[string]struct {
		self, from event.Host
		want       []string
	}{
		"hub gets it from its zone":  {hub, plain, []string{far.Name}},
		"hub gets it from elsewhere": {hub, far, []string{plain.Name}},
		"no hub":                     {plain, hub, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.start(t, c.self, hub, plain, far)
			for range 2 { // the second time the news is not new
				r.step(event.PeerReceived{Host: c.from.Name, Message: wire.Message{News: &news}})
			}
			var got []string
			for _, s := range take[event.SendPeer](r) {
				if s.Message.News != nil && s.Message.News.Job == "j1" {
					got = append(got, s.Host)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("hosts that got the news (-want +got):\n%s", diff)
			}
		})
	}
}

// All hosts of a large fleet lose power. The few hosts that list the jobs after their start must offer them to others
// instead of running them all.
func TestFoundJobsAreOffered(t *testing.T) {
	const jobs = 40
	f := newLargeFleet()
	self := f.pick(true, "a")
	r := f.start(t, self, f.hosts[3:9]...)
	var list event.JobsListed
	for i := range jobs {
		list.Jobs = append(list.Jobs, event.JobSeen{Job: fmt.Sprintf("j%d", i), Host: self.Name, Incarnation: "0"})
	}
	r.step(list)
	r.tick(50 * time.Millisecond)
	offered := map[string]int{}
	for _, s := range take[event.SendPeer](r) {
		if n := s.Message.News; n != nil && n.Host == "" && n.Next == s.Host {
			offered[s.Host]++
		}
	}
	taken := len(take[event.TakeJob](r))
	for host, n := range offered {
		if n > jobs/3 {
			t.Errorf("%s was offered %d of %d jobs", host, n, jobs)
		}
		taken += n
	}
	if taken != jobs || len(offered) != 6 {
		t.Errorf("%d jobs taken or offered to %d hosts, want all %d, to 6", taken, len(offered), jobs)
	}
}

// A host that is offered a job that another one has found must take it over at once.
func TestOfferIsTaken(t *testing.T) {
	f := newLargeFleet()
	self, hub := f.pick(false, "a"), f.pick(true, "a")
	r := f.start(t, self, hub, f.hosts[9], f.hosts[10])
	r.step(event.PeerReceived{Host: hub.Name, Message: wire.Message{News: &wire.JobNews{Job: "j1", Epoch: 3, Next: self.Name}}})
	r.tick(50 * time.Millisecond)
	if diff := cmp.Diff([]event.TakeJob{{Job: "j1", Epoch: 3}}, take[event.TakeJob](r)); diff != "" {
		t.Errorf("takes (-want +got):\n%s", diff)
	}
}

// All hosts of a large fleet start at the same time. Since a list contains every job in full, only a few hubs may list
// the jobs.
func TestHubsLookForJobs(t *testing.T) {
	f := newLargeFleet()
	byName := map[string]event.Host{}
	for _, h := range f.hosts {
		byName[h.Name] = h
	}
	plain, hub := f.pick(false, "a"), f.pick(true, "a")
	var hubs []event.Host
	for _, name := range f.hubs {
		hubs = append(hubs, byName[name])
	}
	lists := func(self event.Host, connected ...event.Host) int {
		r := f.start(t, self, connected...)
		for range 100 {
			r.tick(50 * time.Millisecond)
		}
		return min(1, len(take[event.ListJobs](r)))
	}
	all := 0
	for i, h := range hubs {
		all += lists(h, slices.Delete(slices.Clone(hubs), i, i+1)...)
	}
	got := []int{all, lists(plain, hub), lists(plain, f.hosts[9]), lists(hub)}
	if diff := cmp.Diff([]int{listingHubs, 0, 1, 1}, got); diff != "" {
		t.Errorf("hosts that list the jobs: hubs, other host, other host without a hub, only hub (-want +got):\n%s", diff)
	}
}

// The owner of a job names a new copy host while news of the previous one is still being forwarded between hubs. The hubs
// must stop forwarding after a bounded number of messages.
func TestNewsComeToAnEnd(t *testing.T) {
	f := newLargeFleet()
	owner := f.pick(false, "a")
	var hosts []event.Host
	for _, h := range f.hosts {
		if slices.Contains(f.hubs, h.Name) {
			hosts = append(hosts, h)
		}
	}
	rigs := map[string]*rig{}
	for _, h := range hosts {
		rigs[h.Name] = f.start(t, h, append(slices.Clone(hosts), owner)...)
	}
	type delivery struct {
		to   string
		news event.PeerReceived
	}
	var inFlight []delivery
	for i, next := range []string{"x", "y", "x", "y"} { // each hub gets the epochs in another order
		for j, h := range hosts {
			n := wire.JobNews{Job: "j1", Host: owner.Name, Incarnation: "1", Next: next, Epoch: uint64((i + j) % 2)}
			inFlight = append(inFlight, delivery{h.Name, event.PeerReceived{Host: owner.Name, Message: wire.Message{News: &n}}})
		}
	}
	messages := 0
	for len(inFlight) > 0 {
		messages++
		if messages > 200 {
			t.Fatal("hubs forward the news without end")
		}
		d := inFlight[0]
		inFlight = inFlight[1:]
		r := rigs[d.to]
		r.effects = nil
		r.step(d.news)
		for _, e := range take[event.SendPeer](r) {
			if _, hub := rigs[e.Host]; hub && e.Message.News != nil {
				inFlight = append(inFlight, delivery{e.Host, event.PeerReceived{Host: d.to, Message: e.Message}})
			}
		}
	}
}
