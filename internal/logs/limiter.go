package logs

import "golang.org/x/time/rate"

// budget bounds the lines of each event by a token bucket and counts what it keeps back. It must not be used
// concurrently.
type budget struct {
	perSecond float64
	events    map[string]*bucket
}

type bucket struct {
	limit *rate.Limiter
	held  int // lines kept back since the last one that passed
}

// burstSeconds is the number of seconds' lines that may come at once.
const burstSeconds = 2

// setRate replaces the number of lines that an event may have in a second, 0 for any number.
func (b *budget) setRate(perSecond float64) {
	if perSecond == b.perSecond {
		return
	}
	b.perSecond = perSecond
	for _, e := range b.events {
		e.limit.SetLimit(rate.Limit(perSecond))
		e.limit.SetBurst(burst(perSecond))
	}
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// take reports whether a line may be written, and how many of its event were kept back before it.
func (b *budget) take(event string) (held int, ok bool) {
	if b.perSecond <= 0 {
		return 0, true
	}
	if b.events == nil {
		b.events = map[string]*bucket{}
	}
	e := b.events[event]
	if e == nil {
		e = &bucket{limit: rate.NewLimiter(rate.Limit(b.perSecond), burst(b.perSecond))}
		b.events[event] = e
	}
	if !e.limit.Allow() {
		e.held++
		return 0, false
	}
	held, e.held = e.held, 0
	return held, true
}
