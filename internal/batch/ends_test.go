package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

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
