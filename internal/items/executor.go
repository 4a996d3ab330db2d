package items

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/wire"
)

// FirstScoreRequest separates the request numbers of callers, which stay below it, from those of the calls that score
// texts.
const FirstScoreRequest uint64 = 1 << 62

// Executor carries out the reducer's effects on batch jobs and answers reads of their results. Its exported fields are set
// before Prepare.
type Executor struct {
	Host        string
	Incarnation string
	Store       objapi.Store
	Calls       *call.Executor // sends the calls that score texts
	Names       HeaderNames
	HTTP        http.RoundTripper // to engines
	Identified  http.RoundTripper // to engines, on connections of which it is known to which incarnation they lead
	Peers       Peers
	Post        func(event.Event) bool
	Now         func() time.Duration
	// Decode parses the body of a submission that arrived at unixMS, in ms since the Unix epoch. It calls hold with the text of
	// each item before it decodes it, and returns its error. Its errors have a kind.
	Decode func(c JobCall, body []byte, unixMS int64, hold func(item []byte) error) (wire.Job, error)
	// MaxStoredBytes is the greatest size of a stored object, 0 when it isn't known.
	MaxStoredBytes int64
	// MaxJobBytes bounds what the jobs in memory hold when a further one is submitted, without the texts of their items; 0 for no
	// bound.
	MaxJobBytes int64
	// Memory bounds what engines can make the host hold of their answers, nil for no bound.
	Memory *budget.Budget
	// Settle is the time after which a position that a reader has got at any host is shown to all readers, 0 for the default.
	Settle time.Duration
	// ObserveEmpty is called with each empty page that a reader gets; nil for none.
	ObserveEmpty func(EmptyPage)

	jobTable         jobTable
	remoteJobs       remoteJobs
	paceStats        paceStats
	copyMu           sync.Mutex                 // held while copies are sent
	copies           map[string]*copyProgress   // by job
	storedTexts      map[string]*textStoreState // by job
	ctx              context.Context
	cancel           context.CancelFunc
	mu               sync.Mutex
	submissions      map[uint64]wire.Job // submissions that wait for the reducer's decision, by Seq
	storing          map[uint64]wire.Job // submissions that are being stored, by Seq
	answers          map[uint64]chan event.JobAnswer
	runs             map[runKey]context.CancelFunc
	endings          map[string]*ending       // ends that are being stored, by job
	endsSeen         map[string]time.Duration // when sweeps, one at a time, first found the record of an ended job, by its name
	lastSeq          uint64
	lastScoreRequest uint64
	unixOffset       atomic.Int64 // time of day at which Now was 0, in ns since the Unix epoch
}

// HeaderNames holds the names of the HTTP header fields that daemons and engines exchange about items. An unused field
// is "".
type HeaderNames struct {
	call.HeaderNames
	Priority         string
	RequiredVersion  string // weight version that the engine must serve
	GeneratedVersion string // weight version that generated the events that follow: a response header and a field of an event
	LastEvent        string // id of the last event that the daemon holds
}

// Peers makes calls about batch jobs to other hosts. Its methods are called concurrently.
type Peers interface {
	// Page reads a page of a job at a host. The host waits up to wait for a first result. Page returns false when the host
	// does not answer or does not run the job.
	Page(ctx context.Context, host, job string, after int, wait time.Duration) (wire.JobPage, bool)
	// Runs asks a host whether it runs a job, and whether the job has ended there.
	Runs(ctx context.Context, host, job string) (runs, ended bool)
	// NotifyEnded tells a host that a job was ended, and reports whether the host has confirmed it.
	NotifyEnded(ctx context.Context, host, job string) (confirmed bool)
	// Submit forwards a submission to a host. With an error, sent tells whether the host may have taken it.
	Submit(ctx context.Context, host string, c JobCall, body []byte) (answer event.JobAnswer, sent bool, err error)
	// Copy sends copies to a host and reports whether the host has taken them.
	Copy(ctx context.Context, host string, updates []jobCopy) CopyOutcome
}

type runKey struct {
	job     string
	attempt uint64
}

// Prepare initialises the executor. It is called once, before the other methods.
func (x *Executor) Prepare() {
	x.jobTable.prepare()
	x.jobTable.memory = x.Memory
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.submissions = map[uint64]wire.Job{}
	x.storing = map[uint64]wire.Job{}
	x.answers = map[uint64]chan event.JobAnswer{}
	x.runs = map[runKey]context.CancelFunc{}
	x.endings = map[string]*ending{}
	x.copies = map[string]*copyProgress{}
	x.storedTexts = map[string]*textStoreState{}
	x.lastScoreRequest = FirstScoreRequest
	x.unixOffset.Store(time.Now().UnixNano() - int64(x.Now())) // this host's clock, until the hosts agree on a time
}

// UnixMS returns the time of day that the hosts agree on, in ms since the Unix epoch. It may be called concurrently.
func (x *Executor) UnixMS() int64 {
	return (time.Duration(x.unixOffset.Load()) + x.Now()).Milliseconds()
}

// Run sends copies, stores long texts and reports the engines' pace until ctx ends, and then ends every run of an item.
func (x *Executor) Run(ctx context.Context) error {
	go x.copyLoop(ctx)
	x.reportPaces(ctx)
	x.cancel()
	return nil
}

// Do carries out an effect on batch jobs; it returns false for any other effect. It does not block.
func (x *Executor) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.KeepJob:
		go x.storeJob(x.ctx, e)
	case event.BeginJob:
		x.beginJob(e)
	case event.JobAnswer:
		x.deliverAnswer(e)
	case event.EndJob:
		go x.endJob(x.ctx, e)
	case event.TakeJob:
		go x.takeOver(x.ctx, e)
	case event.ListJobs:
		go x.listJobs(x.ctx)
	case event.KnowJob:
		x.jobTable.setOwner(e.Seen)
		if e.Seen.Host != x.Host {
			x.jobTable.setOwned(e.Seen.Job, false)
		}
	case event.KnowClock:
		x.unixOffset.Store(int64(e.Epoch))
	case event.SweepJobs:
		go x.sweep(x.ctx, e)
	case event.CheckJob:
		go x.checkOwner(x.ctx, e.Job)
	case event.DropJob:
		x.jobTable.drop(e.Job)
		x.setCopyHost(event.CopyJob{Job: e.Job})
		x.mu.Lock()
		delete(x.storedTexts, e.Job)
		x.mu.Unlock()
	case event.CopyJob:
		x.setCopyHost(e)
	case event.FlushCopies:
		go func() {
			x.sendCopies(x.ctx)
			x.Post(event.CopiesFlushed{})
		}()
	case event.RunItem:
		x.startRun(e)
	case event.StopItem:
		x.stopRun(runKey{job: e.Job, attempt: e.Attempt})
	case event.ScoreItem:
		go x.score(e)
	case event.StoreChunk:
		go x.storeChunk(x.ctx, e)
	default:
		return false
	}
	return true
}

// copyLoop sends copies and stores long texts every copyInterval until ctx ends.
func (x *Executor) copyLoop(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			x.sendCopies(ctx)
			x.storeTexts(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (x *Executor) startRun(e event.RunItem) {
	ctx, cancel := context.WithTimeout(x.ctx, e.Deadline-x.Now())
	key := runKey{job: e.Job, attempt: e.Attempt}
	x.mu.Lock()
	x.runs[key] = cancel
	x.mu.Unlock()
	go func() {
		defer x.stopRun(key)
		x.Post(x.run(ctx, cancel, e))
	}()
}

func (x *Executor) stopRun(key runKey) {
	x.mu.Lock()
	cancel := x.runs[key]
	delete(x.runs, key)
	x.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
