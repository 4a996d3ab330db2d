package admit

import "time"

const (
	decay               = 0.9             // weight of the previous mean in the moving averages
	measurementLifetime = 5 * time.Second // time without an answer after which the means are discarded
)

// Throughput measures the throughput of a pool as moving averages over complete answers. It must not be used concurrently.
type Throughput struct {
	meanTokens  float64       // mean cost of a request in tokens
	meanSeconds float64       // mean duration of an attempt in seconds
	lastAt      time.Duration // time of the last answer
}

// Record records a complete answer at time now: the cost of its request and the duration of its attempt.
func (p *Throughput) Record(now time.Duration, tokens int, took time.Duration) {
	if !p.known(now) {
		p.meanTokens, p.meanSeconds = float64(tokens), took.Seconds()
	} else {
		p.meanTokens = decay*p.meanTokens + (1-decay)*float64(tokens)
		p.meanSeconds = decay*p.meanSeconds + (1-decay)*took.Seconds()
	}
	p.lastAt = now
}

func (p *Throughput) known(now time.Duration) bool {
	return p.meanTokens > 0 && p.meanSeconds > 0 && now-p.lastAt <= measurementLifetime
}

// MeanRun returns the mean duration of an attempt, 0 while the throughput is unknown.
func (p *Throughput) MeanRun(now time.Duration) time.Duration {
	if !p.known(now) {
		return 0
	}
	return fromSeconds(p.meanSeconds)
}

// EstimateRun estimates how long an attempt of the given cost takes, 0 while the throughput is unknown.
func (p *Throughput) EstimateRun(now time.Duration, tokens int) time.Duration {
	if !p.known(now) {
		return 0
	}
	return fromSeconds(p.meanSeconds * float64(tokens) / p.meanTokens)
}

// EstimateWait estimates how long the given tokens take when slots attempts run at a time, 0 while the throughput is
// unknown or slots is 0.
func (p *Throughput) EstimateWait(now time.Duration, tokens float64, slots int) time.Duration {
	if !p.known(now) || slots == 0 {
		return 0
	}
	return fromSeconds(p.meanSeconds * tokens / p.meanTokens / float64(slots))
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
