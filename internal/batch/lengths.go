package batch

import (
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// maxLengths bounds the number of items whose length is remembered, in a fleet of the largest size about that of the
// groups that a few trainers ask for again.
const maxLengths = 4096

// lengths remembers how long the texts of items were, as far as they were generated, whose group was not complete when
// its job ended. Such a group may come again in a later job under the same item ids.
type lengths struct {
	tokens map[string]int // expected output by item, in tokens
	order  []string       // the ids of tokens, oldest first
}

func (l *lengths) add(items []wire.ItemLength) {
	if l.tokens == nil {
		l.tokens = map[string]int{}
	}
	for _, it := range items {
		if _, ok := l.tokens[it.Item]; !ok {
			l.order = append(l.order, it.Item)
		}
		l.tokens[it.Item] = it.Tokens
	}
	for len(l.order) > maxLengths {
		delete(l.tokens, l.order[0])
		l.order = l.order[1:]
	}
}

// applyTo replaces the hints of a job's items by the lengths that are known, and marks the groups that come again.
func (l *lengths) applyTo(j *job) {
	for _, it := range j.items {
		if tokens, ok := l.tokens[it.ID]; ok {
			it.Hint = tokens
			j.groups[it.Group].again = true
		}
	}
}

// shareLengths remembers the lengths of the items in the incomplete groups of an ended job, once all its runs have
// stopped, and sends them to the hosts that may get the trainer's next job. In a large fleet the same hub runs it.
func (p *Component) shareLengths(j *job, out *event.Batch) {
	if !j.ended || j.lengthsShared || j.hasState(stopping) {
		return
	}
	j.lengthsShared = true
	found := j.itemLengths()
	if len(found) == 0 {
		return
	}
	p.lengths.add(found)
	if p.largeFleet {
		return
	}
	for _, h := range p.Membership.Alive(p.now) {
		if h.Name != p.Self.Name {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Lengths: found}})
		}
	}
}

// itemLengths returns the lengths of the items in groups that are not complete. An event counts as many tokens as the
// hints of the job's whole texts suggest.
func (j *job) itemLengths() []wire.ItemLength {
	hinted, events := 0, 0
	for _, it := range j.items {
		if it.whole() && it.Hint > 0 {
			hinted, events = hinted+it.Hint, events+it.heldEvents
		}
	}
	if hinted == 0 || events == 0 {
		return nil
	}
	var found []wire.ItemLength
	for _, it := range j.items {
		if j.groups[it.Group].unlisted > 0 && it.heldEvents > 0 {
			found = append(found, wire.ItemLength{Item: it.ID, Tokens: it.heldEvents * hinted / events})
		}
	}
	return found
}
