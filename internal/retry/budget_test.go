package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBudgetIsAShareOfTheServed(t *testing.T) {
	b := Budget{Share: 0.1}
	for range int(initialRetries) {
		if !b.Take("r") {
			t.Fatal("a new route has fewer retries than initialRetries")
		}
	}
	taken := 0
	for range 100 {
		b.Served("r")
		if b.Take("r") {
			taken++
		}
	}
	if taken < 9 || taken > 10 {
		t.Error(taken, "retries for 100 served requests")
	}
	if !b.Take("other") {
		t.Error("a route has no retries left after another one used its own")
	}
	b.Retain(func(string) bool { return false })
	if diff := cmp.Diff(0, len(b.available)); diff != "" {
		t.Error(diff)
	}
}

func TestBackoffDoublesItsCeiling(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		retry   int
		ceiling time.Duration
	}{"first": {1, time.Second}, "second": {2, 2 * time.Second}, "fourth": {4, 8 * time.Second}, "huge": {99, 1024 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for range 200 {
				longest = max(longest, Backoff(random, time.Second, c.retry))
			}
			if longest >= c.ceiling || longest < c.ceiling*3/4 {
				t.Error(longest)
			}
		})
	}
}
