package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

func noHints(int) int { return 0 }

// Another host takes a job over while its items run on this one. Once those runs have stopped, the engine's slots must be
// free for the next job, also in what this host tells the others in its heartbeats.
func TestSlotsOfALostJobAreReleased(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.submit("j1", testHead(1, 4, noHints))
	runs := take[event.RunItem](r)
	r.step(event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "j1", Host: "h2", Incarnation: "1", Epoch: 1}}})
	for _, e := range runs {
		r.step(event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Reason: event.ReasonStopped})
	}
	if diff := cmp.Diff([]wire.EngineRuns(nil), r.p.RunsByEngine()); diff != "" {
		t.Errorf("items still counted as running (-want +got):\n%s", diff)
	}
	r.effects = nil
	r.submit("j2", testHead(1, 1, noHints))
	if diff := cmp.Diff([]string{"j2/0@e1"}, r.running()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

// A trainer submits a job a second time, to a host that has just started, while the first owner runs it. The host must
// accept the submission without taking the job over.
func TestRepeatedSubmissionDoesNotTakeTheJobOver(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 1, noHints)})
	r.step(event.JobKept{Seq: 1, Job: "j1", Kind: kinds.Conflict, Owner: event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}})
	for range 100 {
		r.tick(100 * time.Millisecond)
	}
	if got := take[event.TakeJob](r); len(got) > 0 {
		t.Errorf("the job was taken from its owner: %v", got)
	}
	if got := take[event.JobAnswer](r); len(got) != 1 || got[0].Kind != "" {
		t.Errorf("answers = %v, want one acceptance", got)
	}
}

// The owner of a job is gone, or its host has started a new process. This host must take the job over then, and not
// earlier.
func TestOrphanIsTakenOver(t *testing.T) {
	cases := map[string][]event.Host{
		"host gone":       {{Name: "h1", Zone: "a", Incarnation: "1"}},
		"process started": {{Name: "h1", Zone: "a", Incarnation: "1"}, {Name: "h2", Zone: "b", Incarnation: "2"}},
	}
	for name, alive := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.step(event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "j1", Host: "h2", Incarnation: "1"}}})
			r.tick(startupGrace)
			if got := take[event.TakeJob](r); len(got) > 0 {
				t.Fatalf("taken while its owner lives: %v", got)
			}
			r.alive = alive
			r.tick(time.Second)
			r.tick(time.Second)
			if diff := cmp.Diff([]event.TakeJob{{Job: "j1", Host: "h2"}}, take[event.TakeJob](r)); diff != "" {
				t.Fatalf("takes (-want +got):\n%s", diff)
			}
			head := testHead(1, 3, noHints)
			head.ID, head.Route, head.GiveUp = "j1", "rollouts", r.now+time.Minute
			r.step(event.JobTaken{Job: "j1", Epoch: 1, Head: head, Chunks: 1, Listed: []int{1}})
			if diff := cmp.Diff([]string{"j1/0@e1", "j1/2@e1"}, r.running()); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// A job is accepted before the hosts are connected to each other. It must be announced to a host that connects later,
// once messages to that host arrive: otherwise no other host would know the job when its owner dies.
func TestJobIsAnnouncedToALaterHost(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.alive = r.alive[:1]
	r.submit("j1", testHead(1, 1, noHints))
	r.step(event.PeerUp{Host: "h3", Incarnation: "1"})
	r.step(event.BeatSeen{Host: "h3"}) // not yet an answer to a heartbeat of this host
	if got := take[event.SendPeer](r); len(got) > 0 {
		t.Fatalf("sent before the way to the host is known to work: %v", got)
	}
	r.step(event.BeatSeen{Host: "h3", Anchored: true})
	r.step(event.BeatSeen{Host: "h3", Anchored: true})
	news := wire.JobNews{Job: "j1", Host: "h1", Incarnation: "1", Route: "rollouts", Items: 1}
	if diff := cmp.Diff([]event.SendPeer{{Host: "h3", Message: wire.Message{News: &news}}}, take[event.SendPeer](r)); diff != "" {
		t.Errorf("news (-want +got):\n%s", diff)
	}
}

// In a large fleet, news of a job's end or of its new owner may reach only hosts that are not connected to this one. The
// owner must read the store's record and stop its runs.
func TestOwnerInALargeFleetReadsTheRecord(t *testing.T) {
	cases := map[string]wire.JobNews{
		"ended":      {Job: "j1", Host: "h9", Incarnation: "1", Epoch: 1, Ended: true},
		"taken over": {Job: "j1", Host: "h9", Incarnation: "1", Epoch: 1},
	}
	for name, news := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.submit("j1", testHead(1, 1, noHints))
			r.tick(2 * ownershipCheckInterval)
			if got := take[event.CheckJob](r); len(got) > 0 {
				t.Fatalf("a small fleet reads records: %v", got)
			}
			r.step(event.HostsChanged{Hosts: make([]event.Host, 32), Hubs: []string{"h8", "h9"}})
			r.tick(2 * ownershipCheckInterval)
			if diff := cmp.Diff([]event.CheckJob{{Job: "j1"}}, take[event.CheckJob](r)); diff != "" {
				t.Fatalf("checks (-want +got):\n%s", diff)
			}
			r.step(event.PeerReceived{Message: wire.Message{News: &news}})
			if got := take[event.StopItem](r); len(got) != 1 {
				t.Errorf("items stopped: %v, want the one that runs", got)
			}
		})
	}
}

// Two owners store a chunk at the same time. The chunk that was stored first counts, and no item may be listed twice.
func TestChunkOfAnotherOwnerIsTaken(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.submit("j1", testHead(2, 1, noHints))
	for _, e := range take[event.RunItem](r) {
		r.step(event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Events: 3, Versions: []uint64{1}})
	}
	first := take[event.StoreChunk](r)
	r.effects = nil
	r.step(event.ChunkStored{Job: "j1", Number: 0, Kind: kinds.Conflict, Items: []int{1}})
	r.tick(time.Second)
	want := []event.StoreChunk{{Job: "j1", Number: 1, Items: []int{0}, Down: []bool{false}}}
	if diff := cmp.Diff(want, take[event.StoreChunk](r)); diff != "" {
		t.Errorf("chunks after a conflict with %v (-want +got):\n%s", first, diff)
	}
}

func TestEndsOfRuns(t *testing.T) {
	cases := map[string]struct {
		ends []event.ItemEnded
		down bool
		runs int
	}{
		"never":                {[]event.ItemEnded{{Reason: event.ReasonUnprocessable, Status: 422}}, true, 1},
		"fails as often":       {[]event.ItemEnded{{Reason: event.ReasonStatus}, {Reason: event.ReasonStatus}, {Reason: event.ReasonStatus}}, true, 3},
		"broken":               {[]event.ItemEnded{{Reason: event.ReasonBroken}, {Reason: event.ReasonCut}, {Reason: event.ReasonSilent}, {}}, false, 4},
		"foreign":              {[]event.ItemEnded{{Reason: event.ReasonForeign, Status: 422}, {Reason: event.ReasonForeign, Status: 500}, {}}, false, 3},
		"refused":              {[]event.ItemEnded{{Reason: event.ReasonRefused, Status: 503}, {}}, false, 2},
		"by an old version":    {[]event.ItemEnded{{Events: 3, Versions: []uint64{0, 1}}, {Versions: []uint64{1}}}, false, 2},
		"whole":                {[]event.ItemEnded{{Events: 3, Versions: []uint64{1}}}, false, 1},
		"failures and refusal": {[]event.ItemEnded{{Reason: event.ReasonStatus}, {Reason: event.ReasonRefused}, {Reason: event.ReasonStatus}, {}}, false, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
			r.submit("j1", testHead(1, 1, noHints))
			for i, end := range c.ends {
				runs := take[event.RunItem](r)
				if len(runs) != i+1 {
					t.Fatalf("run %d did not begin: %v", i+1, runs)
				}
				end.Job, end.Item, end.Attempt = "j1", 0, runs[i].Attempt
				r.step(end)
				r.tick(maxFailurePause)
			}
			if got := len(take[event.RunItem](r)); got != c.runs {
				t.Errorf("%d runs, want %d", got, c.runs)
			}
			chunks := take[event.StoreChunk](r)
			if len(chunks) != 1 || chunks[0].Down[0] != c.down {
				t.Errorf("chunks = %v, want one with down %v", chunks, c.down)
			}
		})
	}
}

// A call for a score that was not answered before the next tick was made again, so that most texts were scored twice.
func TestScoreIsCalledForOnce(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	head := testHead(1, 1, noHints)
	head.Items[0].ScorePath = "/s/x"
	r.submit("j1", head)
	run := take[event.RunItem](r)[0]
	r.step(event.ItemEnded{Job: "j1", Item: run.Item, Attempt: run.Attempt, Events: 3, Versions: []uint64{1}})
	for _, c := range []struct {
		name string
		ev   event.Event
		want int
	}{
		{"under way", event.Tick{}, 1},
		{"still under way", event.Tick{}, 1},
		{"failed", event.ItemScored{Job: "j1", Item: 0, Kind: kinds.DeadlineExceeded}, 1},
		{"after a pause", event.Tick{}, 2},
		{"under way again", event.Tick{}, 2},
		{"scored", event.ItemScored{Job: "j1", Item: 0, Status: 200}, 2},
		{"done", event.Tick{}, 2},
	} {
		r.now += scoreRetryPause
		r.step(c.ev)
		if diff := cmp.Diff(c.want, len(take[event.ScoreItem](r))); diff != "" {
			t.Errorf("%s: calls (-want +got):\n%s", c.name, diff)
		}
	}
}

// The call that scores a text fails as often as its route allows, or is refused. Only failures count towards that limit.
func TestFailuresOfScores(t *testing.T) {
	cases := map[string]struct {
		scores []event.ItemScored
		down   []bool
	}{
		"scored":   {[]event.ItemScored{{Status: 200}}, []bool{false}},
		"fails":    {[]event.ItemScored{{Status: 500, Failures: 4}}, []bool{true}},
		"refused":  {[]event.ItemScored{{Kind: kinds.NoEndpoint}, {Kind: kinds.EndpointRefused, Failures: 3}, {Status: 200}}, []bool{false}},
		"adds up":  {[]event.ItemScored{{Kind: kinds.DeadlineExceeded, Failures: 2}, {Status: 500, Failures: 2}}, []bool{true}},
		"deadline": {[]event.ItemScored{{Status: 504}, {Status: 504}}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			head := testHead(1, 1, noHints)
			head.Items[0].ScorePath = "/s/x"
			r.submit("j1", head)
			run := take[event.RunItem](r)[0]
			r.step(event.ItemEnded{Job: "j1", Attempt: run.Attempt, Events: 1, Versions: []uint64{1}})
			for _, s := range c.scores {
				s.Job = "j1"
				r.step(s)
				r.tick(time.Second)
			}
			var down []bool
			for _, chunk := range take[event.StoreChunk](r) {
				down = append(down, chunk.Down...)
			}
			if diff := cmp.Diff(c.down, down); diff != "" {
				t.Errorf("listed as given up (-want +got):\n%s", diff)
			}
		})
	}
}

// The store is unavailable for seconds while a trainer submits a training step. The items must run meanwhile, nothing may
// be listed before the job is stored, and the caller must not be told that nothing runs.
func TestItemsRunWhileTheStoreIsAway(t *testing.T) {
	cases := map[string]struct {
		kept   []event.JobKept // outcomes of storing the job, a second apart
		answer kinds.Kind
		chunks int
	}{
		"stored late":        {[]event.JobKept{{}}, "", 1},
		"stored by a second": {[]event.JobKept{{Kind: kinds.OutcomeUnknown}, {}}, kinds.OutcomeUnknown, 1},
		"refused by then":    {[]event.JobKept{{Kind: kinds.StoreRefused}, {}}, kinds.OutcomeUnknown, 1},
		"stored by another":  {[]event.JobKept{{Kind: kinds.Conflict, Owner: event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1"}}}, "", 0},
		"in this one's name": {[]event.JobKept{{Kind: kinds.Conflict, Owner: event.JobSeen{Job: "j1", Host: "h1", Incarnation: "1"}}}, "", 1},
		"still not stored":   {[]event.JobKept{{Kind: kinds.OutcomeUnknown}}, kinds.OutcomeUnknown, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 1, noHints)})
			r.tick(startUnstoredAfter)
			runs := take[event.RunItem](r)
			if len(runs) != 1 {
				t.Fatalf("runs = %v, want one while the store is away", runs)
			}
			r.step(event.ItemEnded{Job: "j1", Attempt: runs[0].Attempt, Events: 1, Versions: []uint64{1}})
			r.tick(time.Second)
			if got := take[event.StoreChunk](r); len(got) > 0 {
				t.Fatalf("listed before the job is stored: %v", got)
			}
			for _, k := range c.kept {
				k.Seq, k.Job = 1, "j1"
				r.step(k)
				r.tick(time.Second)
			}
			answers := take[event.JobAnswer](r)
			if len(answers) != 1 || answers[0].Kind != c.answer {
				t.Errorf("answers = %v, want one of kind %q", answers, c.answer)
			}
			if got := len(take[event.StoreChunk](r)); got != c.chunks {
				t.Errorf("%d chunks, want %d", got, c.chunks)
			}
		})
	}
}

// A trainer submits a job again to another host, which knows the owner while the job is not stored yet. That host must
// store the job under the owner's name and not run it.
func TestJobThatRunsElsewhereIsStoredInItsName(t *testing.T) {
	r := newRig(t, testEngine("e1", 1))
	r.step(event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "j1", Host: "h2", Incarnation: "1"}}})
	r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: "j1", Head: testHead(1, 1, noHints)})
	r.tick(startUnstoredAfter)
	keeps := take[event.KeepJob](r)
	if len(keeps) != 1 || keeps[0].Host != "h2" {
		t.Fatalf("stored as %v, want in the name of h2", keeps)
	}
	r.step(event.JobKept{Seq: 1, Job: "j1"})
	r.tick(time.Second)
	if got := r.running(); len(got) > 0 {
		t.Errorf("runs here too: %v", got)
	}
}

func TestSubmissions(t *testing.T) {
	cases := map[string]struct {
		path string
		kept kinds.Kind
		want kinds.Kind
		runs int
	}{
		"accepted": {"/r/x", "", "", 1},
		"refused":  {"/r/x", kinds.StoreRefused, kinds.StoreRefused, 0},
		// The store may hold the job with this host as its owner. Another host would then answer a repeated submission as
		// accepted, so this host must run the job.
		"not known":      {"/r/x", kinds.OutcomeUnknown, kinds.OutcomeUnknown, 1},
		"no such route":  {"/q/x", "", kinds.RouteUnknown, 0},
		"not of batches": {"/s/x", "", kinds.BadRequest, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.step(event.JobCalled{Seq: 7, Call: event.JobSubmit, Path: c.path, Job: "j1", Head: testHead(1, 1, noHints)})
			if len(take[event.KeepJob](r)) > 0 {
				r.step(event.JobKept{Seq: 7, Job: "j1", Kind: c.kept})
			}
			answers := take[event.JobAnswer](r)
			if len(answers) != 1 || answers[0].Kind != c.want {
				t.Errorf("answers = %v, want kind %q", answers, c.want)
			}
			if got := len(take[event.RunItem](r)); got != c.runs {
				t.Errorf("%d items run, want %d", got, c.runs)
			}
		})
	}
}
