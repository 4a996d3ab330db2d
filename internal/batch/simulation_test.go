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
	endCalls    map[uint64]bool // numbers of the calls that end a job
	noFaults    bool            // calls and messages no longer fail
	largeFleet  bool            // two hosts are hubs, and a job whose owner told nobody is found by its readers
}

type simHost struct {
	sim    *simulation
	name   string
	starts int
	p      *Component
	inbox  []event.PeerReceived     // on their way to this host
	copyTo map[string]string        // host that gets copies of a job of this one
	copies map[string]event.JobSeen // jobs of which this host has a copy, with the host that runs them
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
	s := &simulation{t: t, now: time.Second, jobs: map[string]*simJob{}, endCalls: map[uint64]bool{}, largeFleet: rapid.Bool().Draw(t, "large fleet")}
	for i := range simHosts {
		s.hosts = append(s.hosts, &simHost{sim: s, name: fmt.Sprintf("h%d", i+1)})
	}
	for _, h := range s.hosts {
		h.start()
	}
	return s
}

func (h *simHost) OrganisationOf(time.Duration, string) (string, kinds.Kind) { return "North", "" }

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
	h.inbox, h.copyTo, h.copies = nil, map[string]string{}, map[string]event.JobSeen{}
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
	case event.KeepJob, event.TakeJob, event.CheckJob, event.ListJobs, event.EndJob, event.ScoreItem, event.StoreChunk, event.StopItem:
		s.calls = append(s.calls, simCall{host: h, starts: h.starts, effect: effect})
	}
}

// jobOf returns the id of the job that a submission is for; the last three digits of its number are those of the job.
func jobOf(seq uint64) string { return fmt.Sprintf("j%d", seq%1000) }

func (s *simulation) noteAnswer(e event.JobAnswer) {
	j := s.jobs[jobOf(e.Seq)]
	switch {
	case s.endCalls[e.Seq]:
		j.endAcked = j.endAcked || e.Kind == ""
		j.endAsked = j.endAsked || kinds.AnswerFor(e.Kind).Run != kinds.NotRun || e.Kind == ""
		j.endCalls--
	case e.Kind == "":
		j.accepted = true
		if !j.stored {
			s.t.Fatalf("job %s was accepted and is not in the store", j.id)
		}
	case kinds.AnswerFor(e.Kind).Run == kinds.NotRun:
		j.refused = true
		s.checkRefusal(j)
	default:
		j.unknown = true
	}
}

func (s *simulation) noteRun(job string) {
	j := s.jobs[job]
	j.ran = true
	s.checkRefusal(j)
}

// checkRefusal fails the test when a job ran although every answer said that nothing runs.
func (s *simulation) checkRefusal(j *simJob) {
	if j.ran && j.refused && !j.accepted && !j.unknown && !j.stored && !s.storingUnderWay(j) {
		s.t.Fatalf("job %s ran although every answer said that it does not", j.id)
	}
}

// storingUnderWay reports whether a call to store the job has no outcome yet.
func (s *simulation) storingUnderWay(j *simJob) bool {
	return slices.ContainsFunc(s.calls, func(c simCall) bool {
		k, ok := c.effect.(event.KeepJob)
		return ok && k.Job == j.id
	})
}

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
	s.hostOf("host").step(event.JobCalled{Seq: s.nextSeq(n), Call: event.JobSubmit, Path: "/r/x", Job: j.id, Head: j.head})
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

func (s *simulation) keep(e event.KeepJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	done := event.JobKept{Seq: e.Seq, Job: e.Job, Owner: j.owner}
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreRefused
	case j.stored:
		done.Kind = kinds.Conflict
	default:
		j.stored = true
		j.owner = event.JobSeen{Job: e.Job, Host: e.Host, Incarnation: e.Incarnation, Ended: j.owner.Ended}
		done.Owner = j.owner
	}
	if outcome == "lost" {
		done.Kind = kinds.OutcomeUnknown
	}
	return done
}

func (s *simulation) storeChunk(e event.StoreChunk, outcome string) event.Event {
	j := s.jobs[e.Job]
	done := event.ChunkStored{Job: e.Job, Number: e.Number, Items: e.Items}
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreUnavailable
		return done
	case e.Number < len(j.chunks):
		done.Kind, done.Items = kinds.Conflict, j.chunks[e.Number]
	case e.Number > len(j.chunks):
		s.t.Fatalf("chunk %d of %s before chunk %d", e.Number, e.Job, len(j.chunks))
	default:
		s.listItems(j, e.Items)
	}
	if outcome == "lost" {
		done.Kind = kinds.StoreUnavailable
	}
	return done
}

// listItems appends a chunk of items to the results of a job. No item may be listed twice.
func (s *simulation) listItems(j *simJob, items []int) {
	if !j.stored {
		s.t.Fatalf("results of %s are listed before the job is stored", j.id)
	}
	for _, chunk := range j.chunks {
		for _, i := range items {
			if slices.Contains(chunk, i) {
				s.t.Fatalf("item %d of %s is listed twice", i, j.id)
			}
		}
	}
	j.chunks = append(j.chunks, items)
}

func (s *simulation) takeJob(h *simHost, starts int, e event.TakeJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	done := event.JobTaken{Job: e.Job, Epoch: j.owner.Epoch}
	incarnation := fmt.Sprint(starts)
	own := j.owner.Host == h.name && j.owner.Incarnation == incarnation && j.owner.Epoch > 0
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreRefused
		return done
	case !s.ensureStored(h, j):
		done.Kind = kinds.NotFound
		return done
	case j.owner.Epoch > e.Epoch && !own:
		done.Kind = kinds.Conflict
		return done
	case j.owner.Ended:
		done.Ended = true
		return done
	case !own:
		j.owner = event.JobSeen{Job: e.Job, Host: h.name, Incarnation: incarnation, Epoch: j.owner.Epoch + 1}
	}
	if outcome == "lost" {
		done.Kind = kinds.StoreUnavailable
		return done
	}
	done.Epoch, done.Head, done.Chunks = j.owner.Epoch, j.head, len(j.chunks)
	done.Head.ID, done.Head.Route, done.Head.GiveUp = j.id, "rollouts", s.now+time.Hour
	for _, chunk := range j.chunks {
		done.Listed = append(done.Listed, chunk...)
	}
	return done
}

// ensureStored stores a job that is not in the store and of which a host has a copy, and reports whether the store holds it.
func (s *simulation) ensureStored(h *simHost, j *simJob) bool {
	first, ok := h.copies[j.id]
	if ok && !j.stored {
		j.stored, j.owner = true, first
	}
	return j.stored
}

// endJob records the end of a job. When the store's answer is lost, the executor goes on until it knows the outcome.
func (s *simulation) endJob(c simCall, e event.EndJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	switch {
	case outcome == "refused":
		return event.JobEnded{Job: e.Job, Kind: kinds.StoreRefused}
	case !s.ensureStored(c.host, j):
		return event.JobEnded{Job: e.Job, Kind: kinds.NotFound}
	case outcome == "lost":
		j.owner.Ended = j.owner.Ended || rapid.Bool().Draw(s.t, "end takes effect")
		c.unknownEnd = true
		s.calls = append(s.calls, c)
		return event.JobEnded{Job: e.Job, Kind: kinds.OutcomeUnknown}
	}
	j.owner.Ended = true
	return event.JobEnded{Job: e.Job}
}

func (s *simulation) checkJob(e event.CheckJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	if outcome != "done" || !j.stored {
		return nil
	}
	news := wire.JobNews(j.owner)
	return event.PeerReceived{Message: wire.Message{News: &news}}
}

func (s *simulation) listJobs(outcome string) event.Event {
	if outcome != "done" {
		return event.JobsListed{Kind: kinds.StoreUnavailable}
	}
	var done event.JobsListed
	for n := range s.jobCount {
		if j := s.jobs[jobOf(uint64(n))]; j.stored {
			done.Jobs = append(done.Jobs, j.owner)
		}
	}
	return done
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
		seen := event.JobSeen{Job: id, Host: h.name, Incarnation: fmt.Sprint(h.starts)}
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

// incompleteJob describes an accepted job whose results are not all listed, "" for none.
func (s *simulation) incompleteJob() string {
	for n := range s.jobCount {
		j := s.jobs[jobOf(uint64(n))]
		if j.accepted && !j.mayHaveEnded() && j.listed() != simItems {
			text := fmt.Sprintf("%s: %d of %d items are listed, owner %v", j.id, j.listed(), simItems, j.owner)
			for _, h := range s.hosts {
				text += fmt.Sprintf("\n%s process %d: owns it %v, knows %+v", h.name, h.starts, h.p.jobs[j.id] != nil, h.p.known[j.id])
			}
			return text
		}
	}
	return ""
}

// listed returns the number of items in the results. A job that is listed in full has ended, also for a host that took it over
// before the last chunk was stored.
func (j *simJob) listed() int {
	listed := 0
	for _, chunk := range j.chunks {
		listed += len(chunk)
	}
	return listed
}

// mayHaveEnded reports whether an end of the job was acknowledged or may have taken effect. An end that every answer refused
// must change nothing.
func (j *simJob) mayHaveEnded() bool { return j.endAsked || j.endCalls > 0 }

// wrongEnd describes a job whose end was acknowledged and that a host still runs, or whose end was refused and that its host
// has stopped before all its items were listed, "" for none.
func (s *simulation) wrongEnd() string {
	for n := range s.jobCount {
		id := jobOf(uint64(n))
		for _, h := range s.hosts {
			j := h.p.jobs[id]
			switch {
			case j == nil || j.unlisted == 0:
			case s.jobs[id].endAcked && !j.ended:
				return fmt.Sprintf("%s has ended, and %s runs it, which knows %+v; the record is %+v", id, h.name, h.p.known[id], s.jobs[id].owner)
			case !s.jobs[id].mayHaveEnded() && s.jobs[id].listed() < simItems && j.ended:
				return fmt.Sprintf("every end of %s was refused, and %s has stopped it", id, h.name)
			}
		}
	}
	return ""
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
