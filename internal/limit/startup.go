package limit

import (
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	// maxStartWait is the time after the start for which a host waits at most for the limits that others know.
	maxStartWait = 2 * time.Second
	// maxAwaitedHosts is the number of hosts whose heartbeats it waits for at most.
	maxAwaitedHosts = 3
)

// startup is what a host that has started knows of the limits that others have learnt.
type startup struct {
	begun bool
	at    time.Duration
	heard map[string]bool // hosts whose heartbeats have come, up to maxAwaitedHosts
	// trials holds the endpoints to which an item or order was sent since, or which have answered.
	trials map[wire.LeaveMark]trial
}

type trial struct{ sent, answered bool }

func (s *startup) begin(now time.Duration) {
	if !s.begun {
		s.begun, s.at = true, now
	}
}

func (s *startup) hear(host string) {
	if len(s.heard) >= maxAwaitedHosts {
		return
	}
	if s.heard == nil {
		s.heard = map[string]bool{}
	}
	s.heard[host] = true
}

// knowsLimits reports whether half of the other hosts have told of the limits that they know, or none has in time. Others is below 0
// while it isn't known which hosts there are.
func (s *startup) knowsLimits(now time.Duration, others int) bool {
	if now-s.at >= maxStartWait {
		return true
	}
	return others >= 0 && len(s.heard) >= min((others+1)/2, maxAwaitedHosts)
}

// allowance returns what may be sent to an endpoint that has named no limit to this host: one request, until it answers.
func (s *startup) allowance(endpoint wire.LeaveMark) Allowance {
	switch t := s.trials[endpoint]; {
	case t.answered:
		return Allowance{}
	case t.sent:
		return Allowance{Limited: true}
	default:
		return Allowance{Limited: true, Left: 1}
	}
}

// sentAtFirst returns how many requests went to an endpoint as the trial, which came to atOnce of them.
func (s *startup) sentAtFirst(now time.Duration, endpoint wire.LeaveMark, atOnce int) float64 {
	if s.trials[endpoint].sent && now-s.at < maxStartWait {
		return float64(atOnce)
	}
	return 0
}

// tried takes that an item or order is sent to an endpoint.
func (s *startup) tried(now time.Duration, endpoint wire.LeaveMark) {
	t := s.trials[endpoint]
	t.sent = true
	s.set(now, endpoint, t)
}

// answered takes that an endpoint has answered.
func (s *startup) answered(now time.Duration, endpoint wire.LeaveMark) {
	t := s.trials[endpoint]
	t.answered = true
	s.set(now, endpoint, t)
}

func (s *startup) set(now time.Duration, endpoint wire.LeaveMark, t trial) {
	if now-s.at >= maxStartWait {
		s.trials = nil
		return
	}
	if s.trials == nil {
		s.trials = map[wire.LeaveMark]trial{}
	}
	s.trials[endpoint] = t
}
