package engin

import (
	"net/http"
	"sync"
)

// PathTruth is the path at which an engine returns, by GET, the weight versions that generated the tokens of each attempt.
const PathTruth = "/truth"

// Made is an attempt with the weight versions that generated its tokens, in order.
type Made struct {
	Request  string
	Attempt  string
	Seed     int64
	Versions []uint64
}

// groundTruth records the versions that the engine actually used, independent of what its segments report.
type groundTruth struct {
	mu          sync.Mutex
	attemptIDs  []string // in the order of their first segments
	byAttemptID map[string]*Made
}

func (t *groundTruth) add(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byAttemptID[s.job.attemptID]
	if m == nil {
		if t.byAttemptID == nil {
			t.byAttemptID = map[string]*Made{}
		}
		m = &Made{Request: s.requestID, Attempt: s.job.attemptID, Seed: s.request.Seed}
		t.byAttemptID[s.job.attemptID] = m
		t.attemptIDs = append(t.attemptIDs, s.job.attemptID)
	}
	version := s.engine.swapState.version()
	if n := len(m.Versions); n == 0 || m.Versions[n-1] != version {
		m.Versions = append(m.Versions, version)
	}
}

// ServeHTTP answers with all attempts, oldest first.
func (t *groundTruth) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	all := make([]Made, 0, len(t.attemptIDs))
	for _, id := range t.attemptIDs {
		m := *t.byAttemptID[id]
		m.Versions = append([]uint64(nil), m.Versions...)
		all = append(all, m)
	}
	t.mu.Unlock()
	writeJSON(w, all)
}
