package items

import (
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/budget"
)

// itemText is what the runs of an item have generated so far.
type itemText struct {
	mu        sync.Mutex
	text      heldBytes
	events    int
	lastID    string    // id of the last event
	startedAt time.Time // when a run here got the first event; not set for a copied text, which counts as long
	versions  []uint64  // weight versions that generated the text
	software  string    // version of the engines' software that generated the text
	resets    int
	score     string
	memory    *budget.Budget // that the text draws on, nil for no bound
	receiving *budget.Claim  // of what a run has received of the next event
}

func (t *itemText) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
}

// prepare drops the text unless an engine with a version of the software can go on with it.
func (t *itemText) prepare(software string) {
	if events, began := t.began(); events > 0 && began != software {
		t.reset()
	}
}

// began returns the number of events and the software version that made them.
func (t *itemText) began() (events int, software string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events, t.software
}

// add appends the data of one event, separated by a newline from the one before. Version is that of the weights, 0 for not
// known. The text must not have been dropped since the event before, nor may it be dropped for this one.
func (t *itemText) add(id string, data []byte, version uint64, software string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isNextEvent(t.lastID, id) {
		return errTextDropped
	}
	var separator []byte
	if t.events > 0 {
		separator = []byte{'\n'}
	}
	if err := t.hold(separator, data); err != nil {
		return err
	}
	if t.events == 0 {
		t.startedAt, t.software = time.Now(), software
	}
	t.events++
	t.lastID = id
	if version != 0 && !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
	return nil
}

func (t *itemText) state() (events int, lastID string, versions []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events, t.lastID, slices.Clone(t.versions)
}
