package lots

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// TestOutage has a trainer request a lot from a holder whose lease expired in a store outage.
func TestOutage(t *testing.T) {
	const outage = 10 * time.Second
	type reply struct {
		host, incarnation string
		epoch             uint64
		contactMS         int64
	}
	cases := map[string]struct {
		replies []reply
		wait    time.Duration
		kind    kinds.Kind
	}{
		"all hosts replied":           {replies: []reply{{"h2", "i2", 1, 9500}, {"h3", "i3", 1, -1}}},
		"one host missing":            {replies: []reply{{"h2", "i2", 1, 9500}}, wait: probeTimeout, kind: kinds.StoreUnavailable},
		"one host reached the store":  {replies: []reply{{"h2", "i2", 1, 9500}, {"h3", "i3", 1, 100}}, wait: probeTimeout, kind: kinds.StoreUnavailable},
		"one host knows a successor":  {replies: []reply{{"h2", "i2", 1, 9500}, {"h3", "i3", 2, 9500}}, wait: probeTimeout, kind: kinds.StoreUnavailable},
		"one host restarted":          {replies: []reply{{"h2", "i2", 1, 9500}, {"h3", "i4", 1, -1}}, wait: probeTimeout, kind: kinds.StoreUnavailable},
		"answers of an earlier probe": {wait: probeTimeout, kind: kinds.StoreUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newOutage(outage)
			if _, ok := d.askLot(7, "one", 0); ok {
				t.Fatal("the request was answered before the proof")
			}
			id := d.peerMessages[len(d.peerMessages)-1].Message.Probe.ID
			for _, r := range c.replies {
				d.step(event.PeerReceived{Host: r.host, Incarnation: r.incarnation, Message: wire.Message{
					ProbeReply: &wire.ProbeReply{ID: id, Duty: dutyName(), Epoch: r.epoch, ContactMS: r.contactMS},
				}})
			}
			d.tick(c.wait)
			a, ok := d.answers[7]
			if !ok || a.Kind != c.kind {
				t.Errorf("answered %v with kind %q, want %q", ok, a.Kind, c.kind)
			}
		})
	}
}

// newOutage returns a lapsed holder with a sealed lot after a store outage of the given length, whose lease ended 1 s into
// the outage.
func newOutage(outage time.Duration) *daemon {
	d := newDaemon(newSpec(), 1)
	d.step(event.HostsChanged{Hosts: []event.Host{
		{Name: "h1", Incarnation: "i1"}, {Name: "h2", Incarnation: "i2"}, {Name: "h3", Incarnation: "i3"},
	}})
	d.gainDuty(1, nil)
	d.buildLots(1)
	d.askLot(1, "one", 0)
	d.storeWrites()
	d.leaseEnd = d.now + time.Second
	d.tick(time.Millisecond)
	d.now += outage
	d.step(event.DutyLost{Duty: dutyName()})
	return d
}

// TestProbeReply checks the reply of a host to a probe for a duty that it does not hold.
func TestProbeReply(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Duties: []wire.DutyHeld{{Duty: dutyName(), Epoch: 4}}}})
	d.step(event.ObjectDone{})
	d.now += 300 * time.Millisecond
	d.step(event.PeerReceived{Host: "h2", Message: wire.Message{Probe: &wire.Probe{ID: 9, Duty: dutyName()}}})
	got := d.peerMessages[0].Message.ProbeReply
	if got.ID != 9 || got.Epoch != 4 || got.ContactMS != 300 {
		t.Errorf("%+v", got)
	}
}
