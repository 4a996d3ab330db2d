package batch

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	simHosts = 3
	simItems = 4
)

// simulation runs several hosts with their store and their engines. Calls are performed in any order, their answers may
// be lost or late, and hosts crash and start again. Copies of the jobs that run may reach other hosts.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	hosts    []*simHost
	calls    []simCall
	jobs     map[string]*simJob
	jobCount int
	// submissions is the number of submissions, by which their numbers differ.
	submissions int
	endCalls    map[uint64]bool   // numbers of the calls that end a job
	noFaults    bool              // calls and messages no longer fail
	largeFleet  bool              // two hosts are hubs, and a job whose owner told nobody is found by its readers
	rivals      bool              // two organisations submit jobs of the same ids
	submitters  map[uint64]string // organisations of the submissions by number
}

type simHost struct {
	sim    *simulation
	name   string
	starts int
	p      *Component
	inbox  []event.PeerReceived // on their way to this host
	copyTo map[string]string    // host that gets copies of a job of this one
	copies map[string]simCopy   // jobs of which this host has a copy
}

// simCopy is the copy of an organisation's job with the host that runs it.
type simCopy struct {
	organisation string
	owner        event.JobSeen
}

// simCall is an effect that a host's executor has not performed yet.
type simCall struct {
	host   *simHost
	starts int // of the host when it made the call
	effect event.Effect
	// unknownEnd tells that the effect is an EndJob that the store may have taken, so that it can't be refused any more.
	unknownEnd bool
}

// simJob is a job with its record in the store and the answers that its callers got.
type simJob struct {
	id       string
	head     event.JobHead
	stored   bool
	storedOf string // organisation of the stored job
	owner    event.JobSeen
	chunks   [][]int
	accepted bool
	refused  bool // an answer said that nothing runs
	unknown  bool // an answer left open whether anything runs
	ran      bool
	endAsked bool // and not refused by every answer
	endAcked bool // an answer said that the job has ended
	endCalls int  // that are not answered
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Second, jobs: map[string]*simJob{}, endCalls: map[uint64]bool{}, submitters: map[uint64]string{}}
	s.largeFleet, s.rivals = rapid.Bool().Draw(t, "large fleet"), rapid.Bool().Draw(t, "rivals")
	for i := range simHosts {
		s.hosts = append(s.hosts, &simHost{sim: s, name: fmt.Sprintf("h%d", i+1)})
	}
	for _, h := range s.hosts {
		h.start()
	}
	return s
}

// OrganisationOf returns the organisation of a key, which is its name.
func (h *simHost) OrganisationOf(_ time.Duration, key string) (string, kinds.Kind) { return key, "" }

func (h *simHost) Alive(time.Duration) []event.Host {
	var all []event.Host
	for _, other := range h.sim.hosts {
		all = append(all, other.self())
	}
	return all
}

func (h *simHost) self() event.Host {
	return event.Host{Name: h.name, Incarnation: fmt.Sprint(h.starts)}
}

func (h *simHost) start() {
	h.starts++
	h.p = &Component{Self: h.self(), KeyOwners: h, Membership: h, NewStore: h.starts == 1}
	h.inbox, h.copyTo, h.copies = nil, map[string]string{}, map[string]simCopy{}
	if h.sim.largeFleet {
		h.step(event.HostsChanged{Hosts: h.Alive(0), Hubs: []string{"h1", "h2"}})
	}
	h.step(event.ConfigInForce{Site: testSite()})
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 1, Endpoints: []wire.Endpoint{testEngine("e1", 1), testEngine("e2", 1)}}})
	for _, other := range h.sim.hosts {
		if other != h && other.p != nil {
			other.step(event.PeerUp{Host: h.name, Incarnation: fmt.Sprint(h.starts)})
			other.step(event.BeatSeen{Host: h.name, Anchored: true})
			h.step(event.BeatSeen{Host: other.name, Anchored: true})
		}
	}
}

func (h *simHost) step(ev event.Event) {
	var out event.Batch
	h.p.Step(h.sim.now, ev, &out)
	for _, effect := range out.Effects {
		h.sim.handleEffect(h, effect)
	}
}

// handleEffect takes an effect. Answers and messages take effect at once; calls wait until they are performed.
func (s *simulation) handleEffect(h *simHost, effect event.Effect) {
	switch e := effect.(type) {
	case event.JobAnswer:
		s.noteAnswer(e)
	case event.SendPeer:
		for _, other := range s.hosts {
			if other.name == e.Host {
				other.inbox = append(other.inbox, event.PeerReceived{Host: h.name, Message: e.Message})
			}
		}
	case event.CopyJob:
		h.copyTo[e.Job] = e.To
	case event.DropJob:
		delete(h.copies, e.Job)
	case event.RunItem:
		s.noteRun(e.Job)
		s.calls = append(s.calls, simCall{host: h, starts: h.starts, effect: effect})
	case event.StoreChunk:
		s.checkLister(h, e.Job)
		s.calls = append(s.calls, simCall{host: h, starts: h.starts, effect: effect})
	case event.KeepJob, event.TakeJob, event.CheckJob, event.ListJobs, event.EndJob, event.ScoreItem, event.StopItem:
		s.calls = append(s.calls, simCall{host: h, starts: h.starts, effect: effect})
	}
}

// jobOf returns the id of the job that a submission is for; the last three digits of its number are those of the job.
func jobOf(seq uint64) string { return fmt.Sprintf("j%d", seq%1000) }

// submit submits a new job, or an earlier one again, to any host.
func (s *simulation) submit() {
	n := s.jobCount
	if s.jobCount == 0 || rapid.Bool().Draw(s.t, "new job") {
		if s.jobCount == 4 {
			return
		}
		n = s.jobCount
		s.jobCount++
		id := jobOf(uint64(n))
		head := testHead(2, simItems/2, noHints)
		s.jobs[id] = &simJob{id: id, head: head}
	} else {
		n = rapid.IntRange(0, s.jobCount-1).Draw(s.t, "job")
	}
	s.submitAt(n)
}

func (s *simulation) submitAt(n int) {
	j := s.jobs[jobOf(uint64(n))]
	seq, organisation := s.nextSeq(n), "North"
	if s.rivals && rapid.Bool().Draw(s.t, "of the other organisation") {
		organisation = "South"
	}
	s.submitters[seq] = organisation
	s.hostOf("host").step(event.JobCalled{Seq: seq, Call: event.JobSubmit, KeyHash: organisation, Path: "/r/x", Job: j.id, Head: j.head})
}

// nextSeq returns a number for a call about job n. A host never uses a number twice.
func (s *simulation) nextSeq(n int) uint64 {
	s.submissions++
	const maxDraw = 1_000_000
	draw := rapid.IntRange(1, maxDraw).Draw(s.t, "seq")
	return uint64(n) + 1000*uint64(draw+(maxDraw+1)*s.submissions)
}

// read has a caller read a job at any host, which reports an owner that does not run it.
func (s *simulation) read() {
	if s.jobCount == 0 {
		return
	}
	j := s.jobs[jobOf(uint64(rapid.IntRange(0, s.jobCount-1).Draw(s.t, "job that is read")))]
	h := s.hostOf("host that is read")
	seen := j.owner
	if k := h.p.known[j.id]; k != nil && k.Host != "" {
		seen = k.JobSeen
	}
	runs := func(o *simHost) bool { return o.p.jobs[j.id] != nil && (o == h || o.name == seen.Host) }
	if !j.stored || seen.Ended || slices.ContainsFunc(s.hosts, runs) {
		return
	}
	h.step(event.JobSought{Seen: seen})
}

func (s *simulation) hostOf(label string) *simHost {
	return s.hosts[rapid.IntRange(0, simHosts-1).Draw(s.t, label)]
}

// end ends a job at any host.
func (s *simulation) end() {
	if s.jobCount == 0 || rapid.IntRange(0, 3).Draw(s.t, "ends") > 0 {
		return
	}
	n := rapid.IntRange(0, s.jobCount-1).Draw(s.t, "ended job")
	j, seq := s.jobs[jobOf(uint64(n))], s.nextSeq(n)
	s.endCalls[seq] = true
	j.endCalls++
	s.hostOf("host that ends").step(event.JobCalled{Seq: seq, Call: event.JobEnd, Job: j.id})
}

// performOne performs one call. It may fail before or after its effect, or its host may have restarted meanwhile.
func (s *simulation) performOne() {
	if len(s.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(s.t, "call")
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	outcome := "done"
	if !s.noFaults && !c.unknownEnd {
		outcome = rapid.SampledFrom([]string{"done", "done", "done", "lost", "refused"}).Draw(s.t, "outcome")
	}
	ev := s.perform(c, outcome)
	if ev != nil && c.starts == c.host.starts {
		c.host.step(ev)
	}
}

// perform applies a call to the store or to an engine and returns the event that ends it.
func (s *simulation) perform(c simCall, outcome string) event.Event {
	switch e := c.effect.(type) {
	case event.KeepJob:
		return s.keep(e, outcome)
	case event.StoreChunk:
		return s.storeChunk(e, outcome)
	case event.TakeJob:
		return s.takeJob(c.host, c.starts, e, outcome)
	case event.CheckJob:
		return s.checkJob(e, outcome)
	case event.EndJob:
		return s.endJob(c, e, outcome)
	case event.ListJobs:
		return s.listJobs(outcome)
	case event.RunItem:
		return s.runItem(e, outcome)
	case event.ScoreItem:
		return event.ItemScored{Job: e.Job, Item: e.Item, Status: 200}
	case event.StopItem:
		return event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Reason: event.ReasonStopped}
	}
	return nil
}

func (s *simulation) runItem(e event.RunItem, outcome string) event.Event {
	done := event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Events: 3, Versions: []uint64{1}}
	if outcome != "done" {
		done.Reason, done.Events = rapid.SampledFrom([]string{event.ReasonBroken, event.ReasonRefused, event.ReasonSilent}).Draw(s.t, "reason"), 1
	}
	return done
}

// deliver delivers one message between hosts, or loses it.
func (s *simulation) deliver() {
	h := s.hosts[rapid.IntRange(0, simHosts-1).Draw(s.t, "to")]
	if len(h.inbox) == 0 {
		return
	}
	first := h.inbox[0]
	h.inbox = h.inbox[1:]
	if s.noFaults || rapid.IntRange(0, 4).Draw(s.t, "message arrives") > 0 {
		h.step(first)
	}
}

func (s *simulation) tick() {
	s.now += time.Duration(rapid.IntRange(10, 700).Draw(s.t, "ms")) * time.Millisecond
	for _, h := range s.hosts {
		h.step(event.Tick{})
		s.sendCopies(h)
		var beat wire.Beat
		h.p.FillBeat(s.now, &beat)
		for _, other := range s.hosts {
			if other != h && (s.noFaults || rapid.Bool().Draw(s.t, "heartbeat arrives")) {
				other.step(event.BeatSeen{Host: h.name, Beat: beat, Anchored: true})
			}
		}
	}
}

// sendCopies copies the jobs that a host runs to the hosts that are to take them over, unless a copy is lost. A host has a copy of
// its own jobs.
func (s *simulation) sendCopies(h *simHost) {
	for _, j := range h.p.sortedJobs() {
		id := j.head.ID
		seen := simCopy{j.head.Organisation, event.JobSeen{Job: id, Host: h.name, Incarnation: fmt.Sprint(h.starts)}}
		h.copies[id] = seen
		for _, other := range s.hosts {
			if other.name == h.copyTo[id] && (s.noFaults || rapid.Bool().Draw(s.t, "copy arrives")) {
				other.copies[id] = seen
			}
		}
	}
}

// crash ends a host's process and starts another one.
func (s *simulation) crash() {
	if rapid.IntRange(0, 5).Draw(s.t, "crashes") > 0 {
		return
	}
	h := s.hosts[rapid.IntRange(0, simHosts-1).Draw(s.t, "host that crashes")]
	for _, c := range s.calls {
		if k, ok := c.effect.(event.KeepJob); ok && c.host == h && c.starts == h.starts {
			s.jobs[k.Job].unknown = true // its caller gets no answer, so it can't know whether anything runs
		}
	}
	h.start()
}

// performAll performs the calls to the store and delivers the messages that are under way, without faults. Runs of items go on.
func (s *simulation) performAll() {
	const maxCalls = 10000
	for range maxCalls {
		i := slices.IndexFunc(s.calls, func(c simCall) bool {
			_, run := c.effect.(event.RunItem)
			return !run
		})
		to := slices.IndexFunc(s.hosts, func(h *simHost) bool { return len(h.inbox) > 0 })
		switch {
		case i >= 0:
			c := s.calls[i]
			s.calls = slices.Delete(s.calls, i, i+1)
			if ev := s.perform(c, "done"); ev != nil && c.starts == c.host.starts {
				c.host.step(ev)
			}
		case to >= 0:
			first := s.hosts[to].inbox[0]
			s.hosts[to].inbox = s.hosts[to].inbox[1:]
			s.hosts[to].step(first)
		default:
			return
		}
	}
	s.t.Fatal("calls without end")
}

// GoString keeps the failure report of rapid short.
func (h *simHost) GoString() string { return h.name }
