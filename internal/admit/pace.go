package admit

import "time"

const (
	paceKeep = 0.9             // part of the former means that an answer leaves
	paceFor  = 5 * time.Second // time without an answer after which nothing is known
)

// Pace measures how fast a pool works, from the answers that came whole. It must not be used concurrently.
type Pace struct {
	tokens float64 // mean cost of an answer
	took   float64 // mean time of an attempt in seconds
	at     time.Duration
}

// Done counts an answer.
func (p *Pace) Done(now time.Duration, tokens int, took time.Duration) {
	if !p.known(now) {
		p.tokens, p.took = float64(tokens), took.Seconds()
	} else {
		p.tokens = paceKeep*p.tokens + (1-paceKeep)*float64(tokens)
		p.took = paceKeep*p.took + (1-paceKeep)*took.Seconds()
	}
	p.at = now
}

func (p *Pace) known(now time.Duration) bool {
	return p.tokens > 0 && p.took > 0 && now-p.at <= paceFor
}

// Run returns how long an attempt of this cost takes, 0 while that is not known.
func (p *Pace) Run(now time.Duration, tokens int) time.Duration {
	if !p.known(now) {
		return 0
	}
	return seconds(p.took * float64(tokens) / p.tokens)
}

// Wait returns how long tokens take to drain through slots attempts at a time, 0 while that is not known.
func (p *Pace) Wait(now time.Duration, tokens float64, slots int) time.Duration {
	if !p.known(now) || slots == 0 {
		return 0
	}
	return seconds(p.took * tokens / p.tokens / float64(slots))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
