package items

import (
	"bytes"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// itemBytes is what an item holds besides its text: as decoded, in the table of jobs and in the reducer.
	itemBytes = 1 << 10
	// textCopies are the copies of a submission's text that exist at once: as decoded, as encoded for the store, and as sent to it.
	textCopies = 4
	// quoteBytes is what a quotation mark of an item's text stands for: half a string of a map of header fields.
	quoteBytes = 64
)

// itemCost returns what an item of a submission holds while it is decoded and stored, in bytes, by its text.
func itemCost(text []byte) int64 {
	return itemBytes + textCopies*int64(len(text)) + quoteBytes*int64(bytes.Count(text, []byte{'"'}))
}

// jobBytes returns what a job holds for as long as it is in the table, in bytes.
func jobBytes(job *wire.Job) int64 {
	total := textBytes(job) + itemBytes*int64(len(job.Items))
	for i := range job.Items {
		total += int64(2 * quoteBytes * len(job.Items[i].Headers))
	}
	return total
}

// storedBytes returns the least size of the object that stores a job, in bytes: its texts in base64.
func storedBytes(job *wire.Job) int64 { return textBytes(job) * 4 / 3 }

// textBytes returns the length of all texts of a job's items.
func textBytes(job *wire.Job) int64 {
	total := 0
	for i := range job.Items {
		item := &job.Items[i]
		total += len(item.ID) + len(item.Path) + len(item.Group) + len(item.Body)
		for name, value := range item.Headers {
			total += len(name) + len(value)
		}
		if r := item.Reward; r != nil {
			total += len(r.ID) + len(r.Host) + len(r.Path) + len(r.Body)
		}
	}
	return int64(total)
}

// admit returns why a submitted job is refused for what the jobs hold, "" when it is not. The limit is in bytes, 0 for none. A job
// that the table has is not refused.
func (jt *jobTable) admit(job *wire.Job, limit int64) kinds.Kind {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if limit == 0 || jt.jobs[job.ID] != nil {
		return ""
	}
	switch size := jobBytes(job); {
	case size > limit:
		return kinds.BodyTooLarge
	case jt.held+size > limit:
		return kinds.MemoryShort
	}
	return ""
}
