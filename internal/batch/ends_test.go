package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// The host that had acknowledged the end of a job was gone before any other host heard of it. Only the store's record tells
// the owner then.
func TestOwnerThatDoesNotHearAllHostsReadsTheRecord(t *testing.T) {
	cases := map[string]struct {
		events []event.Event
		want   int
	}{
		"all are heard":  {nil, 0},
		"disconnected":   {[]event.Event{event.PeerDown{Host: "h2", Incarnation: "1"}}, 1},
		"never heard":    {[]event.Event{event.HostsChanged{Hosts: []event.Host{{Name: "h1"}, {Name: "h2"}, {Name: "h3"}}}}, 1},
		"connected anew": {[]event.Event{event.PeerDown{Host: "h2", Incarnation: "1"}, event.PeerUp{Host: "h2", Incarnation: "2"}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.step(event.HostsChanged{Hosts: r.alive})
			r.submit("j1", testHead(1, 1, noHints))
			for _, ev := range c.events {
				r.step(ev)
			}
			r.tick(ownershipCheckInterval)
			if diff := cmp.Diff(c.want, len(take[event.CheckJob](r))); diff != "" {
				t.Errorf("reads of the record (-want +got):\n%s", diff)
			}
		})
	}
}

// The news of a job's end was sent once and got lost with a silent connection. The owner ran the whole job although its
// heartbeats told every host that it did not know.
func TestEndIsRepeatedToAnOwnerThatMissedIt(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	owned := wire.JobNews{Job: "j1", Host: "h2", Incarnation: "1", Route: "rollouts", Items: 1}
	r.step(event.BeatSeen{Host: "h2", Anchored: true, Beat: wire.Beat{Jobs: []wire.JobNews{owned}}})
	r.step(event.PeerReceived{Host: "h3", Message: wire.Message{News: &wire.JobNews{Job: "j1", Ended: true}}})
	cases := []struct {
		name string
		wait time.Duration
		jobs []wire.JobNews
		want int
	}{
		{"named again", 0, []wire.JobNews{owned}, 1},
		{"named at once", endRepeatInterval / 2, []wire.JobNews{owned}, 0},
		{"still named", endRepeatInterval, []wire.JobNews{owned}, 1},
		{"no longer named", time.Second, nil, 0},
	}
	for _, c := range cases {
		r.effects = nil
		r.now += c.wait
		r.step(event.BeatSeen{Host: "h2", Anchored: true, Beat: wire.Beat{Jobs: c.jobs}})
		sent := take[event.SendPeer](r)
		if diff := cmp.Diff(c.want, len(sent)); diff != "" {
			t.Fatalf("%s: messages (-want +got):\n%s", c.name, diff)
		}
		for _, s := range sent {
			if s.Host != "h2" || s.Message.News == nil || !s.Message.News.Ended {
				t.Errorf("%s: sent %+v to %s, want the end of the job to its owner", c.name, s.Message.News, s.Host)
			}
		}
	}
}
