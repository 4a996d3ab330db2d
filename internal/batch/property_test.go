package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// cancelBound is the time within which an acknowledged end of a job has to take effect on every host.
const cancelBound = 3 * time.Second

// TestAnyOrderOfFailures simulates submissions, crashes, lost and late answers, and several owners at a time, in any
// order. Each item must be listed at one position only, no refused job may run, nothing may be listed before its job is
// stored, and every accepted job must be listed in full once the failures end, unless it has ended. A job whose end was
// acknowledged must not run on, and one whose end was refused must. An accepted job must be in the store.
func TestAnyOrderOfFailures(t *testing.T) {
	const rounds = 20 // of as many checks as rapid makes by default
	for range rounds {
		rapid.Check(t, playFailures)
	}
}

func playFailures(t *rapid.T) {
	s := newSimulation(t)
	actions := []func(){s.submit, s.performOne, s.performOne, s.performOne, s.performOne, s.deliver, s.deliver, s.tick, s.crash, s.end, s.read}
	steps := rapid.IntRange(20, 300).Draw(t, "steps")
	for range steps {
		actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
	}
	s.noFaults = true
	for calm := s.now; s.now < calm+cancelBound; {
		s.tick()
		s.performAll()
	}
	if m := s.wrongEnd(); m != "" {
		t.Fatal(m)
	}
	const maxSettleSteps = 3000
	for range maxSettleSteps {
		if len(s.calls) == 0 && s.incompleteJob() == "" {
			return
		}
		s.performOne()
		s.deliver()
		s.read()
		if rapid.IntRange(0, 3).Draw(t, "time passes") == 0 {
			s.tick()
		}
	}
	if m := s.incompleteJob(); m != "" {
		t.Fatal(m)
	}
}
