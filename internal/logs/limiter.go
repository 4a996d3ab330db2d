package logs

import "golang.org/x/time/rate"

// eventLimiter limits the lines of each event with a token bucket and counts the suppressed lines. It must not be used
// concurrently.
type eventLimiter struct {
	perSecond float64
	buckets   map[string]*bucket
}

type bucket struct {
	limiter    *rate.Limiter
	suppressed int // number of lines suppressed since the last allowed one
}

// burstSeconds is the size of a burst: the lines of this many seconds may be written at once.
const burstSeconds = 2

// setRate sets the limit of lines per second for each event, 0 for no limit.
func (l *eventLimiter) setRate(perSecond float64) {
	if perSecond == l.perSecond {
		return
	}
	l.perSecond = perSecond
	for _, b := range l.buckets {
		b.limiter.SetLimit(rate.Limit(perSecond))
		b.limiter.SetBurst(burst(perSecond))
	}
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// allow reports whether a line may be written, and how many lines of its event were suppressed before it.
func (l *eventLimiter) allow(event string) (suppressed int, ok bool) {
	if l.perSecond <= 0 {
		return 0, true
	}
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	b := l.buckets[event]
	if b == nil {
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(l.perSecond), burst(l.perSecond))}
		l.buckets[event] = b
	}
	if !b.limiter.Allow() {
		b.suppressed++
		return 0, false
	}
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}
