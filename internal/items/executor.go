package items

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/wire"
)

// FirstScore is the lowest Request of a call that scores a text; callers' requests stay below it.
const FirstScore uint64 = 1 << 62

// Executor carries out the effects of batch jobs. Its exported fields are set before Prepare.
type Executor struct {
	Host        string
	Incarnation string
	Store       objapi.Store
	Calls       *call.Executor // carries the calls that score texts
	Names       Names
	HTTP        http.RoundTripper // to engines
	Peers       Peers
	Post        func(event.Event) bool
	Now         func() time.Duration
	// Decode reads a submission's body, which came at a time of day in ms since the Unix epoch. An error has a kind.
	Decode func(c Call, body []byte, unixMS int64) (wire.Job, error)

	keeper   keeper
	past     past
	paces    paces
	copying  sync.Mutex              // held while copies are sent
	copies   map[string]*copied      // by job
	texts    map[string]*storedTexts // by job
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	arriving map[uint64]wire.Job // submissions by Seq
	storing  map[uint64]wire.Job // those that are being stored
	answers  map[uint64]chan event.JobAnswer
	runs     map[runKey]context.CancelFunc
	seq      uint64
	scores   uint64
	epoch    atomic.Int64 // time of day at which Now was 0, in ns since the Unix epoch
}

// Names are the fields of a head by which daemons and engines understand each other about items.
type Names struct {
	call.Names
	Priority  string
	Version   string // version that the engine must have
	Made      string // version that made the events from here on, in an answer's head and as a line of an event
	LastEvent string // id of the last event that is held
}

// Peers reads results at the host that runs a job.
type Peers interface {
	// Page returns a page of a job from the host of that name; false when it does not answer for the job.
	Page(ctx context.Context, host, job string, after int, wait time.Duration) (wire.JobPage, bool)
	// Runs asks the host of that name whether it runs a job, and whether the job has ended there.
	Runs(ctx context.Context, host, job string) (runs, ended bool)
	// Ended tells the host of that name that a job was ended.
	Ended(ctx context.Context, host, job string)
	// Submit hands a submission to the host of that name. With an error, sent tells whether the host may have taken it.
	Submit(ctx context.Context, host string, c Call, body []byte) (a event.JobAnswer, sent bool, err error)
	// Copy sends copies to the host of that name and reports whether it has taken them.
	Copy(ctx context.Context, host string, all []jobCopy) bool
}

type runKey struct {
	job     string
	attempt uint64
}

// Prepare is called once, before the other methods.
func (x *Executor) Prepare() {
	x.keeper.prepare()
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.arriving = map[uint64]wire.Job{}
	x.storing = map[uint64]wire.Job{}
	x.answers = map[uint64]chan event.JobAnswer{}
	x.runs = map[runKey]context.CancelFunc{}
	x.copies = map[string]*copied{}
	x.texts = map[string]*storedTexts{}
	x.scores = FirstScore
	x.epoch.Store(time.Now().UnixNano() - int64(x.Now())) // the own clock, until the hosts agree
}

// UnixMS returns the time of day that the hosts agree on, in ms since the Unix epoch. It may be called concurrently.
func (x *Executor) UnixMS() int64 {
	return (time.Duration(x.epoch.Load()) + x.Now()).Milliseconds()
}

// Run waits for ctx and then ends every run.
func (x *Executor) Run(ctx context.Context) error {
	go x.copyUntil(ctx)
	x.tellPaces(ctx)
	x.cancel()
	return nil
}

// Do takes the effects of batch jobs. It does not block.
func (x *Executor) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.KeepJob:
		go x.keep(x.ctx, e)
	case event.BeginJob:
		x.begin(e)
	case event.JobAnswer:
		x.answer(e)
	case event.EndJob:
		go x.end(x.ctx, e.Job)
	case event.TakeJob:
		go x.take(x.ctx, e)
	case event.ListJobs:
		go x.listJobs(x.ctx)
	case event.KnowJob:
		x.keeper.know(e.Seen)
		if e.Seen.Host != x.Host {
			x.keeper.setOwned(e.Seen.Job, false)
		}
	case event.KnowClock:
		x.epoch.Store(int64(e.Epoch))
	case event.SweepJobs:
		go x.sweep(x.ctx, e)
	case event.CheckJob:
		go x.check(x.ctx, e.Job)
	case event.DropJob:
		x.keeper.drop(e.Job)
		x.copyJob(event.CopyJob{Job: e.Job})
		x.mu.Lock()
		delete(x.texts, e.Job)
		x.mu.Unlock()
	case event.CopyJob:
		x.copyJob(e)
	case event.FlushCopies:
		go func() {
			x.sendCopies(x.ctx)
			x.Post(event.CopiesFlushed{})
		}()
	case event.RunItem:
		x.start(e)
	case event.StopItem:
		x.stop(runKey{job: e.Job, attempt: e.Attempt})
	case event.ScoreItem:
		go x.score(e)
	case event.StoreChunk:
		go x.storeChunk(x.ctx, e)
	default:
		return false
	}
	return true
}

// copyUntil sends copies at their interval until ctx ends.
func (x *Executor) copyUntil(ctx context.Context) {
	tick := time.NewTicker(copyEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			x.sendCopies(ctx)
			x.storeTexts(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (x *Executor) start(e event.RunItem) {
	ctx, cancel := context.WithTimeout(x.ctx, max(e.Deadline-x.Now(), time.Millisecond))
	key := runKey{job: e.Job, attempt: e.Attempt}
	x.mu.Lock()
	x.runs[key] = cancel
	x.mu.Unlock()
	go func() {
		defer x.stop(key)
		x.Post(x.run(ctx, cancel, e))
	}()
}

func (x *Executor) stop(key runKey) {
	x.mu.Lock()
	cancel := x.runs[key]
	delete(x.runs, key)
	x.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
