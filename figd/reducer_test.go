package main

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/trace"
)

func property(t testing.TB) func(*rapid.T) {
	daemonOf := fixture(t)
	return func(r *rapid.T) {
		d := daemonOf(r.Fatal)
		defer d.close()
		newChaos(r, d).run()
	}
}

func TestAnyOrderOfEventsKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, property(t))
}

func FuzzReducer(f *testing.F) {
	f.Fuzz(func(t *testing.T, input []byte) {
		rapid.MakeFuzz(property(t))(t, input)
	})
}

func TestReplayGivesTheSameEffects(t *testing.T) {
	daemonOf := fixture(t)
	rapid.Check(t, func(r *rapid.T) {
		var file bytes.Buffer
		d := daemonOf(r.Fatal)
		defer d.close()
		c := newChaos(r, d)
		c.out = &trace.Writer{Out: &file}
		if err := c.out.Begin(trace.Header{Process: d.process, Incarnation: d.incarnation, Seed: d.seed}); err != nil {
			r.Fatal(err)
		}
		c.run()
		_, steps, err := trace.Read(&file)
		if err != nil {
			r.Fatal(err)
		}
		fresh := daemonOf(r.Fatal)
		defer fresh.close()
		if err := replay(fresh.state, steps); err != nil {
			r.Fatal(err)
		}
	})
}

func TestReplayNoticesAnotherEffect(t *testing.T) {
	d := fixture(t)(t.Fatal)
	defer d.close()
	steps := []trace.Step{{At: time.Second, Event: event.StopAsked{}, Effects: 1}}
	if err := replay(d.state, steps); err == nil {
		t.Error("replay took a step with other effects as the same")
	}
}
