package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
)

// JobHead is what the reducer knows of a batch job; bodies stay with the executor.
type JobHead struct {
	ID           string
	Organisation string
	Route        string
	Model        string
	MinVersion   uint64
	Target       int
	Single       bool
	Due          time.Duration // on this daemon's clock
	GiveUp       time.Duration
	Items        []ItemHead
}

// ItemHead is what the reducer knows of an item. Group counts from 0 in the order of the job's items.
type ItemHead struct {
	ID     string
	Group  int
	Tokens int
	Hint   int
	// ScoreHost and ScorePath name the route of the call that scores the text, "" for none.
	ScoreHost string
	ScorePath string
}

// The calls to batch jobs.
const (
	JobPlace  = "Place" // asks which host should run the job
	JobSubmit = "Submit"
	JobRead   = "Read"
	JobEnd    = "End"
)

// JobCalled is a caller's call to batch jobs. JobAnswer ends it. Head is set for a submission.
type JobCalled struct {
	Seq     uint64
	Call    string
	KeyHash string
	Host    string
	Path    string
	Job     string
	Head    JobHead
}

// JobAnswer ends a JobCalled. Kind is "" for success; for a read it says only that the key may be used. Host is that which
// should run a job, "" for this one.
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
	Due          time.Duration // after its submission
	GiveUp       time.Duration
	Single       bool
	Host         string // who runs the job
	Incarnation  string
	Budget       time.Duration // until the outcome must be told
}

// BeginJob hands the texts' keeper a submitted job whose items run before it is stored.
type BeginJob struct{ Keep KeepJob }

// JobKept ends a KeepJob. Kind is "", Conflict when the job was accepted before, StoreRefused when it certainly is not
// stored, and else OutcomeUnknown.
type JobKept struct {
	Seq   uint64
	Job   string
	Kind  kinds.Kind
	Owner JobSeen // after a conflict, who runs the job
}

// TakeJob takes a job over from a host that has gone and reads what it has listed; JobTaken answers.
type TakeJob struct {
	Job   string
	Host  string // the owner to replace, "" when not known
	Epoch uint64 // of that owner
}

// JobTaken ends a TakeJob. Listed holds the items that are listed, in order. Kind is Conflict when another host has it.
type JobTaken struct {
	Job    string
	Kind   kinds.Kind
	Head   JobHead
	Epoch  uint64
	Ended  bool
	Chunks int
	Listed []int
	Held   []ItemHeld // texts that were copied here
}

// ItemHeld is what is held of an item's text.
type ItemHeld struct {
	Item     int
	Events   int
	Versions []uint64
}

// CopyJob names the host that gets copies of a job's texts, which it would go on from; "" ends the copies.
type CopyJob struct {
	Job string
	To  string
}

// FlushCopies sends what the copies lack; CopiesFlushed answers.
type FlushCopies struct{}

// CopiesFlushed ends a FlushCopies.
type CopiesFlushed struct{}

// ListJobs reads which jobs there are; JobsListed answers.
type ListJobs struct{}

// JobsListed ends a ListJobs.
type JobsListed struct {
	Kind kinds.Kind
	Jobs []JobSeen
}

// JobSeen says who runs a job.
type JobSeen struct {
	Job         string
	Host        string
	Incarnation string
	Epoch       uint64
	Ended       bool
	Route       string // "" when not known
	Items       int    // of the whole job, 0 when not known
	Next        string // host that has copies of the texts and takes the job over, "" when not known
}

// JobPlaced tells what came of a submission that was handed to another host. Answered says that the host answered for it
// with Kind.
type JobPlaced struct {
	Job      string
	Host     string
	Answered bool
	Kind     kinds.Kind
	Took     time.Duration
}

// JobSought tells that a caller reads a job whose owner, as far as it is known, does not answer.
type JobSought struct{ Seen JobSeen }

// KnowJob tells the executor who runs a job, for reads.
type KnowJob struct {
	Seen    JobSeen
	Address string // of the host's listener for peers' reads, "" when not known
}

// EndJob records that a job was ended; JobEnded answers.
type EndJob struct{ Job string }

// JobEnded ends an EndJob.
type JobEnded struct {
	Job  string
	Kind kinds.Kind
}

// CheckJob reads who runs a job by the store's own record; what it shows comes as a peer's news.
type CheckJob struct{ Job string }

// SweepJobs deletes the stored objects of jobs that ended longer ago than Keep; JobsSwept answers.
type SweepJobs struct{ Keep time.Duration }

// JobsSwept ends a SweepJobs. Jobs is the number of jobs whose objects are gone; Kind is "" when none was left over.
type JobsSwept struct {
	Kind kinds.Kind
	Jobs int
}

// DropJob tells the executor to forget a job's texts and bodies.
type DropJob struct{ Job string }

// RunItem runs an item at an endpoint, from the events that are held on; ItemEnded answers.
type RunItem struct {
	Job         string
	Item        int
	Attempt     uint64
	Endpoint    string
	Incarnation string
	Address     string
	Priority    int
	Version     uint64 // that the endpoint must have, 0 for any
	Restart     bool   // forget the held events first
	Silence     time.Duration
	Deadline    time.Duration
}

// StopItem ends a run as soon as possible; ItemEnded follows.
type StopItem struct {
	Job     string
	Item    int
	Attempt uint64
}

// ItemEnded ends a RunItem. Reason is "" when the text is whole. Events is the number of events held.
type ItemEnded struct {
	Job      string
	Item     int
	Attempt  uint64
	Reason   string
	Status   int
	Events   int
	New      int           // events of this run
	First    time.Duration // until its first event, 0 without one
	Took     time.Duration
	Versions []uint64
}

// ReasonNever says that the endpoint answered that the item can never be done, ReasonSilent that it sent nothing for
// too long.
const (
	ReasonNever  = "Never"
	ReasonSilent = "Silent"
)

// EnginePace tells how fast an engine makes the events of this host's items: the mean time between two events of a run
// since the last report, and the number of events that it is the mean of.
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

// ItemScored ends a ScoreItem. Status is that of the answer, 0 without one; Failures counts the answers of 500.
type ItemScored struct {
	Job      string
	Item     int
	Kind     kinds.Kind
	Status   int
	Failures int
}

// StoreChunk stores the next results of a job; ChunkStored answers.
type StoreChunk struct {
	Job    string
	Number int
	Items  []int
	Down   []bool // of the same index
}

// ChunkStored ends a StoreChunk. Items are those that the stored chunk lists, which another host may have written.
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
