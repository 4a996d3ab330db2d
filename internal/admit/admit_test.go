package admit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

func item(organisation string, class config.Class, cost, value int) Item[int] {
	return Item[int]{Organisation: organisation, Class: class, Pool: "p", Cost: cost, Value: value}
}

func anyItem(Item[int]) bool { return true }

// popTokens pops n items and returns the tokens popped for each organisation.
func popTokens(q Queue[int], n int) map[string]int {
	tokens := map[string]int{}
	for range n {
		i, ok := q.Pop(anyItem)
		if !ok {
			break
		}
		tokens[i.Organisation] += i.Cost
	}
	return tokens
}

func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		queue Queue[int]
		want  map[string]int
	}{
		"equal weights": {queue: &Fair[int]{}, want: map[string]int{"flood": 50, "small": 50}},
		"weights":       {queue: &Fair[int]{Weights: map[string]int{"small": 3, "flood": 1}}, want: map[string]int{"flood": 25, "small": 75}},
		"fifo":          {queue: &FIFO[int]{}, want: map[string]int{"flood": 100}},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range 500 {
				c.queue.Push(item("flood", config.Interactive, 1, i))
			}
			for i := range 100 {
				c.queue.Push(item("small", config.Interactive, 1, 1000+i))
			}
			if diff := cmp.Diff(c.want, popTokens(c.queue, 100)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestServedElsewhereCounts(t *testing.T) {
	q := &Fair[int]{}
	for i := range 100 {
		q.Push(item("spread", config.Interactive, 1, i))
		q.Push(item("here", config.Interactive, 1, 1000+i))
	}
	q.ServedElsewhere("spread", config.Interactive, 30)
	if diff := cmp.Diff(map[string]int{"here": 40, "spread": 10}, popTokens(q, 50)); diff != "" {
		t.Error(diff)
	}
}

func TestCorrection(t *testing.T) {
	q := &Fair[int]{}
	for i := range 100 {
		q.Push(item("long", config.Interactive, 1, i))
		q.Push(item("short", config.Interactive, 1, 1000+i))
	}
	first, _ := q.Pop(func(i Item[int]) bool { return i.Organisation == "long" })
	q.Correct(first, 21)
	if diff := cmp.Diff(map[string]int{"short": 21}, popTokens(q, 21)); diff != "" {
		t.Error(diff)
	}
}

func TestReturnPaysNothingAndSavesNothing(t *testing.T) {
	q := &Fair[int]{}
	for i := range 100 {
		q.Push(item("busy", config.Interactive, 1, i))
	}
	popTokens(q, 50)
	for i := range 100 {
		q.Push(item("back", config.Interactive, 1, 1000+i))
	}
	if diff := cmp.Diff(map[string]int{"busy": 9, "back": 11}, popTokens(q, 20)); diff != "" {
		t.Error(diff)
	}
}

func TestClassesAndMinShares(t *testing.T) {
	q := &Fair[int]{MinShares: map[config.Class]float64{config.Background: 0.1, config.Rollout: 0.05}}
	for i := range 1000 {
		q.Push(item("a", config.Interactive, 1, i))
		q.Push(item("b", config.Background, 1, 10_000+i))
		q.Push(item("c", config.Rollout, 1, 20_000+i))
	}
	got := popTokens(q, 400)
	for organisation, minTokens := range map[string]int{"a": 300, "b": 30, "c": 15} {
		if got[organisation] < minTokens {
			t.Errorf("%s was served %d of 400 tokens", organisation, got[organisation])
		}
	}
	if got["a"] < got["b"] || got["b"] < got["c"] {
		t.Error(got)
	}
}

func TestPoolWithoutRoomBlocksNoOther(t *testing.T) {
	for name, q := range map[string]Queue[int]{"fair": &Fair[int]{}, "fifo": &FIFO[int]{}} {
		t.Run(name, func(t *testing.T) {
			q.Push(item("a", config.Interactive, 1, 1))
			other := item("a", config.Interactive, 1, 2)
			other.Pool = "q"
			q.Push(other)
			got, ok := q.Pop(func(i Item[int]) bool { return i.Pool == "q" })
			if !ok || got.Value != 2 {
				t.Error(got, ok)
			}
		})
	}
}

func TestAheadSeesOwnShareOnly(t *testing.T) {
	q := &Fair[int]{}
	for i := range 100 {
		q.Push(item("flood", config.Interactive, 10, i))
	}
	if diff := cmp.Diff(10.0, q.TokensAhead(item("small", config.Interactive, 10, 500))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(1000.0, q.TokensAhead(item("flood", config.Interactive, 10, 500))); diff != "" {
		t.Error(diff)
	}
}

func TestServedTokens(t *testing.T) {
	var l ServedTokens
	var charged uint64
	charge := func(_ string, _ config.Class, tokens uint64) { charged += tokens }
	served := func(tokens uint64) []wire.Served {
		return []wire.Served{{Organisation: "a", Class: "Interactive", Tokens: tokens}}
	}
	l.RecordPeer("h", served(100), charge)
	l.RecordPeer("h", served(130), charge)
	l.RecordPeer("h", nil, charge)
	l.RecordPeer("h", served(130), charge)
	l.RecordPeer("h", served(5), charge)
	l.RecordPeer("h", served(7), charge)
	if diff := cmp.Diff(uint64(32), charged); diff != "" {
		t.Error(diff)
	}
	l.Add("a", config.Interactive, 68)
	if diff := cmp.Diff(1.0, l.Share("a")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(served(68), l.Changes(0)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(0, len(l.Changes(time.Second))); diff != "" {
		t.Error("unchanged counts were sent again before fullReportInterval:", diff)
	}
	if diff := cmp.Diff(served(68), l.Changes(fullReportInterval)); diff != "" {
		t.Error(diff)
	}
}

func TestThroughput(t *testing.T) {
	var p Throughput
	if p.EstimateWait(0, 100, 1) != 0 || p.EstimateRun(0, 100) != 0 {
		t.Error("estimates without any answer are not 0")
	}
	p.Record(time.Second, 10, 2*time.Second)
	if diff := cmp.Diff([]time.Duration{4 * time.Second, time.Second}, []time.Duration{p.EstimateRun(time.Second, 20), p.EstimateWait(time.Second, 20, 4)}); diff != "" {
		t.Error(diff)
	}
	if p.EstimateRun(2*measurementLifetime, 20) != 0 {
		t.Error("an estimate is based on outdated answers")
	}
}
