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
	worldHosts = 3
	worldItems = 4
)

// world plays several hosts, their store and their engines: calls are carried out in any order, their answers are lost
// or late, hosts die and start again.
type world struct {
	t     *rapid.T
	now   time.Duration
	hosts []*worldHost
	calls []worldCall
	jobs  map[string]*worldJob
	made  int
	calm  bool // nothing fails any more
}

type worldHost struct {
	w      *world
	name   string
	starts int
	p      *Part
	news   []event.PeerReceived // on their way to this host
}

// worldCall is an effect that a host's executor has not carried out yet.
type worldCall struct {
	host   *worldHost
	starts int // of the host when it made the call
	effect event.Effect
}

// worldJob is what the store and the callers know of a job.
type worldJob struct {
	id       string
	head     event.JobHead
	stored   bool
	owner    event.JobSeen
	chunks   [][]int
	accepted bool
	refused  bool // some answer promised that nothing runs
	maybe    bool // some answer promised nothing
	ran      bool
	ended    bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Second, jobs: map[string]*worldJob{}}
	for i := range worldHosts {
		w.hosts = append(w.hosts, &worldHost{w: w, name: fmt.Sprintf("h%d", i+1)})
	}
	for _, h := range w.hosts {
		h.start()
	}
	return w
}

func (h *worldHost) Holder(time.Duration, string) (string, kinds.Kind) { return "North", "" }

func (h *worldHost) Alive(time.Duration) []event.Host {
	var all []event.Host
	for _, other := range h.w.hosts {
		all = append(all, other.self())
	}
	return all
}

func (h *worldHost) self() event.Host {
	return event.Host{Name: h.name, Incarnation: fmt.Sprint(h.starts)}
}

func (h *worldHost) start() {
	h.starts++
	h.p = &Part{Self: h.self(), Holders: h, Roster: h, Fresh: h.starts == 1}
	h.news = nil
	h.step(event.ConfigInForce{Site: testSite()})
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 1, Endpoints: []wire.Endpoint{testEngine("e1", 1), testEngine("e2", 1)}}})
	for _, other := range h.w.hosts {
		if other != h && other.p != nil {
			other.step(event.PeerUp{Host: h.name, Incarnation: fmt.Sprint(h.starts)})
			other.step(event.BeatSeen{Host: h.name, Anchored: true})
			h.step(event.BeatSeen{Host: other.name, Anchored: true})
		}
	}
}

func (h *worldHost) step(ev event.Event) {
	var out event.Batch
	h.p.Step(h.w.now, ev, &out)
	for _, effect := range out.Effects {
		h.w.follow(h, effect)
	}
}

// follow takes an effect: answers and messages at once, calls when their time comes.
func (w *world) follow(h *worldHost, effect event.Effect) {
	switch e := effect.(type) {
	case event.JobAnswer:
		w.answered(e)
	case event.SendPeer:
		for _, other := range w.hosts {
			if other.name == e.Host {
				other.news = append(other.news, event.PeerReceived{Host: h.name, Message: e.Message})
			}
		}
	case event.RunItem:
		w.ran(e.Job)
		w.calls = append(w.calls, worldCall{h, h.starts, effect})
	case event.KeepJob, event.TakeJob, event.ListJobs, event.EndJob, event.ScoreItem, event.StoreChunk, event.StopItem:
		w.calls = append(w.calls, worldCall{h, h.starts, effect})
	}
}

// submissions are numbered by the world; the job's name is the number of its call.
func jobOf(seq uint64) string { return fmt.Sprintf("j%d", seq%1000) }

func (w *world) answered(e event.JobAnswer) {
	j := w.jobs[jobOf(e.Seq)]
	switch {
	case e.Kind == "":
		j.accepted = true
	case kinds.Of(e.Kind).Run == kinds.NotRun:
		j.refused = true
		w.check(j)
	default:
		j.maybe = true
	}
}

func (w *world) ran(job string) {
	j := w.jobs[job]
	j.ran = true
	w.check(j)
}

// check fails when a job ran whose every answer promised that it would not.
func (w *world) check(j *worldJob) {
	if j.ran && j.refused && !j.accepted && !j.maybe && !j.stored && !w.underWay(j) {
		w.t.Fatalf("job %s ran and was refused at every try", j.id)
	}
}

// underWay reports whether a try at a submission has no answer yet.
func (w *world) underWay(j *worldJob) bool {
	return slices.ContainsFunc(w.calls, func(c worldCall) bool {
		k, ok := c.effect.(event.KeepJob)
		return ok && k.Job == j.id
	})
}

// submit has a job submitted, or one submitted again at another host.
func (w *world) submit() {
	n := w.made
	if w.made == 0 || rapid.Bool().Draw(w.t, "new job") {
		if w.made == 4 {
			return
		}
		n = w.made
		w.made++
		id := jobOf(uint64(n))
		head := testHead(2, worldItems/2, none)
		w.jobs[id] = &worldJob{id: id, head: head}
	} else {
		n = rapid.IntRange(0, w.made-1).Draw(w.t, "job")
	}
	w.submitAt(n)
}

func (w *world) submitAt(n int) {
	h := w.hosts[rapid.IntRange(0, worldHosts-1).Draw(w.t, "host")]
	j := w.jobs[jobOf(uint64(n))]
	seq := uint64(n) + 1000*uint64(rapid.IntRange(1, 1_000_000).Draw(w.t, "seq"))
	h.step(event.JobCalled{Seq: seq, Call: event.JobSubmit, Path: "/r/x", Job: j.id, Head: j.head})
}

// carryOut carries out one call, which may fail before or after its effect, or whose host may be gone.
func (w *world) carryOut() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	outcome := "done"
	if !w.calm {
		outcome = rapid.SampledFrom([]string{"done", "done", "done", "lost", "refused"}).Draw(w.t, "outcome")
	}
	ev := w.perform(c, outcome)
	if ev != nil && c.starts == c.host.starts {
		c.host.step(ev)
	}
}

// perform applies a call to the store or an engine and returns the event that ends it.
func (w *world) perform(c worldCall, outcome string) event.Event {
	switch e := c.effect.(type) {
	case event.KeepJob:
		return w.keep(e, outcome)
	case event.StoreChunk:
		return w.storeChunk(e, outcome)
	case event.TakeJob:
		return w.take(c.host, c.starts, e, outcome)
	case event.ListJobs:
		return w.listJobs(outcome)
	case event.RunItem:
		return w.run(e, outcome)
	case event.ScoreItem:
		return event.ItemScored{Job: e.Job, Item: e.Item, Status: 200}
	case event.StopItem:
		return event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Reason: event.ReasonStopped}
	}
	return nil
}

func (w *world) keep(e event.KeepJob, outcome string) event.Event {
	j := w.jobs[e.Job]
	done := event.JobKept{Seq: e.Seq, Job: e.Job, Owner: j.owner}
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreRefused
	case j.stored:
		done.Kind = kinds.Conflict
	default:
		j.stored = true
		j.owner = event.JobSeen{Job: e.Job, Host: e.Host, Incarnation: e.Incarnation}
		done.Owner = j.owner
	}
	if outcome == "lost" {
		done.Kind = kinds.OutcomeUnknown
	}
	return done
}

func (w *world) storeChunk(e event.StoreChunk, outcome string) event.Event {
	j := w.jobs[e.Job]
	done := event.ChunkStored{Job: e.Job, Number: e.Number, Items: e.Items}
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreUnavailable
		return done
	case e.Number < len(j.chunks):
		done.Kind, done.Items = kinds.Conflict, j.chunks[e.Number]
	case e.Number > len(j.chunks):
		w.t.Fatalf("chunk %d of %s before chunk %d", e.Number, e.Job, len(j.chunks))
	default:
		w.place(j, e.Items)
	}
	if outcome == "lost" {
		done.Kind = kinds.StoreUnavailable
	}
	return done
}

// place lists items at the next positions; none may stand at two.
func (w *world) place(j *worldJob, items []int) {
	if !j.stored {
		w.t.Fatalf("results of %s are listed before the job is stored", j.id)
	}
	for _, chunk := range j.chunks {
		for _, i := range items {
			if slices.Contains(chunk, i) {
				w.t.Fatalf("item %d of %s stands at two positions", i, j.id)
			}
		}
	}
	j.chunks = append(j.chunks, items)
}

func (w *world) take(h *worldHost, starts int, e event.TakeJob, outcome string) event.Event {
	j := w.jobs[e.Job]
	done := event.JobTaken{Job: e.Job, Epoch: j.owner.Epoch}
	incarnation := fmt.Sprint(starts)
	own := j.owner.Host == h.name && j.owner.Incarnation == incarnation && j.owner.Epoch > 0
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreRefused
		return done
	case !j.stored:
		done.Kind = kinds.NotFound
		return done
	case j.owner.Epoch > e.Epoch && !own:
		done.Kind = kinds.Conflict
		return done
	case !own:
		j.owner = event.JobSeen{Job: e.Job, Host: h.name, Incarnation: incarnation, Epoch: j.owner.Epoch + 1}
	}
	if outcome == "lost" {
		done.Kind = kinds.StoreUnavailable
		return done
	}
	done.Epoch, done.Head, done.Chunks = j.owner.Epoch, j.head, len(j.chunks)
	done.Head.ID, done.Head.Route, done.Head.GiveUp = j.id, "rollouts", w.now+time.Hour
	for _, chunk := range j.chunks {
		done.Listed = append(done.Listed, chunk...)
	}
	return done
}

func (w *world) listJobs(outcome string) event.Event {
	if outcome != "done" {
		return event.JobsListed{Kind: kinds.StoreUnavailable}
	}
	var done event.JobsListed
	for n := range w.made {
		if j := w.jobs[jobOf(uint64(n))]; j.stored {
			done.Jobs = append(done.Jobs, j.owner)
		}
	}
	return done
}

func (w *world) run(e event.RunItem, outcome string) event.Event {
	done := event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Events: 3, Versions: []uint64{1}}
	if outcome != "done" {
		done.Reason, done.Events = rapid.SampledFrom([]string{event.ReasonBroken, event.ReasonRefused, event.ReasonSilent}).Draw(w.t, "reason"), 1
	}
	return done
}

// tell delivers one message between hosts, or loses it.
func (w *world) tell() {
	h := w.hosts[rapid.IntRange(0, worldHosts-1).Draw(w.t, "to")]
	if len(h.news) == 0 {
		return
	}
	first := h.news[0]
	h.news = h.news[1:]
	if w.calm || rapid.IntRange(0, 4).Draw(w.t, "loses") > 0 {
		h.step(first)
	}
}

func (w *world) tick() {
	w.now += time.Duration(rapid.IntRange(10, 700).Draw(w.t, "ms")) * time.Millisecond
	for _, h := range w.hosts {
		h.step(event.Tick{})
		var beat wire.Beat
		h.p.Contribute(w.now, &beat)
		for _, other := range w.hosts {
			if other != h && (w.calm || rapid.Bool().Draw(w.t, "beat comes")) {
				other.step(event.BeatSeen{Host: h.name, Beat: beat, Anchored: true})
			}
		}
	}
}

// crash ends a host's process and starts another one.
func (w *world) crash() {
	if rapid.IntRange(0, 5).Draw(w.t, "crashes") > 0 {
		return
	}
	h := w.hosts[rapid.IntRange(0, worldHosts-1).Draw(w.t, "host that dies")]
	for _, c := range w.calls {
		if k, ok := c.effect.(event.KeepJob); ok && c.host == h && c.starts == h.starts {
			w.jobs[k.Job].maybe = true // its caller gets no answer, which promises nothing
		}
	}
	h.start()
}

// missing returns an accepted job that is not listed whole, "" for none.
func (w *world) missing() string {
	for n := range w.made {
		j := w.jobs[jobOf(uint64(n))]
		listed := 0
		for _, chunk := range j.chunks {
			listed += len(chunk)
		}
		if j.accepted && listed != worldItems {
			text := fmt.Sprintf("%s: %d of %d items are listed, owner %v", j.id, listed, worldItems, j.owner)
			for _, h := range w.hosts {
				text += fmt.Sprintf("\n%s process %d: runs it %v, believes %+v", h.name, h.starts, h.p.jobs[j.id] != nil, h.p.known[j.id])
			}
			return text
		}
	}
	return ""
}

// GoString keeps the report of a failure short.
func (h *worldHost) GoString() string { return h.name }
