package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/wire"
)

// fakeLinks are reach.Links of which the test decides who is cut off.
type fakeLinks struct {
	reach.Unbroken
	self   bool
	others []string
}

func (f *fakeLinks) CutOff(time.Duration) bool   { return f.self }
func (f *fakeLinks) HostCutOff(host string) bool { return slices.Contains(f.others, host) }

func newLinksRig(t *testing.T) (*rig, *fakeLinks) {
	t.Helper()
	links := &fakeLinks{}
	r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
	r.p.Links = links
	return r, links
}

// A host that had lost its links to the engines kept its jobs, whose items waited until the links were back.
func TestCutOffHostGivesItsJobsAway(t *testing.T) {
	r, links := newLinksRig(t)
	r.submit("j1", testHead(1, 3, noHints))
	runs := take[event.RunItem](r)
	r.effects = nil
	links.self = true
	r.step(event.LinksChanged{CutOff: true})
	stopped := take[event.StopItem](r)
	if len(stopped) != len(runs) {
		t.Fatalf("%d of %d runs stopped", len(stopped), len(runs))
	}
	for _, s := range stopped {
		r.step(event.ItemEnded{Job: "j1", Item: s.Item, Attempt: s.Attempt, Reason: event.ReasonStopped, Events: 3, Versions: []uint64{1}})
	}
	r.tick(50 * time.Millisecond)
	if flushes := take[event.FlushCopies](r); len(flushes) != 1 {
		t.Fatalf("the copies were flushed %d times", len(flushes))
	}
	r.step(event.CopiesFlushed{})
	if started := take[event.RunItem](r); len(started) > 0 {
		t.Errorf("items started at a host without links: %v", started)
	}
	want := []wire.JobNews{{Job: "j1", Epoch: 0, Next: "h2"}}
	if diff := cmp.Diff(want, newsTo(r, "h2")); diff != "" {
		t.Errorf("news of the job's owner (-want +got):\n%s", diff)
	}
	if len(r.p.jobs) > 0 {
		t.Error("the host still runs the job")
	}
	r.effects = nil
	r.tick(5 * time.Second)
	if taken := take[event.TakeJob](r); len(taken) > 0 {
		t.Errorf("the host takes the job back while it is cut off: %v", taken)
	}
}

// A job that came to a host after the host had lost its links stayed there for the whole cut.
func TestLateJobIsGivenAwayToo(t *testing.T) {
	r, links := newLinksRig(t)
	links.self = true
	r.step(event.LinksChanged{CutOff: true})
	r.tick(time.Second)
	head := testHead(1, 1, noHints)
	head.ID, head.Route = "j1", "rollouts"
	r.step(event.JobTaken{Job: "j1", Epoch: 2, Head: head})
	for range 3 {
		r.tick(flushTimeout)
	}
	if len(r.p.jobs) > 0 || len(newsTo(r, "h2")) != 1 {
		t.Errorf("jobs %d, news %v", len(r.p.jobs), newsTo(r, "h2"))
	}
}

// newsTo returns the news without an owner that a host was sent last.
func newsTo(r *rig, host string) []wire.JobNews {
	var all []wire.JobNews
	for _, s := range take[event.SendPeer](r) {
		if s.Host == host && s.Message.News != nil && s.Message.News.Host == "" {
			all = append(all, *s.Message.News)
		}
	}
	return all
}

// A run that could not be stopped, or copies that were not flushed, must not keep the jobs at a host without links.
func TestHandoverEndsInTime(t *testing.T) {
	r, links := newLinksRig(t)
	r.submit("j1", testHead(1, 1, noHints))
	links.self = true
	r.step(event.LinksChanged{CutOff: true})
	r.tick(settleTimeout)
	r.tick(flushTimeout)
	if len(r.p.jobs) > 0 {
		t.Error("the host still runs the job")
	}
}

// A host whose links came back before its jobs were given away must go on with them.
func TestLinksBackBeforeTheHandover(t *testing.T) {
	r, links := newLinksRig(t)
	r.submit("j1", testHead(1, 1, noHints))
	links.self = true
	r.step(event.LinksChanged{CutOff: true})
	stop := take[event.StopItem](r)[0]
	r.step(event.ItemEnded{Job: "j1", Item: stop.Item, Attempt: stop.Attempt, Reason: event.ReasonStopped, Events: 3, Versions: []uint64{1}})
	r.effects = nil
	links.self = false
	r.step(event.LinksChanged{})
	r.tick(50 * time.Millisecond)
	r.step(event.CopiesFlushed{})
	if got := r.running(); len(got) != 1 || len(r.p.jobs) != 1 {
		t.Errorf("runs %v, jobs %d", got, len(r.p.jobs))
	}
}

// Submissions and takeovers went to hosts without links.
func TestJobsGoToHostsWithLinks(t *testing.T) {
	for name, c := range map[string]struct {
		self   bool
		others []string
		want   string // host that takes a submission, "" for the own one
		takes  bool
	}{
		"AllReach":   {false, nil, "", true},
		"SelfCut":    {true, nil, "h2", false},
		"OtherCut":   {false, []string{"h2"}, "", true},
		"BothCut":    {true, []string{"h2"}, "", false},
		"ThirdIsCut": {true, []string{"h3"}, "h2", false},
	} {
		t.Run(name, func(t *testing.T) {
			r, links := newLinksRig(t)
			links.self, links.others = c.self, c.others
			r.step(event.JobCalled{Seq: 5, Call: event.JobPlace, Path: "/r/x", Job: "j9"})
			if diff := cmp.Diff([]event.JobAnswer{{Seq: 5, Organisation: "North", Host: c.want}}, take[event.JobAnswer](r)); diff != "" {
				t.Errorf("placement (-want +got):\n%s", diff)
			}
			r.now += startupGrace
			r.step(event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "j2", Next: "h1"}}})
			r.tick(2 * time.Second)
			if took := len(take[event.TakeJob](r)) > 0; took != c.takes {
				t.Errorf("takes an orphaned job: %v, want %v", took, c.takes)
			}
		})
	}
}

// An engine stayed paused for what were failures of this host's links.
func TestFailuresOfLinksAreForgotten(t *testing.T) {
	r, _ := newLinksRig(t)
	r.submit("j1", testHead(1, 1, noHints))
	for range 4 {
		for _, e := range take[event.RunItem](r) {
			r.effects = nil
			r.step(event.ItemEnded{Job: "j1", Item: 0, Attempt: e.Attempt, Reason: event.ReasonBroken})
		}
	}
	if got := r.running(); len(got) > 0 {
		t.Fatalf("no engine is paused: %v", got)
	}
	r.step(event.LinksChanged{})
	if got := r.running(); len(got) != 1 {
		t.Errorf("runs %v, want one at once", got)
	}
}

// A host that was told to stop while it took a job over said until its exit that it runs the job.
func TestStoppingHostHandsATakenJobOn(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.step(event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "j1", Host: "h2", Incarnation: "1"}}})
	r.alive = []event.Host{{Name: "h1", Zone: "a", Incarnation: "1"}, {Name: "h3", Zone: "b", Incarnation: "1"}}
	r.tick(startupGrace)
	r.tick(time.Second)
	r.tick(time.Second)
	if got := take[event.TakeJob](r); len(got) != 1 {
		t.Fatalf("takes = %v, want one", got)
	}
	r.step(event.StopAsked{})
	r.effects = nil
	head := testHead(1, 1, noHints)
	head.ID = "j1"
	r.step(event.JobTaken{Job: "j1", Epoch: 1, Head: head})
	if diff := cmp.Diff([]event.KnowJob{{Seen: event.JobSeen{Job: "j1", Epoch: 1}}}, take[event.KnowJob](r)); diff != "" {
		t.Errorf("told to the executor (-want +got):\n%s", diff)
	}
	news := wire.JobNews{Job: "j1", Epoch: 1}
	if diff := cmp.Diff([]event.SendPeer{{Host: "h3", Message: wire.Message{News: &news}}}, take[event.SendPeer](r)); diff != "" {
		t.Errorf("told to the other hosts (-want +got):\n%s", diff)
	}
}
