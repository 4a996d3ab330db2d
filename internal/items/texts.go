package items

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// textAge is the age from which on a text is worth a call: a shorter one is made anew as fast as it is read.
	textAge = 1500 * time.Millisecond
	// storeTextsEvery is the interval at which the long texts of a job are stored: what they lose when all hosts do.
	storeTextsEvery = 1500 * time.Millisecond
	// textsAgain is the pause after they could not be stored.
	textsAgain = 4 * time.Second
)

// storedTexts is what the store has of a job's unlisted texts. version and events belong to whoever has set busy.
type storedTexts struct {
	version uint64
	events  map[int]int // by item
	next    time.Time
	busy    bool
}

// storeTexts stores the long texts of the jobs that this host runs. Copies at another host are newer, but all hosts may
// lose power at once.
func (x *Executor) storeTexts(ctx context.Context) {
	now := time.Now()
	for _, id := range x.keeper.running() {
		s := x.dueTexts(id, now)
		if s == nil {
			continue
		}
		texts := x.keeper.get(id).longTexts(now)
		if !s.lacks(texts) {
			x.endTexts(s, now)
			continue
		}
		go x.putTexts(ctx, id, s, texts)
	}
}

// dueTexts returns what is stored of a job whose texts may be stored again, marked as busy; nil for any other job.
func (x *Executor) dueTexts(id string, now time.Time) *storedTexts {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.texts[id]
	if s == nil {
		s = &storedTexts{next: now.Add(textAge)}
		x.texts[id] = s
	}
	if s.busy || now.Before(s.next) {
		return nil
	}
	s.busy = true
	return s
}

func (x *Executor) endTexts(s *storedTexts, next time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s.next, s.busy = next, false
}

// lacks reports whether a text has grown since it was stored.
func (s *storedTexts) lacks(texts []textCopy) bool {
	return slices.ContainsFunc(texts, func(part textCopy) bool { return part.Events > s.events[part.Item] })
}

func (x *Executor) putTexts(ctx context.Context, id string, s *storedTexts, texts []textCopy) {
	next := storeTextsEvery
	defer func() { x.endTexts(s, time.Now().Add(next)) }()
	value, err := encode(texts)
	if err != nil {
		return
	}
	name := wire.PrefixTexts + id
	o, err := x.putObject(ctx, wire.ObjectPut{Name: name, Version: s.version, Writer: x.writer(0), Value: value})
	switch kinds.From(err) {
	case "":
		s.version, s.events = o.Version, map[int]int{}
		for _, part := range texts {
			s.events[part.Item] = part.Events
		}
	case kinds.Conflict: // an earlier write whose answer was lost, or another owner's
		if o, err := x.get(ctx, name); err == nil {
			s.version = o.Version
		}
	default:
		next = textsAgain
	}
}

// takeTexts takes the stored texts that are longer than those held here.
func (x *Executor) takeTexts(ctx context.Context, j *kept) {
	o, err := x.get(ctx, wire.PrefixTexts+j.job.ID)
	if err != nil {
		return // none were stored, or they are made anew
	}
	var texts []textCopy
	if decode(o.Value, &texts) != nil {
		return // another writer's object
	}
	for _, part := range texts {
		if part.Item < 0 || part.Item >= len(j.texts) || j.isListed(part.Item) {
			continue
		}
		if events, _, _ := j.texts[part.Item].state(); part.Events > events {
			j.texts[part.Item].take(part)
		}
	}
}

// running returns the jobs that this host runs and that have not ended, sorted.
func (k *keeper) running() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ids []string
	for id, j := range k.jobs {
		if j.owned && !k.owners[id].Ended && len(j.listed) < len(j.job.Items) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// longTexts returns the texts of a certain age, the longest first and as many as fit into an object.
func (j *kept) longTexts(now time.Time) []textCopy {
	if j == nil {
		return nil
	}
	var texts []textCopy
	for i, t := range j.texts {
		if part, ok := t.whole(i, now); ok {
			texts = append(texts, part)
		}
	}
	slices.SortStableFunc(texts, func(a, b textCopy) int { return cmp.Compare(b.Events, a.Events) })
	size := 0
	for n, part := range texts {
		size += len(part.Data)
		if size > chunkBytes {
			return texts[:n]
		}
	}
	return texts
}

// whole returns a text that began textAge ago or before.
func (t *text) whole(i int, now time.Time) (textCopy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.events == 0 || now.Sub(t.began) < textAge {
		return textCopy{}, false
	}
	return textCopy{Item: i, Events: t.events, Last: t.last, Versions: slices.Clone(t.versions), Data: slices.Clone(t.data)}, true
}
