package engin

import (
	"net/http"
	"sync"
)

// PathGroundTruth is the path at which an engine returns, by GET, the weight versions that generated the tokens of each
// attempt.
const PathGroundTruth = "/truth"

// AttemptRecord is an attempt with the weight versions that generated its tokens, in order.
type AttemptRecord struct {
	Request  string
	Attempt  string
	Seed     int64
	Versions []uint64
}

// groundTruth records the versions that the engine actually used, independent of what its segments report.
type groundTruth struct {
	mu          sync.Mutex
	attemptIDs  []string // in the order of their first segments
	byAttemptID map[string]*AttemptRecord
}

func (t *groundTruth) add(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.byAttemptID[s.job.attemptID]
	if record == nil {
		if t.byAttemptID == nil {
			t.byAttemptID = map[string]*AttemptRecord{}
		}
		record = &AttemptRecord{Request: s.requestID, Attempt: s.job.attemptID, Seed: s.request.Seed}
		t.byAttemptID[s.job.attemptID] = record
		t.attemptIDs = append(t.attemptIDs, s.job.attemptID)
	}
	version := s.engine.swapState.version()
	if n := len(record.Versions); n == 0 || record.Versions[n-1] != version {
		record.Versions = append(record.Versions, version)
	}
}

// ServeHTTP answers with all attempts, oldest first.
func (t *groundTruth) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	all := make([]AttemptRecord, 0, len(t.attemptIDs))
	for _, id := range t.attemptIDs {
		record := *t.byAttemptID[id]
		record.Versions = append([]uint64(nil), record.Versions...)
		all = append(all, record)
	}
	t.mu.Unlock()
	writeJSON(w, all)
}
