package items

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// PathCopies is that of the copies of texts for the host that would go on from them.
	PathCopies = "/copies"
	// copyEvery is the interval of the copies: what a host's death costs a running item.
	copyEvery   = 300 * time.Millisecond
	copyTimeout = 600 * time.Millisecond
	copyMost    = 32 << 20 // bytes of one message
)

// jobCopy is what a host gets of a job since the last copy that it acknowledged.
type jobCopy struct {
	Job    string
	Body   *wire.Job // with the first copy
	Chunk  int       // number of the first of Chunks
	Chunks []wire.JobChunk
	Parts  []textCopy
}

// textCopy is the part of an item's text behind its first From events.
type textCopy struct {
	Item     int
	From     int
	Events   int
	Last     string
	Versions []uint64
	Data     []byte
}

// copied is what the host that gets copies of a job has acknowledged.
type copied struct {
	to     string
	body   bool
	chunks int
	events []int // by item
	bytes  []int
}

// copyJob sets the host that gets copies of a job.
func (x *Executor) copyJob(e event.CopyJob) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e.To == "" {
		delete(x.copies, e.Job)
		return
	}
	if c := x.copies[e.Job]; c == nil || c.to != e.To {
		x.copies[e.Job] = &copied{to: e.To}
	}
}

// sendCopies sends what the copies lack, host by host.
func (x *Executor) sendCopies(ctx context.Context) {
	x.copying.Lock()
	defer x.copying.Unlock()
	x.mu.Lock()
	jobs := make(map[string]*copied, len(x.copies))
	for id, c := range x.copies {
		jobs[id] = c
	}
	x.mu.Unlock()
	byHost := map[string][]jobCopy{}
	for id, c := range jobs {
		if one, ok := x.keeper.lacking(id, c); ok {
			byHost[c.to] = append(byHost[c.to], one)
		}
	}
	for host, all := range byHost {
		if x.Peers.Copy(ctx, host, all) {
			for _, one := range all {
				jobs[one.Job].acknowledge(one)
			}
		}
	}
}

// acknowledge notes what a host has.
func (c *copied) acknowledge(one jobCopy) {
	c.body = true
	c.chunks = one.Chunk + len(one.Chunks)
	for _, part := range one.Parts {
		for len(c.events) <= part.Item {
			c.events = append(c.events, 0)
			c.bytes = append(c.bytes, 0)
		}
		if part.From == 0 {
			c.bytes[part.Item] = 0
		}
		c.events[part.Item] = part.Events
		c.bytes[part.Item] += len(part.Data)
	}
}

// lacking returns what a host lacks of a job; false when it has all.
func (k *keeper) lacking(id string, c *copied) (jobCopy, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil || !j.owned {
		return jobCopy{}, false
	}
	one := jobCopy{Job: id, Chunk: c.chunks}
	if !c.body {
		job := j.job
		one.Body = &job
	}
	one.Chunks = j.since(c.chunks)
	for i, t := range j.texts {
		if part, ok := t.since(i, c); ok {
			one.Parts = append(one.Parts, part)
		}
	}
	return one, one.Body != nil || len(one.Chunks) > 0 || len(one.Parts) > 0
}

// since returns the chunks from a number on.
func (j *kept) since(number int) []wire.JobChunk {
	var all []wire.JobChunk
	for n := number; n < j.chunks; n++ {
		all = append(all, wire.JobChunk{Results: j.listed[j.starts[n]:j.end(n)]})
	}
	return all
}

// end returns the position behind a chunk.
func (j *kept) end(number int) int {
	if number+1 < len(j.starts) {
		return j.starts[number+1]
	}
	return len(j.listed)
}

// since returns the part of a text that a host lacks. A text that began anew is sent whole.
func (t *text) since(i int, c *copied) (textCopy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, offset := 0, 0
	if i < len(c.events) {
		from, offset = c.events[i], c.bytes[i]
	}
	if t.events < from || len(t.data) < offset {
		from, offset = 0, 0
	}
	if t.events == from {
		return textCopy{}, false
	}
	return textCopy{
		Item: i, From: from, Events: t.events, Last: t.last, Versions: slices.Clone(t.versions), Data: slices.Clone(t.data[offset:]),
	}, true
}

// takeCopies keeps what another host sent.
func (x *Executor) takeCopies(all []jobCopy) {
	for _, one := range all {
		if one.Body != nil {
			x.keeper.add(*one.Body)
		}
		j := x.keeper.get(one.Job)
		if j == nil || x.keeper.owns(one.Job) {
			continue
		}
		for n, chunk := range one.Chunks {
			x.keeper.extend(one.Job, one.Chunk+n, chunk.Results)
			x.free(j, indices(chunk))
		}
		for _, part := range one.Parts {
			if part.Item < len(j.texts) {
				j.texts[part.Item].take(part)
			}
		}
	}
}

// take appends a copied part that follows what is held.
func (t *text) take(part textCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if part.From == 0 {
		t.data, t.events = nil, 0
	}
	if part.From != t.events {
		return
	}
	t.data = append(t.data, part.Data...)
	t.events, t.last, t.versions = part.Events, part.Last, part.Versions
}

// held returns what is held of the items that are not listed.
func (j *kept) held() []event.ItemHeld {
	var all []event.ItemHeld
	for i, t := range j.texts {
		if events, _, versions := t.state(); events > 0 {
			all = append(all, event.ItemHeld{Item: i, Events: events, Versions: versions})
		}
	}
	return all
}

// Copy sends copies to the host of that name and reports whether it has taken them.
func (p *Pages) Copy(ctx context.Context, host string, all []jobCopy) bool {
	address := p.Book.Address(host)
	if address == "" {
		return false
	}
	body, err := msgpack.Marshal(all)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathCopies, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// ServeCopies takes another host's copies. It may be called concurrently.
func (p *Pages) ServeCopies(w http.ResponseWriter, r *http.Request) {
	if !relay.Knows(r, p.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	var all []jobCopy
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, copyMost))
	if err != nil || msgpack.Unmarshal(body, &all) != nil {
		http.Error(w, "the copies can't be read", http.StatusBadRequest)
		return
	}
	p.Jobs.takeCopies(all)
}
