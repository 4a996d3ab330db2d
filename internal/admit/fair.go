package admit

import (
	"cmp"
	"slices"

	"github.com/figshift/figshift/internal/config"
)

// Classes lists the classes in descending priority.
var Classes = []config.Class{config.Interactive, config.Background, config.Rollout}

const maxLead = 200_000.0 // tokens per weight by which an account may be ahead of the virtual time of its class

// Fair is a Queue with weighted fair queueing. Within a class, the organisation that has been served the fewest
// tokens per weight, by all daemons together, goes first. Classes have strict priority, except that lower ones get their
// minimum shares. It must not be used concurrently.
type Fair[T comparable] struct {
	Weights   map[string]int           // by organisation; 1 for an organisation without an entry
	MinShares map[config.Class]float64 // minimum share of the served tokens that a class gets while it has items

	flows       []*flow[T] // flows with items
	accounts    map[accountKey]*account
	virtualTime map[config.Class]float64 // maximum over the popped items of the served tokens per weight of their account before the pop
	credit      map[config.Class]float64 // tokens of its minimum share that a class has not received yet
	lengths     map[string]int           // number of items by organisation
	length      int                      // number of all items
}

// accountKey identifies an account: served tokens are counted for each organisation and class.
type accountKey struct {
	class        config.Class
	organisation string
}

type account struct {
	served float64 // tokens per weight
	flows  int     // number of flows with items
}

// flow is the FIFO queue of an account's items for one pool.
type flow[T comparable] struct {
	accountKey
	pool   string
	items  []Item[T]
	tokens float64 // total cost of the items
}

// Push adds an item at the end of its flow, or at its head when Front is set.
func (q *Fair[T]) Push(item Item[T]) {
	f := q.flow(item)
	if item.Front {
		f.items = slices.Insert(f.items, 0, item)
	} else {
		f.items = append(f.items, item)
	}
	f.tokens += float64(item.Cost)
	q.lengths[item.Organisation]++
	q.length++
}

// flow returns the item's flow and creates it when there is none.
func (q *Fair[T]) flow(item Item[T]) *flow[T] {
	key := accountKey{class: item.Class, organisation: item.Organisation}
	for _, f := range q.flows {
		if f.accountKey == key && f.pool == item.Pool {
			return f
		}
	}
	f := &flow[T]{accountKey: key, pool: item.Pool}
	q.flows = append(q.flows, f)
	q.activate(key)
	return f
}

// activate counts a new flow of an account. For the first one it moves the served tokens into the range from the virtual
// time of the class to maxLead above it: an organisation that returns neither gains from the time in which it had no
// requests nor pays for work of long ago.
func (q *Fair[T]) activate(key accountKey) {
	a := q.account(key)
	a.flows++
	if a.flows == 1 {
		a.served = min(max(a.served, q.virtualTime[key.class]), q.virtualTime[key.class]+maxLead)
	}
}

func (q *Fair[T]) account(key accountKey) *account {
	if q.accounts == nil {
		q.accounts = map[accountKey]*account{}
		q.virtualTime = map[config.Class]float64{}
		q.credit = map[config.Class]float64{}
		q.lengths = map[string]int{}
	}
	a, ok := q.accounts[key]
	if !ok {
		a = &account{}
		q.accounts[key] = a
	}
	return a
}

// Pop removes and returns the head of the first flow, by class order and served tokens, whose head fits.
func (q *Fair[T]) Pop(fits func(Item[T]) bool) (Item[T], bool) {
	order := q.sortedFlows()
	for _, class := range q.classOrder() {
		for _, f := range order {
			if f.class == class && fits(f.items[0]) {
				return q.popHead(f), true
			}
		}
	}
	return Item[T]{}, false
}

// sortedFlows returns the flows, those with the fewest served tokens per weight first.
func (q *Fair[T]) sortedFlows() []*flow[T] {
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

// classOrder returns the classes in the order of service: those that are owed their minimum share, then the others by
// priority.
func (q *Fair[T]) classOrder() []config.Class {
	order := slices.Clone(Classes)
	slices.SortStableFunc(order, func(a, b config.Class) int {
		return cmp.Compare(q.owedMinShare(b), q.owedMinShare(a))
	})
	return order
}

// owedMinShare returns the tokens of the minimum share that a class has not received yet, 0 while they are fewer than
// its next item costs.
func (q *Fair[T]) owedMinShare(class config.Class) float64 {
	for _, f := range q.flows {
		if f.class == class && q.credit[class] >= float64(f.items[0].Cost) {
			return q.credit[class]
		}
	}
	return 0
}

func (q *Fair[T]) popHead(f *flow[T]) Item[T] {
	item := f.items[0]
	q.virtualTime[f.class] = max(q.virtualTime[f.class], q.accounts[f.accountKey].served)
	q.charge(f.accountKey, float64(item.Cost))
	q.addMinShareCredit(f.class, float64(item.Cost))
	q.removeAt(f, 0)
	return item
}

// addMinShareCredit credits the other classes that have items with their minimum share of a popped item's cost.
// The class that was served pays from its credit, and a class without items loses it.
func (q *Fair[T]) addMinShareCredit(served config.Class, cost float64) {
	hasItems := map[config.Class]bool{}
	for _, f := range q.flows {
		hasItems[f.class] = true
	}
	for _, class := range Classes {
		switch {
		case class == served:
			q.credit[class] = max(0, q.credit[class]-cost)
		case hasItems[class]:
			q.credit[class] += q.MinShares[class] * cost
		default:
			q.credit[class] = 0
		}
	}
}

func (q *Fair[T]) charge(key accountKey, tokens float64) {
	q.account(key).served += tokens / q.weight(key.organisation)
}

func (q *Fair[T]) weight(organisation string) float64 {
	return float64(max(1, q.Weights[organisation]))
}

func (q *Fair[T]) removeAt(f *flow[T], i int) {
	item := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.tokens -= float64(item.Cost)
	q.length--
	q.lengths[item.Organisation]--
	if q.lengths[item.Organisation] == 0 {
		delete(q.lengths, item.Organisation)
	}
	if len(f.items) == 0 {
		q.accounts[f.accountKey].flows--
		q.flows = slices.DeleteFunc(q.flows, func(g *flow[T]) bool { return g == f })
	}
}

// Remove removes an item and reports whether it was queued.
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

// Evict removes and returns the last item of the flow with the most items per weight. It returns false when that flow
// belongs to the organisation itself.
func (q *Fair[T]) Evict(organisation string) (Item[T], bool) {
	var longest *flow[T]
	for _, f := range q.flows {
		if longest == nil || q.weightedLength(f) > q.weightedLength(longest) {
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

func (q *Fair[T]) weightedLength(f *flow[T]) float64 {
	return float64(len(f.items)) / q.weight(f.organisation)
}

// TokensAhead returns the tokens that would be served before an item pushed now: those of its own organisation, and
// those that the other organisations in the queue get in the meantime according to their weights.
func (q *Fair[T]) TokensAhead(item Item[T]) float64 {
	ownWeight, ownTokens := q.weight(item.Organisation), 0.0
	otherWeights, otherTokens := 0.0, 0.0
	for _, f := range q.flows {
		if f.pool != item.Pool || classRank(f.class) > classRank(item.Class) {
			continue
		}
		if f.organisation == item.Organisation {
			ownTokens += f.tokens
			continue
		}
		otherWeights += q.weight(f.organisation)
		otherTokens += f.tokens
	}
	return ownTokens + min(otherTokens, (ownTokens+float64(item.Cost))*otherWeights/ownWeight)
}

func classRank(class config.Class) int { return slices.Index(Classes, class) }

// Correct charges the difference between the actual and the estimated cost of a popped item.
func (q *Fair[T]) Correct(item Item[T], cost int) {
	key := accountKey{class: item.Class, organisation: item.Organisation}
	q.charge(key, float64(cost-item.Cost))
}

// ServedElsewhere charges an organisation for tokens that other daemons served to it in a class.
func (q *Fair[T]) ServedElsewhere(organisation string, class config.Class, tokens uint64) {
	key := accountKey{class: class, organisation: organisation}
	q.charge(key, float64(tokens))
	a := q.accounts[key]
	a.served = min(a.served, q.virtualTime[class]+maxLead)
}

// Len returns the number of items of one organisation and of all.
func (q *Fair[T]) Len(organisation string) (own, all int) {
	return q.lengths[organisation], q.length
}
