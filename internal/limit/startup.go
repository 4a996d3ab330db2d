package limit

import "time"

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
}

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
