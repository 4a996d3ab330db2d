package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// rig runs the Component of one host beside a host h2.
type rig struct {
	now   time.Duration
	watch *crash.Component
	sent  []wire.CrashNews
	to    []string // hosts that were sent news
	alive []event.Host
}

func newRig() *rig {
	r := &rig{now: time.Minute, alive: []event.Host{{Name: "h1"}, {Name: "h2"}}}
	r.watch = &crash.Component{Self: "h1", Membership: r}
	return r
}

// Alive implements crash.Membership.
func (r *rig) Alive(time.Duration) []event.Host { return r.alive }

func (r *rig) do(f func(out *event.Batch)) {
	var out event.Batch
	f(&out)
	for _, effect := range out.Effects {
		if e, ok := effect.(event.SendPeer); ok {
			r.sent = append(r.sent, e.Message.Crashes...)
			r.to = append(r.to, e.Host)
		}
	}
}

func (r *rig) step(ev event.Event) { r.do(func(out *event.Batch) { r.watch.Step(r.now, ev, out) }) }

func endpointID(name string) wire.LeaveMark { return wire.LeaveMark{Endpoint: name, Incarnation: "1"} }

// run has an endpoint close the connection of a request that was sent after a pause and ran for 50 ms.
func (r *rig) run(id crash.ID, endpoint string) {
	sent := r.now + 10*time.Millisecond
	r.now = sent + 50*time.Millisecond
	r.do(func(out *event.Batch) { r.watch.Closed(r.now, id, endpointID(endpoint), sent, out) })
}

func (r *rig) answered(endpoint string, sent time.Duration) {
	r.step(event.EndpointAnswered{Endpoint: endpoint, Incarnation: "1", Sent: sent})
}

var id = crash.ID{Organisation: "North", Digest: "d"}

func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		course func(r *rig)
		want   crash.Verdict
	}{
		"nothing known": {func(*rig) {}, crash.Clear},
		"one crash":     {func(r *rig) { r.run(id, "e1") }, crash.Suspect},
		"three crashes one after the other": {func(r *rig) {
			r.run(id, "e1")
			r.run(id, "e2")
			r.run(id, "e3")
		}, crash.GivenUp},
		"one endpoint three times": {func(r *rig) {
			r.run(id, "e1")
			r.run(id, "e1")
			r.run(id, "e1")
		}, crash.Suspect},
		"four endpoints at once": {func(r *rig) {
			for n := range 4 {
				r.do(func(out *event.Batch) { r.watch.Closed(r.now, id, endpointID(fmt.Sprint(n)), r.now-time.Second, out) })
			}
		}, crash.Suspect},
		"two endpoints at once, and one after them": {func(r *rig) {
			for n := range 2 {
				r.do(func(out *event.Batch) { r.watch.Closed(r.now, id, endpointID(fmt.Sprint(n)), r.now-time.Second, out) })
			}
			r.run(id, "e3")
		}, crash.GivenUp},
		"another organisation": {func(r *rig) {
			other := crash.ID{Organisation: "South", Digest: "d"}
			r.run(other, "e1")
			r.run(other, "e2")
			r.run(other, "e3")
		}, crash.Clear},
		"an endpoint answers later requests": {func(r *rig) {
			r.run(id, "e1")
			r.run(id, "e2")
			r.run(id, "e3")
			r.answered("e2", r.now+time.Millisecond)
		}, crash.Suspect},
		"an endpoint answers an earlier request": {func(r *rig) {
			r.run(id, "e1")
			r.run(id, "e2")
			r.run(id, "e3")
			r.answered("e3", r.now-40*time.Millisecond)
		}, crash.GivenUp},
		"another incarnation answers": {func(r *rig) {
			r.run(id, "e1")
			r.step(event.EndpointAnswered{Endpoint: "e1", Incarnation: "2", Sent: r.now + time.Second})
		}, crash.Suspect},
		"answered in full": {func(r *rig) {
			r.run(id, "e1")
			r.run(id, "e2")
			r.do(func(out *event.Batch) { r.watch.Completed(r.now, id, out) })
			r.run(id, "e3")
		}, crash.Suspect},
		"long ago": {func(r *rig) {
			r.run(id, "e1")
			r.run(id, "e2")
			r.run(id, "e3")
			r.now += time.Hour
		}, crash.Clear},
		"without a digest": {func(r *rig) {
			r.run(crash.ID{Organisation: "North"}, "e1")
		}, crash.Clear},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			c.course(r)
			if got := r.watch.Verdict(r.now, id); got != c.want {
				t.Errorf("verdict %v, want %v", got, c.want)
			}
		})
	}
}

// What one host has seen must reach the others at once, and those that start later with a heartbeat; and older news must
// not bring back what was cleared.
func TestCrashNews(t *testing.T) {
	seer, hearer, joiner := newRig(), newRig(), newRig()
	seer.run(id, "e1")
	seer.run(id, "e2")
	seer.run(id, "e3")
	hearer.now = 2 * time.Hour // the hosts' clocks differ
	crashes := seer.sent
	hearer.step(event.PeerReceived{Host: "h2", Message: wire.Message{Crashes: crashes}}) // delayed, so that all seem to be at once
	if got := hearer.watch.Verdict(hearer.now, id); got != crash.Suspect {
		t.Errorf("verdict %v at a host that got the news late", got)
	}
	var exact wire.Beat
	seer.watch.FillBeat(seer.now, &exact)
	hearer.step(event.BeatSeen{Host: "h2", Beat: exact})
	if got := hearer.watch.Verdict(hearer.now, id); got != crash.GivenUp {
		t.Errorf("verdict %v at a host that got the news", got)
	}
	var heartbeat wire.Beat
	hearer.watch.FillBeat(hearer.now, &heartbeat)
	joiner.step(event.BeatSeen{Host: "h2", Beat: heartbeat})
	if got := joiner.watch.Verdict(joiner.now, id); got != crash.GivenUp {
		t.Errorf("verdict %v at a host that got a heartbeat, when the seer may be gone", got)
	}
	seer.sent = nil
	seer.now += time.Second
	seer.do(func(out *event.Batch) { seer.watch.Completed(seer.now, id, out) })
	hearer.now += time.Second
	hearer.step(event.PeerReceived{Host: "h2", Message: wire.Message{Crashes: seer.sent}})
	hearer.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Crashes: crashesAged(crashes, time.Second)}})
	if got := hearer.watch.Verdict(hearer.now, id); got != crash.Clear {
		t.Errorf("verdict %v after the request was answered", got)
	}
	joiner.now += time.Second
	joiner.answered("e3", joiner.now)
	joiner.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Crashes: crashesAged(crashes, time.Second)}})
	if got := joiner.watch.Verdict(joiner.now, id); got != crash.Suspect {
		t.Errorf("verdict %v after an endpoint has answered, want %v", got, crash.Suspect)
	}
}

func crashesAged(news []wire.CrashNews, by time.Duration) []wire.CrashNews {
	var aged []wire.CrashNews
	for _, n := range news {
		n.AgeMS += by.Milliseconds()
		aged = append(aged, n)
	}
	return aged
}

// A host that had started after a request was given up took no news of crashes before its own start, and had the request crash
// three endpoints more.
func TestHostLearnsOfCrashesBeforeItsStart(t *testing.T) {
	cases := map[string]struct {
		alive []wire.CrashNews // before the news of the crashes
		want  crash.Verdict
	}{
		"crashes only": {nil, crash.GivenUp},
		"an endpoint had answered before its crash": {[]wire.CrashNews{{Endpoint: "e2", Incarnation: "1", Answered: true, AgeMS: 8000}}, crash.GivenUp},
		"an endpoint has answered since":            {[]wire.CrashNews{{Endpoint: "e2", Incarnation: "1", Answered: true, AgeMS: 1000}}, crash.Suspect},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			old := newRig()
			old.run(id, "e1")
			old.run(id, "e2")
			old.run(id, "e3")
			old.now += 5 * time.Second
			var heartbeat wire.Beat
			old.watch.FillBeat(old.now, &heartbeat)
			started := newRig()
			started.now = 200 * time.Millisecond
			started.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Crashes: c.alive}})
			started.step(event.BeatSeen{Host: "h2", Beat: heartbeat})
			if got := started.watch.Verdict(started.now, id); got != c.want {
				t.Errorf("verdict %v, want %v", got, c.want)
			}
		})
	}
}

// A host that started while many connections broke did not hear of the request that had been given up, and sent it on.
func TestHeartbeatsTellOfGivenUpRequestsFirst(t *testing.T) {
	r, joiner := newRig(), newRig()
	r.run(id, "e1")
	r.run(id, "e2")
	r.run(id, "e3")
	for n := range 500 {
		r.run(crash.ID{Organisation: "North", Digest: fmt.Sprint(n)}, "e4")
	}
	var heartbeat wire.Beat
	r.watch.FillBeat(r.now, &heartbeat)
	joiner.step(event.BeatSeen{Host: "h2", Beat: heartbeat})
	if got := joiner.watch.Verdict(joiner.now, id); got != crash.GivenUp {
		t.Errorf("verdict %v at a host that has started since", got)
	}
}

// In a large fleet hosts of other zones did not hear of a crash until heartbeats had passed it on from hub to hub.
func TestHubsForwardCrashNews(t *testing.T) {
	seer, hub := newRig(), newRig()
	seer.run(id, "e1")
	news := event.PeerReceived{Host: "h2", Message: wire.Message{Crashes: seer.sent}}
	hub.alive = []event.Host{{Name: "h1", Zone: "a"}, {Name: "h2", Zone: "a"}, {Name: "h3", Zone: "a"}, {Name: "h4", Zone: "b"}, {Name: "h5", Zone: "b"}}
	hub.step(event.HostsChanged{Hosts: hub.alive, Hubs: []string{"h1", "h4"}})
	hub.step(news)
	if diff := cmp.Diff([]string{"h3", "h4"}, hub.to); diff != "" {
		t.Errorf("forwarded to (-want +got):\n%s", diff)
	}
	hub.step(news)
	if len(hub.to) > 2 {
		t.Errorf("known news was forwarded: %v", hub.to)
	}
}

// The memory of crashes must be bounded, and a request that is given up must be the last to be forgotten.
func TestMemoryOfCrashesIsBounded(t *testing.T) {
	r := newRig()
	r.run(id, "e1")
	r.run(id, "e2")
	r.run(id, "e3")
	const others = 5000
	for n := range others {
		r.run(crash.ID{Organisation: "North", Digest: fmt.Sprint(n)}, fmt.Sprint("other", n))
	}
	remembered := 0
	for n := range others {
		if r.watch.Verdict(r.now, crash.ID{Organisation: "North", Digest: fmt.Sprint(n)}) != crash.Clear {
			remembered++
		}
	}
	if diff := cmp.Diff([]int{1023, int(crash.GivenUp)}, []int{remembered, int(r.watch.Verdict(r.now, id))}); diff != "" {
		t.Errorf("remembered suspects and the verdict on the harmful request (-want +got):\n%s", diff)
	}
	var heartbeat wire.Beat
	r.watch.FillBeat(r.now, &heartbeat)
	if len(heartbeat.Crashes) > 16 {
		t.Errorf("a heartbeat has %d crashes", len(heartbeat.Crashes))
	}
}
