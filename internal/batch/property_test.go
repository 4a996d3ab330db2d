package batch

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAnyOrderOfFailures plays any order of submissions, crashes, lost and late answers, and several owners at once:
// each item stands at one position, no refused job runs, nothing is listed before its job is stored, and what was
// accepted is listed whole once the failures end.
func TestAnyOrderOfFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		actions := []func(){w.submit, w.carryOut, w.carryOut, w.carryOut, w.carryOut, w.tell, w.tell, w.tick, w.crash}
		steps := rapid.IntRange(20, 300).Draw(t, "steps")
		for range steps {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		}
		w.calm = true
		const settled = 3000
		for range settled {
			if len(w.calls) == 0 && w.missing() == "" {
				return
			}
			w.carryOut()
			w.tell()
			if rapid.IntRange(0, 3).Draw(t, "time passes") == 0 {
				w.tick()
			}
		}
		if m := w.missing(); m != "" {
			t.Fatal(m)
		}
	})
}
