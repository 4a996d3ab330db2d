package main

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/trace"
)

func chaosProperty(t testing.TB) func(*rapid.T) {
	newTestDaemon := daemonFactory(t)
	return func(r *rapid.T) {
		d := newTestDaemon(r.Fatal)
		defer d.close()
		newChaos(r, d).run()
	}
}

func TestAnyOrderOfEventsKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, chaosProperty(t))
}

func FuzzReducer(f *testing.F) {
	f.Fuzz(func(t *testing.T, input []byte) {
		rapid.MakeFuzz(chaosProperty(t))(t, input)
	})
}

func TestReplayGivesTheSameEffects(t *testing.T) {
	newTestDaemon := daemonFactory(t)
	rapid.Check(t, func(r *rapid.T) {
		var file bytes.Buffer
		d := newTestDaemon(r.Fatal)
		defer d.close()
		c := newChaos(r, d)
		c.recorder = &trace.Writer{Out: &file}
		if err := c.recorder.Begin(trace.Header{Process: d.process, Incarnation: d.incarnation, Seed: d.seed}); err != nil {
			r.Fatal(err)
		}
		c.run()
		_, steps, err := trace.Read(&file)
		if err != nil {
			r.Fatal(err)
		}
		fresh := newTestDaemon(r.Fatal)
		defer fresh.close()
		if err := replay(fresh.state, steps); err != nil {
			r.Fatal(err)
		}
	})
}

func TestReplayNoticesAnotherEffect(t *testing.T) {
	d := daemonFactory(t)(t.Fatal)
	defer d.close()
	steps := []trace.Step{{At: time.Second, Event: event.StopAsked{}, Effects: 1}}
	if err := replay(d.state, steps); err == nil {
		t.Error("replay accepted a step whose effects differ from the recorded ones")
	}
}
