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
	// minTextAge is the age from which on a text is stored. An engine generates a younger text again as fast as this
	// host could read it from the store.
	minTextAge = 1500 * time.Millisecond
	// storeTextsInterval is the interval at which the long texts of a job are stored. When all hosts lose power, a text
	// loses what was generated since it was last stored.
	storeTextsInterval = 1500 * time.Millisecond
	// storeTextsRetryInterval is the pause after the texts of a job could not be stored.
	storeTextsRetryInterval = 4 * time.Second
)

// textStoreState is what the store holds of a job's unlisted texts. Only the goroutine that has set busy may use version
// and events; Executor.mu guards the other fields.
type textStoreState struct {
	version   uint64
	events    map[int]int // by item
	nextStore time.Time
	busy      bool
}

// storeTexts stores the long texts of the jobs that this host runs. The copies at another host are newer, but all hosts
// may lose power at once.
func (x *Executor) storeTexts(ctx context.Context) {
	now := time.Now()
	for _, id := range x.jobTable.runningJobs() {
		s := x.beginTextStore(id, now)
		if s == nil {
			continue
		}
		texts := x.jobTable.get(id).longTexts(now)
		if !s.outdated(texts) {
			x.finishTextStore(s, now)
			continue
		}
		go x.putTexts(ctx, id, s, texts)
	}
}

// beginTextStore returns the state of a job whose texts are due to be stored, marked as busy; nil for any other job.
func (x *Executor) beginTextStore(id string, now time.Time) *textStoreState {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.storedTexts[id]
	if s == nil {
		s = &textStoreState{nextStore: now.Add(minTextAge)}
		x.storedTexts[id] = s
	}
	if s.busy || now.Before(s.nextStore) {
		return nil
	}
	s.busy = true
	return s
}

func (x *Executor) finishTextStore(s *textStoreState, nextStore time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s.nextStore, s.busy = nextStore, false
}

// outdated reports whether a text has grown since it was stored.
func (s *textStoreState) outdated(texts []textCopy) bool {
	return slices.ContainsFunc(texts, func(part textCopy) bool { return part.Events > s.events[part.Item] })
}

func (x *Executor) putTexts(ctx context.Context, id string, s *textStoreState, texts []textCopy) {
	pause := storeTextsInterval
	defer func() { x.finishTextStore(s, time.Now().Add(pause)) }()
	value, err := encode(texts)
	if err != nil {
		return
	}
	name := wire.PrefixTexts + id
	object, err := x.putObject(ctx, wire.ObjectPut{Name: name, Version: s.version, Writer: x.writerID(0), Value: value})
	switch kinds.KindOf(err) {
	case "":
		s.version, s.events = object.Version, map[int]int{}
		for _, part := range texts {
			s.events[part.Item] = part.Events
		}
	case kinds.Conflict: // with an earlier write whose answer was lost, or with another owner's
		if object, err := x.get(ctx, name); err == nil {
			s.version = object.Version
		}
	default:
		pause = storeTextsRetryInterval
	}
}

// restoreTexts replaces the texts held here by the stored ones that are longer.
func (x *Executor) restoreTexts(ctx context.Context, j *jobState) {
	object, err := x.get(ctx, wire.PrefixTexts+j.job.ID)
	if err != nil {
		return // without stored texts the items run again from what is held here
	}
	var texts []textCopy
	if decode(object.Value, &texts) != nil {
		return // the object does not hold texts
	}
	for _, part := range texts {
		if part.Item < 0 || part.Item >= len(j.texts) || j.isListed(part.Item) {
			continue
		}
		if events, _, _ := j.texts[part.Item].state(); part.Events > events {
			j.texts[part.Item].appendPart(part)
		}
	}
}

// runningJobs returns the ids of the jobs that this host runs and that have unlisted items and have not ended, sorted.
func (jt *jobTable) runningJobs() []string {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	var ids []string
	for id, j := range jt.jobs {
		if j.owned && !jt.owners[id].Ended && len(j.listed) < len(j.job.Items) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// longTexts returns the texts of at least minTextAge, the one with the most events first, as many as fit into a stored
// object.
func (j *jobState) longTexts(now time.Time) []textCopy {
	if j == nil {
		return nil
	}
	var texts []textCopy
	for i, t := range j.texts {
		if part, ok := t.longPart(i, now); ok {
			texts = append(texts, part)
		}
	}
	slices.SortStableFunc(texts, func(a, b textCopy) int { return cmp.Compare(b.Events, a.Events) })
	size := 0
	for n, part := range texts {
		size += len(part.Data)
		if size > maxChunkBytes {
			return texts[:n]
		}
	}
	return texts
}

// longPart returns the whole text if it started at least minTextAge ago.
func (t *itemText) longPart(i int, now time.Time) (textCopy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.events == 0 || now.Sub(t.startedAt) < minTextAge {
		return textCopy{}, false
	}
	return textCopy{Item: i, Events: t.events, Last: t.lastID, Versions: slices.Clone(t.versions), Software: t.software, Data: slices.Clone(t.text.data)}, true
}
