package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/logs"
)

func TestExecutorWritesOneLine(t *testing.T) {
	cases := map[string]struct {
		effect event.Effect
		done   bool
		want   string
	}{
		"warn": {
			effect: event.Log{Level: "warn", Event: "LeaseLost", Fields: []event.Field{{Key: "Duty", Value: "Usage"}, {Key: "Why", Value: "a b\n=c"}}},
			done:   true,
			want:   "Level=warn Event=LeaseLost Daemon=h1 Duty=Usage Why=\"a b\\n=c\"\n",
		},
		"below level": {effect: event.Log{Level: "debug", Event: "Tick"}, done: true},
		"bad level":   {effect: event.Log{Level: "loud", Event: "Tick"}, done: true, want: "Level=info Event=Tick Daemon=h1\n"},
		"other":       {effect: event.Exit{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			x := &logs.Executor{Log: logs.New("info", "h1", &out)}
			if done := x.Do(c.effect); done != c.done {
				t.Errorf("Do() = %v, want %v", done, c.done)
			}
			_, line, _ := strings.Cut(out.String(), " ")
			if diff := cmp.Diff(c.want, line); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestRequestsAreLogged(t *testing.T) {
	cases := map[string]struct {
		kind   kinds.Kind
		sample *event.SampleRef
		debug  bool
		want   []string
	}{
		"whole":          {},
		"whole, debug":   {debug: true, want: []string{"debug"}},
		"refused":        {kind: kinds.QueueFull},
		"refused, debug": {kind: kinds.QueueFull, debug: true, want: []string{"debug"}},
		"unknown":        {kind: kinds.OutcomeUnknown, want: []string{"warn"}},
		"spare sample":   {kind: kinds.StreamCut, sample: &event.SampleRef{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &logs.RequestLogger{Incarnation: "i1", Debug: c.debug}
			var out event.Batch
			p.Step(0, event.RequestDone{Request: 7, Kind: c.kind, Sample: c.sample, Took: time.Second}, &out)
			var levels []string
			for _, e := range out.Effects {
				l := e.(event.Log)
				levels = append(levels, l.Level)
				if l.Fields[0].Value != "i1-7" {
					t.Errorf("request %q", l.Fields[0].Value)
				}
			}
			if diff := cmp.Diff(c.want, levels); diff != "" {
				t.Error(diff)
			}
		})
	}
}
