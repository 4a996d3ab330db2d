package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Two hosts had begun a job before it was stored, one of them cut off in one direction. Each took the other for the owner when it heard of
// it, and the copies of the other's texts for those of its own runs: events were missing in the texts that it listed.
func TestOtherHostThatBeganAJobIsNoOwner(t *testing.T) {
	claim := func(epoch uint64) event.PeerReceived {
		return event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "j1", Host: "h2", Incarnation: "1", Epoch: epoch}}}
	}
	begun := func(r *rig) {
		r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 2, noHints)})
		r.tick(startUnstoredAfter)
	}
	cases := map[string]struct {
		own   func(r *rig)
		epoch uint64 // of the other's claim
		owner string // whom this host's readers and copies go by
		runs  bool
	}{
		"stored here":           {func(r *rig) { r.submit("j1", testHead(1, 2, noHints)) }, 0, "h1", true},
		"begun here":            {begun, 0, "h1", true},
		"taken over by another": {func(r *rig) { r.submit("j1", testHead(1, 2, noHints)) }, 1, "h2", false},
		"not run here":          {func(*rig) {}, 0, "h2", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			c.own(r)
			r.step(claim(c.epoch))
			owner := ""
			for _, k := range take[event.KnowJob](r) {
				owner = k.Seen.Host
			}
			if diff := cmp.Diff(c.owner, owner); diff != "" {
				t.Errorf("owner (-want +got):\n%s", diff)
			}
			if j := r.p.jobs["j1"]; (j != nil) != c.runs {
				t.Errorf("the host runs the job: %v", j != nil)
			}
			r.tick(time.Second)
		})
	}
}
