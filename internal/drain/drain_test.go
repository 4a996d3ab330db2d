package drain_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/drain"
	"github.com/figshift/figshift/internal/event"
)

func TestComponentExits(t *testing.T) {
	type step struct {
		at time.Duration
		ev event.Event
	}
	cases := map[string]struct {
		steps []step
		exits []time.Duration
	}{
		"not asked":    {steps: []step{{time.Second, event.Tick{}}}},
		"nothing runs": {steps: []step{{1, event.StopAsked{}}, {2, event.Tick{}}, {3, event.Tick{}}}, exits: []time.Duration{2}},
		"waits for all": {
			steps: []step{
				{1, event.StopAsked{}},
				{1, event.DrainBegun{Owner: "a"}},
				{1, event.DrainBegun{Owner: "b"}},
				{2, event.DrainEnded{Owner: "a"}},
				{3, event.Tick{}},
				{4, event.DrainEnded{Owner: "b"}},
				{5, event.Tick{}},
			},
			exits: []time.Duration{5},
		},
		"maximum wait": {
			steps: []step{{1, event.StopAsked{}}, {1, event.DrainBegun{Owner: "a"}}, {2, event.StopAsked{}}, {10, event.Tick{}}, {11, event.Tick{}}},
			exits: []time.Duration{11},
		},
	}
	site := config.Defaults()
	site.Limits.DefaultTimeout = 4
	cases["maximum wait and longest request"] = struct {
		steps []step
		exits []time.Duration
	}{
		steps: []step{{0, event.ConfigInForce{Site: site}}, {1, event.StopAsked{}}, {1, event.DrainBegun{Owner: "a"}}, {14, event.Tick{}}, {15, event.Tick{}}},
		exits: []time.Duration{15},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &drain.Component{Grace: 10}
			var exits []time.Duration
			for _, s := range c.steps {
				var out event.Batch
				p.Step(s.at, s.ev, &out)
				for _, e := range out.Effects {
					if _, ok := e.(event.Exit); ok {
						exits = append(exits, s.at)
					}
				}
			}
			if diff := cmp.Diff(c.exits, exits); diff != "" {
				t.Error(diff)
			}
		})
	}
}
