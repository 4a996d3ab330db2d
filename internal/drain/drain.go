// Package drain ends the process once every part has finished its work after a stop was asked for.
package drain

import (
	"sort"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// Part waits for the parts that raised DrainBegun and then emits Exit. Its exported fields are set before use.
type Part struct {
	Bound  time.Duration // longest wait after StopAsked beyond the longest request of the site
	Within time.Duration // longest wait in all, 0 for any

	longest  time.Duration
	asked    bool
	exited   bool
	deadline time.Duration
	waits    map[string]bool
}

// Step takes the events of a graceful stop. It must not be called concurrently.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.longest = e.Site.LongestRequest()
	case event.StopAsked:
		p.ask(now, out)
	case event.DrainBegun:
		p.begin(e.Owner)
	case event.DrainEnded:
		delete(p.waits, e.Owner)
	case event.Tick:
		p.end(now, out)
	}
}

func (p *Part) ask(now time.Duration, out *event.Batch) {
	if p.asked {
		return
	}
	p.asked = true
	p.deadline = now + p.Bound + p.longest
	if p.Within > 0 {
		p.deadline = min(p.deadline, now+p.Within)
	}
	out.Emit(event.Log{Level: "info", Event: "StopAsked"})
}

func (p *Part) begin(owner string) {
	if p.waits == nil {
		p.waits = map[string]bool{}
	}
	p.waits[owner] = true
}

// end emits Exit when no part has work left, or when the bound has passed.
func (p *Part) end(now time.Duration, out *event.Batch) {
	if !p.asked || p.exited {
		return
	}
	if len(p.waits) > 0 && now < p.deadline {
		return
	}
	p.exited = true
	if len(p.waits) > 0 {
		out.Emit(event.Log{Level: "warn", Event: "DrainCut", Fields: []event.Field{{Key: "Waits", Value: p.owners()}}})
		out.Emit(event.Count{Name: "DrainCut", N: 1})
	}
	out.Emit(event.Log{Level: "info", Event: "Stopped"})
	out.Emit(event.Exit{})
}

func (p *Part) owners() string {
	owners := make([]string, 0, len(p.waits))
	for o := range p.waits {
		owners = append(owners, o)
	}
	sort.Strings(owners)
	return strings.Join(owners, ",")
}
