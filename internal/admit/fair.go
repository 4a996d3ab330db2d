package admit

import (
	"cmp"
	"slices"

	"github.com/figshift/figshift/internal/config"
)

// Classes are the classes in the order in which they are served.
var Classes = []config.Class{config.Interactive, config.Background, config.Rollout}

const mostDebt = 200_000.0 // tokens per weight by which a flow may run ahead of the others

// Fair is weighted fair queueing: within a class, the organisation that was served the least tokens per weight,
// by all daemons together, goes first. A class goes before the lower ones, which get their floors.
type Fair[T comparable] struct {
	Weights map[string]int           // by organisation; 1 where there is none
	Floors  map[config.Class]float64 // least part of the tokens while the class waits

	flows    []*flow[T] // those with items
	accounts map[accountKey]*account
	clock    map[config.Class]float64 // served tokens per weight before the last pop, of the flow that it took from
	credit   map[config.Class]float64
	count    map[string]int
	all      int
}

// accountKey names what is charged together: an organisation in one class.
type accountKey struct {
	class        config.Class
	organisation string
}

type account struct {
	served float64 // tokens per weight
	flows  int     // flows that have items
}

type flow[T comparable] struct {
	accountKey
	pool   string
	items  []Item[T]
	tokens float64
}

// Push appends an item to its flow.
func (q *Fair[T]) Push(item Item[T]) {
	f := q.flow(item)
	if item.Front {
		f.items = slices.Insert(f.items, 0, item)
	} else {
		f.items = append(f.items, item)
	}
	f.tokens += float64(item.Cost)
	q.count[item.Organisation]++
	q.all++
}

// flow returns the item's flow, new when there is none.
func (q *Fair[T]) flow(item Item[T]) *flow[T] {
	id := accountKey{class: item.Class, organisation: item.Organisation}
	for _, f := range q.flows {
		if f.accountKey == id && f.pool == item.Pool {
			return f
		}
	}
	f := &flow[T]{accountKey: id, pool: item.Pool}
	q.flows = append(q.flows, f)
	q.activate(id)
	return f
}

// activate keeps an organisation that comes back from using the time in which it asked for nothing,
// and from paying for long past work.
func (q *Fair[T]) activate(id accountKey) {
	a := q.account(id)
	a.flows++
	if a.flows == 1 {
		a.served = min(max(a.served, q.clock[id.class]), q.clock[id.class]+mostDebt)
	}
}

func (q *Fair[T]) account(id accountKey) *account {
	if q.accounts == nil {
		q.accounts = map[accountKey]*account{}
		q.clock = map[config.Class]float64{}
		q.credit = map[config.Class]float64{}
		q.count = map[string]int{}
	}
	a, ok := q.accounts[id]
	if !ok {
		a = &account{}
		q.accounts[id] = a
	}
	return a
}

// Pop takes the head of the flow whose turn it is among those that fit.
func (q *Fair[T]) Pop(fits func(Item[T]) bool) (Item[T], bool) {
	order := q.order()
	for _, class := range q.classes() {
		for _, f := range order {
			if f.class == class && fits(f.items[0]) {
				return q.take(f), true
			}
		}
	}
	return Item[T]{}, false
}

// order returns the flows, least served first.
func (q *Fair[T]) order() []*flow[T] {
	order := slices.Clone(q.flows)
	slices.SortFunc(order, func(a, b *flow[T]) int {
		return cmp.Or(
			cmp.Compare(q.accounts[a.accountKey].served, q.accounts[b.accountKey].served),
			cmp.Compare(a.organisation, b.organisation),
			cmp.Compare(a.pool, b.pool),
		)
	})
	return order
}

// classes returns the classes in the order of service: those that are owed their floor, then the others.
func (q *Fair[T]) classes() []config.Class {
	order := slices.Clone(Classes)
	slices.SortStableFunc(order, func(a, b config.Class) int {
		return cmp.Compare(q.owed(b), q.owed(a))
	})
	return order
}

// owed returns the tokens of floor that a class has not had, 0 while they do not pay for its next item.
func (q *Fair[T]) owed(class config.Class) float64 {
	for _, f := range q.flows {
		if f.class == class && q.credit[class] >= float64(f.items[0].Cost) {
			return q.credit[class]
		}
	}
	return 0
}

func (q *Fair[T]) take(f *flow[T]) Item[T] {
	item := f.items[0]
	q.clock[f.class] = max(q.clock[f.class], q.accounts[f.accountKey].served)
	q.charge(f.accountKey, float64(item.Cost))
	q.grant(f.class, float64(item.Cost))
	q.removeAt(f, 0)
	return item
}

// grant gives the other classes that wait their floor of a popped item's cost.
func (q *Fair[T]) grant(served config.Class, cost float64) {
	waits := map[config.Class]bool{}
	for _, f := range q.flows {
		waits[f.class] = true
	}
	for _, class := range Classes {
		switch {
		case class == served:
			q.credit[class] = max(0, q.credit[class]-cost)
		case waits[class]:
			q.credit[class] += q.Floors[class] * cost
		default:
			q.credit[class] = 0
		}
	}
}

func (q *Fair[T]) charge(id accountKey, tokens float64) {
	q.account(id).served += tokens / q.weight(id.organisation)
}

func (q *Fair[T]) weight(organisation string) float64 {
	return float64(max(1, q.Weights[organisation]))
}

func (q *Fair[T]) removeAt(f *flow[T], i int) {
	item := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.tokens -= float64(item.Cost)
	q.all--
	q.count[item.Organisation]--
	if q.count[item.Organisation] == 0 {
		delete(q.count, item.Organisation)
	}
	if len(f.items) == 0 {
		q.accounts[f.accountKey].flows--
		q.flows = slices.DeleteFunc(q.flows, func(g *flow[T]) bool { return g == f })
	}
}

// Remove removes an item and reports whether it was there.
func (q *Fair[T]) Remove(item Item[T]) bool {
	for _, f := range q.flows {
		if f.class != item.Class || f.organisation != item.Organisation || f.pool != item.Pool {
			continue
		}
		for i := range f.items {
			if f.items[i].Value == item.Value {
				q.removeAt(f, i)
				return true
			}
		}
	}
	return false
}

// Evict removes the newest item of the longest flow per weight, unless that is one of the organisation itself.
func (q *Fair[T]) Evict(organisation string) (Item[T], bool) {
	var longest *flow[T]
	for _, f := range q.flows {
		if longest == nil || q.length(f) > q.length(longest) {
			longest = f
		}
	}
	if longest == nil || longest.organisation == organisation {
		return Item[T]{}, false
	}
	last := len(longest.items) - 1
	item := longest.items[last]
	q.removeAt(longest, last)
	return item, true
}

func (q *Fair[T]) length(f *flow[T]) float64 {
	return float64(len(f.items)) / q.weight(f.organisation)
}

// Ahead returns the tokens that an item pushed now would wait for: those of its own organisation,
// and what the others that wait get meanwhile by their weights.
func (q *Fair[T]) Ahead(item Item[T]) float64 {
	own, ownTokens := q.weight(item.Organisation), 0.0
	others, otherTokens := 0.0, 0.0
	for _, f := range q.flows {
		if f.pool != item.Pool || rank(f.class) > rank(item.Class) {
			continue
		}
		if f.organisation == item.Organisation {
			ownTokens += f.tokens
			continue
		}
		others += q.weight(f.organisation)
		otherTokens += f.tokens
	}
	return ownTokens + min(otherTokens, (ownTokens+float64(item.Cost))*others/own)
}

func rank(class config.Class) int { return slices.Index(Classes, class) }

// Correct charges the difference between the true cost and the estimate.
func (q *Fair[T]) Correct(item Item[T], cost int) {
	id := accountKey{class: item.Class, organisation: item.Organisation}
	q.charge(id, float64(cost-item.Cost))
}

// ServedElsewhere charges tokens that other daemons served to an organisation.
func (q *Fair[T]) ServedElsewhere(organisation string, class config.Class, tokens uint64) {
	id := accountKey{class: class, organisation: organisation}
	q.charge(id, float64(tokens))
	a := q.accounts[id]
	a.served = min(a.served, q.clock[class]+mostDebt)
}

// Len returns the number of items of one organisation and of all.
func (q *Fair[T]) Len(organisation string) (own, all int) {
	return q.count[organisation], q.all
}
