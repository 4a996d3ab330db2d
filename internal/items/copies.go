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
	// PathCopies is the path at which a host receives copies of texts from the hosts whose jobs it would take over.
	PathCopies = "/copies"
	// copyInterval is the interval at which copies are sent. When its host dies, a running item loses what it generated
	// since the last copy.
	copyInterval = 300 * time.Millisecond
	copyTimeout  = 600 * time.Millisecond
	maxCopyBytes = 32 << 20 // of one message
	maxCopyParts = 4 << 20  // of the texts of one job in a message, beyond which only one more goes
)

// CopyOutcome is what became of a message with copies.
type CopyOutcome int

// What became of a message with copies.
const (
	CopyUnknown   CopyOutcome = iota // not sent, or the answer was lost
	CopyTaken                        // the host holds the copies
	CopyUnfitting                    // they do not follow what the host holds
)

// jobCopy is a message with the changes to a job since the last copy that the receiving host acknowledged.
type jobCopy struct {
	Job          string
	Organisation string    `msgpack:",omitempty"` // whose job it is; older builds don't tell
	Body         *wire.Job // set in the first copy only
	Stored       bool      `msgpack:",omitempty"` // the store holds the job
	Chunk        int       // number of the first chunk in Chunks
	Chunks       []wire.JobChunk
	Parts        []textCopy
}

// textCopy is the part of an item's text that follows its first From events.
type textCopy struct {
	Item     int
	From     int
	Events   int    // in the text up to the end of this part
	Last     string // id of the last event
	Versions []uint64
	Software string `msgpack:",omitempty"` // version of the engines' software that generated the text
	Data     []byte

	resets int // of the text at the sender
}

// copyProgress is what the host that receives copies of a job has acknowledged.
type copyProgress struct {
	receiver string
	hasBody  bool
	stored   bool // the copy says that the store holds the job
	chunks   int
	events   []int // number of events, by item
	bytes    []int // size of the text, by item
	resets   []int // of the text, by item
}

// setCopyHost sets the host that receives copies of a job, or ends the copies when there is none.
func (x *Executor) setCopyHost(e event.CopyJob) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e.To == "" {
		delete(x.copies, e.Job)
		return
	}
	if c := x.copies[e.Job]; c == nil || c.receiver != e.To {
		x.copies[e.Job] = &copyProgress{receiver: e.To}
	}
}

// sendCopies sends each host, in one message, the changes that its copies lack. A host that holds something else than it
// has acknowledged, since an answer was lost or its process has restarted, gets the jobs in full the next time.
func (x *Executor) sendCopies(ctx context.Context) {
	x.copyMu.Lock()
	defer x.copyMu.Unlock()
	x.mu.Lock()
	progress := make(map[string]*copyProgress, len(x.copies))
	for id, c := range x.copies {
		progress[id] = c
	}
	x.mu.Unlock()
	byHost := map[string][]jobCopy{}
	for id, c := range progress {
		if update, ok := x.jobTable.missingCopy(id, c); ok {
			byHost[c.receiver] = append(byHost[c.receiver], update)
		}
	}
	for host, updates := range byHost {
		outcome := x.Peers.Copy(ctx, host, updates)
		for _, update := range updates {
			switch outcome {
			case CopyTaken:
				progress[update.Job].acknowledge(update)
			case CopyUnfitting:
				*progress[update.Job] = copyProgress{receiver: host}
			}
		}
	}
}

// acknowledge records that the host has taken a copy.
func (c *copyProgress) acknowledge(sent jobCopy) {
	c.hasBody, c.stored = true, sent.Stored
	c.chunks = sent.Chunk + len(sent.Chunks)
	for _, part := range sent.Parts {
		for len(c.events) <= part.Item {
			c.events = append(c.events, 0)
			c.bytes = append(c.bytes, 0)
			c.resets = append(c.resets, 0)
		}
		if part.From == 0 {
			c.bytes[part.Item] = 0
		}
		c.events[part.Item], c.resets[part.Item] = part.Events, part.resets
		c.bytes[part.Item] += len(part.Data)
	}
}

// missingCopy returns the changes that the copy of a job lacks; false for none or when this host does not run the job.
func (jt *jobTable) missingCopy(id string, progress *copyProgress) (jobCopy, bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	j := jt.jobs[id]
	if j == nil || !j.owned {
		return jobCopy{}, false
	}
	missing := jobCopy{Job: id, Organisation: j.job.Organisation, Stored: j.stored, Chunk: progress.chunks}
	if !progress.hasBody {
		job := j.job
		missing.Body = &job
	}
	missing.Chunks = j.since(progress.chunks)
	size := 0
	for i, t := range j.texts {
		if part, ok := t.since(i, progress); ok {
			missing.Parts = append(missing.Parts, part)
			if size += len(part.Data); size > maxCopyParts {
				break // the others go with the next message
			}
		}
	}
	return missing, missing.Body != nil || missing.Stored != progress.stored || len(missing.Chunks) > 0 || len(missing.Parts) > 0
}

// since returns the chunks from a number on.
func (j *jobState) since(number int) []wire.JobChunk {
	var rest []wire.JobChunk
	for n := number; n < j.chunks; n++ {
		rest = append(rest, wire.JobChunk{Results: j.listed[j.chunkStarts[n]:j.chunkEnd(n)]})
	}
	return rest
}

// chunkEnd returns the position in listed at which a chunk ends, exclusive.
func (j *jobState) chunkEnd(number int) int {
	if number+1 < len(j.chunkStarts) {
		return j.chunkStarts[number+1]
	}
	return len(j.listed)
}

// since returns the part of an item's text that the copy lacks; false for none. A text that was restarted is returned
// whole.
func (t *itemText) since(i int, progress *copyProgress) (textCopy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, offset := 0, 0
	if i < len(progress.events) {
		from, offset = progress.events[i], progress.bytes[i]
	}
	if i < len(progress.resets) && progress.resets[i] != t.resets {
		from, offset = 0, 0
	}
	if t.events == from {
		return textCopy{}, false
	}
	return textCopy{
		Item: i, From: from, Events: t.events, Last: t.lastID, Versions: slices.Clone(t.versions), Software: t.software, Data: slices.Clone(t.text.data[offset:]),
		resets: t.resets,
	}, true
}

// applyCopies adds the copies that another host sent to the jobs in memory. Jobs that this host runs are passed over. It
// reports whether all copies followed what this host holds; those that don't are dropped.
func (x *Executor) applyCopies(updates []jobCopy) bool {
	fits := true
	for _, update := range updates {
		if x.jobTable.owns(update.Job) {
			continue
		}
		j := x.jobTable.addCopy(update)
		if j == nil || update.Chunk > x.jobTable.chunkCount(update.Job) {
			fits = false
			continue
		}
		for n, chunk := range update.Chunks {
			x.jobTable.appendChunk(update.Job, update.Chunk+n, chunk.Results, time.Time{})
			x.releaseTexts(j, itemIndices(chunk))
		}
		for _, part := range update.Parts {
			if part.Item < len(j.texts) && !j.texts[part.Item].appendPart(part) {
				fits = false
			}
		}
	}
	return fits
}

// addCopy adds the job of a copy that brings its body, and returns the state of the job. It returns nil when the table doesn't have
// the job, or has another one of that id: the copy replaces that one only if it brings the body and the store isn't known to hold
// the other.
func (jt *jobTable) addCopy(update jobCopy) *jobState {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	j := jt.jobs[update.Job]
	if j != nil && update.isOfAnother(&j.job) {
		if update.Body == nil || j.stored && !update.Stored {
			return nil
		}
		jt.remove(j)
		j = nil
	}
	if j == nil && update.Body != nil {
		j = jt.addLocked(*update.Body)
	}
	if j != nil && update.Stored {
		j.stored = true
	}
	return j
}

// isOfAnother reports whether a copy is of another job than the one of its id that is known here.
func (c *jobCopy) isOfAnother(known *wire.Job) bool {
	if c.Body != nil {
		return !isSameJob(known, c.Body)
	}
	return c.Organisation != "" && c.Organisation != known.Organisation
}

// appendPart appends a copied part, or replaces the text by a part from its start. It drops a part that does not follow
// the held events, and reports whether it did follow them.
func (t *itemText) appendPart(part textCopy) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if part.From == 0 {
		t.text.drop()
		t.events = 0
	}
	if part.From != t.events || part.From > 0 && part.Software != t.software {
		return false
	}
	if t.hold(part.Data) != nil {
		return false
	}
	t.events, t.lastID, t.versions, t.software = part.Events, part.Last, part.Versions, part.Software
	return true
}

// heldItems returns the items of which a text is held. Listed items hold none.
func (j *jobState) heldItems() []event.ItemHeld {
	var items []event.ItemHeld
	for i, t := range j.texts {
		if events, _, versions := t.state(); events > 0 {
			_, software := t.began()
			items = append(items, event.ItemHeld{Item: i, Events: events, Versions: versions, Software: software})
		}
	}
	return items
}

// Copy sends copies to a host. It may be called concurrently.
func (p *PeerClient) Copy(ctx context.Context, host string, updates []jobCopy) CopyOutcome {
	address := p.Hosts.Address(host)
	if address == "" {
		return CopyUnknown
	}
	body, err := msgpack.Marshal(updates)
	if err != nil {
		return CopyUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathCopies, bytes.NewReader(body))
	if err != nil {
		return CopyUnknown
	}
	req.Header.Set(relay.HeaderSecret, p.Secret)
	resp, err := p.HTTP.RoundTrip(req)
	if err != nil {
		return CopyUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxPeerAnswer)); err != nil {
		return CopyUnknown
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return CopyTaken
	case http.StatusConflict:
		return CopyUnfitting
	default:
		return CopyUnknown
	}
}

// ServeCopies receives another host's copies. It may be called concurrently.
func (p *PeerClient) ServeCopies(w http.ResponseWriter, r *http.Request) {
	if !relay.HasSecret(r, p.Secret) {
		http.Error(w, "unknown secret", http.StatusForbidden)
		return
	}
	var updates []jobCopy
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCopyBytes))
	if err != nil || msgpack.Unmarshal(body, &updates) != nil {
		http.Error(w, "malformed or oversized copies", http.StatusBadRequest)
		return
	}
	if !p.Executor.applyCopies(updates) {
		http.Error(w, "copies do not follow what this host holds", http.StatusConflict)
	}
}
