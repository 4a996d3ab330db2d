package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
)

// JobHead is the part of a batch job that the reducer keeps; the request bodies stay with the executor.
type JobHead struct {
	ID           string
	Organisation string
	Route        string
	Model        string
	MinVersion   uint64        // lowest weight version that may generate the job's texts
	Target       int           // number of groups that the trainer waits for
	Single       bool          // each text must come from a single weight version
	Due          time.Duration // on this daemon's clock
	GiveUp       time.Duration // on this daemon's clock; items may be given up from then on
	Items        []ItemHead
}

// ItemHead is the part of a job's item that the reducer keeps. Groups are numbered from 0 in the order in which the
// job's items first name them.
type ItemHead struct {
	ID     string
	Group  int
	Tokens int
	Hint   int
	// ScoreHost and ScorePath identify the route of the call that scores the generated text; "" if it is not scored.
	ScoreHost string
	ScorePath string
}

// Calls of the batch job API.
const (
	JobPlace  = "Place" // asks which host should run the job
	JobSubmit = "Submit"
	JobRead   = "Read"
	JobEnd    = "End"
)

// JobCalled is a caller's batch job call, answered by JobAnswer. Head is set for a submission only.
type JobCalled struct {
	Seq     uint64
	Call    string
	KeyHash string
	Host    string
	Path    string
	Job     string
	Head    JobHead
}

// JobAnswer ends a JobCalled. Kind is "" for success; for a read it means only that the key may be used. Host is the
// host that should run the job, "" for this one.
type JobAnswer struct {
	Seq          uint64
	Kind         kinds.Kind
	Organisation string
	Host         string
	RetryAfter   time.Duration
}

// KeepJob stores a submitted job; JobKept answers.
type KeepJob struct {
	Seq          uint64
	Job          string
	Organisation string
	Route        string
	Due          time.Duration // after the submission
	GiveUp       time.Duration // after the submission
	Single       bool
	Host         string // host that runs the job
	Incarnation  string
	Budget       time.Duration // time within which the outcome must be reported
}

// BeginJob hands the executor a submitted job whose items start to run before the job is stored.
type BeginJob struct{ Keep KeepJob }

// JobKept ends a KeepJob. Kind is "", Conflict when the job was accepted before, StoreRefused when it is certainly
// not stored, and OutcomeUnknown otherwise.
type JobKept struct {
	Seq   uint64
	Job   string
	Kind  kinds.Kind
	Owner JobSeen // host that runs the job, after a conflict
	// Organisation is that of the stored job, after a conflict; "" if not known.
	Organisation string
}

// TakeJob takes over a job from a host that is gone and reads the results listed so far; JobTaken answers.
type TakeJob struct {
	Job   string
	Host  string // owner to replace, "" if not known
	Epoch uint64 // epoch of that owner
}

// JobTaken ends a TakeJob. Listed holds the items whose results are listed, in order. Kind is Conflict when another
// host owns the job.
type JobTaken struct {
	Job    string
	Kind   kinds.Kind
	Head   JobHead
	Epoch  uint64
	Ended  bool
	Chunks int
	Listed []int
	Held   []ItemHeld // texts that were copied to this host
}

// ItemHeld describes the events of an item's text that this host holds.
type ItemHeld struct {
	Item     int
	Events   int
	Versions []uint64
	Software string // version that made the events
}

// CopyJob names the host that receives copies of a job's texts, so that it could continue them; "" stops copying.
type CopyJob struct {
	Job string
	To  string
}

// FlushCopies sends the text that the copies do not have yet; CopiesFlushed answers.
type FlushCopies struct{}

// CopiesFlushed ends a FlushCopies.
type CopiesFlushed struct{}

// ListJobs lists the stored jobs; JobsListed answers.
type ListJobs struct{}

// JobsListed ends a ListJobs.
type JobsListed struct {
	Kind kinds.Kind
	Jobs []JobSeen
}

// JobSeen identifies the host that runs a job.
type JobSeen struct {
	Job         string
	Host        string
	Incarnation string
	Epoch       uint64
	Ended       bool
	Route       string // "" if not known
	Items       int    // number of items of the whole job, 0 if not known
	Next        string // host that has copies of the texts and takes the job over, "" if not known
}

// JobPlaced reports the outcome of a submission that was forwarded to another host. Answered is set if that host
// answered, with Kind.
type JobPlaced struct {
	Job      string
	Host     string
	Answered bool
	Kind     kinds.Kind
	Took     time.Duration
}

// JobSought reports that a caller reads a job whose owner, as far as it is known, does not answer.
type JobSought struct{ Seen JobSeen }

// KnowJob tells the executor which host runs a job, for reads.
type KnowJob struct {
	Seen    JobSeen
	Address string // of the host's listener for reads by peers, "" if not known
}

// EndJob records that a job was ended, by a caller or, with Listed, because all its results are listed; JobEnded answers. While
// the store refuses, the end is given up after Budget.
type EndJob struct {
	Job    string
	Budget time.Duration
	Listed bool
}

// JobEnded answers an EndJob. After OutcomeUnknown, another one follows when the outcome is known.
type JobEnded struct {
	Job  string
	Kind kinds.Kind
}

// CheckJob reads a job's owner from its record in the store; the result arrives as a peer's JobNews.
type CheckJob struct{ Job string }

// SweepJobs deletes the stored objects of jobs that ended more than Keep ago, or KeepOpen when no caller ended them; JobsSwept
// answers.
type SweepJobs struct{ Keep, KeepOpen time.Duration }

// JobsSwept ends a SweepJobs. Jobs is the number of jobs whose objects were deleted; Kind is "" when none was left
// over.
type JobsSwept struct {
	Kind kinds.Kind
	Jobs int
}

// DropJob tells the executor to discard a job's texts and request bodies.
type DropJob struct{ Job string }

// RunItem runs an item at an endpoint and continues after the events already held; ItemEnded answers.
type RunItem struct {
	Job         string
	Item        int
	Attempt     uint64
	Endpoint    string
	Incarnation string
	Address     string
	Priority    int
	Software    string        // version of the endpoint's software; events of another one are discarded first
	Identify    bool          // send only if the connection leads to Incarnation, of whose software version the events will be
	Charged     bool          // the question for the incarnation is counted against the endpoint's limit
	Version     uint64        // version that the endpoint must have, 0 for any
	Restart     bool          // discard the held events first
	Silence     time.Duration // longest time without an event before the run ends with ReasonSilent
	Deadline    time.Duration
}

// StopItem ends an item's run as soon as possible; ItemEnded follows.
type StopItem struct {
	Job     string
	Item    int
	Attempt uint64
}

// ItemEnded ends a RunItem. Reason is "" when the text is complete. Events is the number of events held.
type ItemEnded struct {
	Job      string
	Item     int
	Attempt  uint64
	Reason   string
	Status   int
	Events   int
	New      int           // events received in this run
	First    time.Duration // time until the first event of this run, 0 if there was none
	Took     time.Duration
	Versions []uint64
	Software string // software version that made the held events
}

// ReasonUnprocessable means that the endpoint answered that the item can never be processed, ReasonSilent that it sent
// nothing for too long.
const (
	ReasonUnprocessable = "Never"
	ReasonSilent        = "Silent"
)

// EnginePace reports how fast an engine produces the events of this host's items: Gap is the mean time between two
// events of a run since the last report, over Events events.
type EnginePace struct {
	Endpoint    string
	Incarnation string
	Gap         time.Duration
	Events      int
}

// ScoreItem sends the call that scores an item's text; ItemScored answers.
type ScoreItem struct {
	Job      string
	Item     int
	Deadline time.Duration
}

// ItemScored ends a ScoreItem. Status is the HTTP status of the answer, 0 if there was none; Failures counts the
// answers with status 500.
type ItemScored struct {
	Job      string
	Item     int
	Kind     kinds.Kind
	Status   int
	Failures int
}

// StoreChunk stores the next results of a job as one chunk; ChunkStored answers.
type StoreChunk struct {
	Job    string
	Number int
	Items  []int
	Down   []bool // for each of Items: whether it was given up
}

// ChunkStored ends a StoreChunk. Items are the items that the stored chunk lists; another host may have written that
// chunk.
type ChunkStored struct {
	Job    string
	Number int
	Items  []int
	Kind   kinds.Kind
}

func (JobCalled) isEvent()     {}
func (JobAnswer) isEffect()    {}
func (KeepJob) isEffect()      {}
func (BeginJob) isEffect()     {}
func (JobKept) isEvent()       {}
func (TakeJob) isEffect()      {}
func (JobTaken) isEvent()      {}
func (ListJobs) isEffect()     {}
func (JobsListed) isEvent()    {}
func (KnowJob) isEffect()      {}
func (EndJob) isEffect()       {}
func (JobEnded) isEvent()      {}
func (JobPlaced) isEvent()     {}
func (JobSought) isEvent()     {}
func (DropJob) isEffect()      {}
func (CheckJob) isEffect()     {}
func (SweepJobs) isEffect()    {}
func (JobsSwept) isEvent()     {}
func (RunItem) isEffect()      {}
func (StopItem) isEffect()     {}
func (ItemEnded) isEvent()     {}
func (EnginePace) isEvent()    {}
func (CopyJob) isEffect()      {}
func (FlushCopies) isEffect()  {}
func (CopiesFlushed) isEvent() {}
func (ScoreItem) isEffect()    {}
func (ItemScored) isEvent()    {}
func (StoreChunk) isEffect()   {}
func (ChunkStored) isEvent()   {}
