package items

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

// pageBytes bounds the texts of one page.
const pageBytes = 900 << 10

// Call is a caller's call to batch jobs.
type Call struct {
	KeyHash string
	Host    string // name that the caller asked for
	Path    string
	Job     string
}

// Submit stores a job and has it run. The answer's kind is "" once the job will be kept.
func (x *Executor) Submit(ctx context.Context, c Call, job wire.Job) event.JobAnswer {
	return x.ask(ctx, event.JobCalled{Call: event.JobSubmit, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: job.ID, Head: HeadOf(job)}, &job)
}

// End ends a job.
func (x *Executor) End(ctx context.Context, c Call) event.JobAnswer {
	return x.ask(ctx, event.JobCalled{Call: event.JobEnd, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: c.Job}, nil)
}

// Authorise tells whose key a read bears.
func (x *Executor) Authorise(ctx context.Context, c Call) event.JobAnswer {
	return x.ask(ctx, event.JobCalled{Call: event.JobRead, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: c.Job}, nil)
}

// ask hands a call to the reducer and waits for its answer.
func (x *Executor) ask(ctx context.Context, e event.JobCalled, job *wire.Job) event.JobAnswer {
	answer := make(chan event.JobAnswer, 1)
	x.mu.Lock()
	x.seq++
	e.Seq = x.seq
	x.answers[e.Seq] = answer
	if job != nil {
		x.arriving[e.Seq] = *job
	}
	x.mu.Unlock()
	defer x.forget(e.Seq)
	if !x.Post(e) {
		return event.JobAnswer{Kind: kinds.Stopping}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	case <-x.ctx.Done():
	}
	return event.JobAnswer{Kind: kinds.OutcomeUnknown}
}

func (x *Executor) forget(seq uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.answers, seq)
	delete(x.arriving, seq)
}

func (x *Executor) answer(a event.JobAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.answers[a.Seq]; c != nil {
		c <- a
		delete(x.answers, a.Seq)
	}
}

// Page returns a job's results from a position on, from this host's memory, the host that runs it, or the store.
func (x *Executor) Page(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, error) {
	if page, ok := x.OwnPage(ctx, id, after, wait); ok {
		return page, nil
	}
	host, err := x.runner(ctx, id)
	if err != nil {
		return wire.JobPage{}, err
	}
	if host != x.Host {
		if page, ok := x.Peers.Page(ctx, host, id, after, wait); ok {
			return page, nil
		}
		x.seek(ctx, id, host)
	}
	return x.storedPage(ctx, id, after, wait)
}

// seek tells the reducer of a job whose owner did not answer, unless the job is known there to be ended.
func (x *Executor) seek(ctx context.Context, id, host string) {
	if ctx.Err() != nil || x.keeper.owner(id).Ended {
		return
	}
	seen := x.keeper.owner(id)
	if seen.Host == "" {
		job, err := x.loadPast(ctx, id)
		if err != nil {
			return
		}
		seen = event.JobSeen{Job: id, Host: host, Incarnation: job.Incarnation}
	}
	x.Post(event.JobSought{Seen: seen})
}

// runner returns the host that runs a job as far as is known here: of a job that no news told of, its first owner.
func (x *Executor) runner(ctx context.Context, id string) (string, error) {
	if owner := x.keeper.owner(id); owner.Host != "" {
		return owner.Host, nil
	}
	job, err := x.loadPast(ctx, id)
	return job.Host, err
}

// confirmed reports whether the list of a job that this host runs is whole: another host may have taken the job over
// while this one was frozen, and listed more.
func (x *Executor) confirmed(ctx context.Context, id string) bool {
	if x.keeper.sure(id) {
		return true
	}
	j := x.keeper.get(id)
	if j == nil {
		return false
	}
	_, err := x.chunk(ctx, id, x.keeper.count(id))
	if kinds.From(err) != kinds.NotFound {
		return false
	}
	x.keeper.setSure(id)
	return true
}

// OwnPage returns a page of a job that this host runs; false for any other job, and when the page is empty though
// another host may have listed more.
func (x *Executor) OwnPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, bool) {
	page, ok := x.local(ctx, id, after, wait)
	return page, ok && (len(page.Results) > 0 || x.confirmed(ctx, id))
}

// local returns a page of a job that this host runs, from memory.
func (x *Executor) local(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, bool) {
	return x.keeper.page(ctx, id, after, wait, pageBytes)
}

// pollEvery is the interval at which the store is asked for a chunk that a reader waits for.
const pollEvery = 400 * time.Millisecond

// storedPage reads a page from the store's chunks.
func (x *Executor) storedPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, error) {
	job, err := x.loadPast(ctx, id)
	if err != nil {
		return wire.JobPage{}, err
	}
	until := time.Now().Add(wait)
	for {
		page := x.past.page(job, after)
		if len(page.Results) > 0 || page.Next >= page.Total {
			return page, nil
		}
		more, err := x.readOn(ctx, id)
		if err != nil {
			return wire.JobPage{}, err
		}
		if more {
			continue
		}
		if time.Now().Add(pollEvery).After(until) || ctx.Err() != nil {
			return page, nil
		}
		if retry.Pause(ctx, pollEvery) != nil {
			return page, nil
		}
	}
}

// readOn reads the stored chunks beyond those that are known and reports whether there were any: all of a job that was
// not read here before, else the next one.
func (x *Executor) readOn(ctx context.Context, id string) (bool, error) {
	number := x.past.next(id)
	if number == 0 {
		chunks, err := x.chunks(ctx, id)
		for n, chunk := range chunks {
			x.past.extend(id, n, chunk.Results)
		}
		return len(chunks) > 0, err
	}
	chunk, err := x.chunk(ctx, id, number)
	if kinds.From(err) == kinds.NotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	x.past.extend(id, number, chunk.Results)
	return true, nil
}

// Body returns the body of an item that is not listed yet. Its error has kind NotFound when there is none.
func (x *Executor) Body(ctx context.Context, id, item string) ([]byte, string, error) {
	job, err := x.loadPast(ctx, id)
	if err != nil {
		return nil, "", err
	}
	if j := x.keeper.get(id); j != nil && j.owned {
		body, ok := x.keeper.body(id, item)
		if !ok {
			return nil, job.Organisation, kinds.New(kinds.NotFound, "item %s is listed or not of job %s", item, id)
		}
		return body, job.Organisation, nil
	}
	for _, it := range job.Items {
		if it.ID == item {
			return it.Body, job.Organisation, nil
		}
	}
	return nil, job.Organisation, kinds.New(kinds.NotFound, "job %s has no item %s", id, item)
}
