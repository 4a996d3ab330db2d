package engin

import (
	"net/http"
	"sync"
)

// PathTruth is where an engine tells which version made the tokens of each attempt, by GET.
const PathTruth = "/truth"

// Made is one attempt and the versions that made its tokens, in order.
type Made struct {
	Request  string
	Attempt  string
	Seed     int64
	Versions []uint64
}

// truth records what the engine made, whatever it reports.
type truth struct {
	mu    sync.Mutex
	order []string // attempts
	made  map[string]*Made
}

func (t *truth) add(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.made[s.job.attempt]
	if m == nil {
		if t.made == nil {
			t.made = map[string]*Made{}
		}
		m = &Made{Request: s.id, Attempt: s.job.attempt, Seed: s.request.Seed}
		t.made[s.job.attempt] = m
		t.order = append(t.order, s.job.attempt)
	}
	version := s.engine.swaps.version()
	if n := len(m.Versions); n == 0 || m.Versions[n-1] != version {
		m.Versions = append(m.Versions, version)
	}
}

// ServeHTTP answers with all attempts, oldest first.
func (t *truth) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	all := make([]Made, 0, len(t.order))
	for _, attempt := range t.order {
		m := *t.made[attempt]
		m.Versions = append([]uint64(nil), m.Versions...)
		all = append(all, m)
	}
	t.mu.Unlock()
	answer(w, all)
}
