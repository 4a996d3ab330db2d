// Package drain implements the end of a graceful shutdown: the process exits once every component has drained.
package drain

import (
	"sort"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// Component emits Exit once every component that raised DrainBegun has raised DrainEnded. Its exported fields must be
// set before the first Step. It must not be used concurrently.
type Component struct {
	Grace   time.Duration // maximum wait after StopAsked, in addition to the longest request of the site
	MaxWait time.Duration // maximum of the whole wait after StopAsked, longest request included; 0 for none

	longestRequest time.Duration
	stopping       bool
	exited         bool
	deadline       time.Duration
	draining       map[string]bool // owners that raised DrainBegun and not yet DrainEnded
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.longestRequest = e.Site.LongestRequest()
	case event.StopAsked:
		p.beginStop(now, out)
	case event.DrainBegun:
		p.addOwner(e.Owner)
	case event.DrainEnded:
		delete(p.draining, e.Owner)
	case event.Tick:
		p.exitWhenDrained(now, out)
	}
}

func (p *Component) beginStop(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	p.stopping = true
	p.deadline = now + p.Grace + p.longestRequest
	if p.MaxWait > 0 {
		p.deadline = min(p.deadline, now+p.MaxWait)
	}
	out.Emit(event.Log{Level: "info", Event: "StopAsked"})
}

func (p *Component) addOwner(owner string) {
	if p.draining == nil {
		p.draining = map[string]bool{}
	}
	p.draining[owner] = true
}

// exitWhenDrained emits Exit when no component is draining any more, or when the deadline has passed.
func (p *Component) exitWhenDrained(now time.Duration, out *event.Batch) {
	if !p.stopping || p.exited {
		return
	}
	if len(p.draining) > 0 && now < p.deadline {
		return
	}
	p.exited = true
	if len(p.draining) > 0 {
		out.Emit(event.Log{Level: "warn", Event: "DrainCut", Fields: []event.Field{{Key: "Waits", Value: p.owners()}}})
		out.Emit(event.Count{Name: "DrainCut", N: 1})
	}
	out.Emit(event.Log{Level: "info", Event: "Stopped"})
	out.Emit(event.Exit{})
}

// owners returns the names of the components that are still draining, sorted and separated by commas.
func (p *Component) owners() string {
	owners := make([]string, 0, len(p.draining))
	for owner := range p.draining {
		owners = append(owners, owner)
	}
	sort.Strings(owners)
	return strings.Join(owners, ",")
}
