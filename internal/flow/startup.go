package flow

import "time"

const (
	maxPeerWait     = 2 * time.Second // maximum wait for the leave marks of the peers after the first configuration
	maxPeersAwaited = 3               // maximum number of peers to wait for, whatever the size of the fleet
)

// startupGate holds back requests after the start until the leave marks of enough peers are known. With the platform's
// list alone, which lags behind, requests could go to an endpoint that is leaving.
type startupGate struct {
	hostsKnown bool            // HostsChanged was received
	needed     int             // heartbeats from distinct peers that open the gate
	received   map[string]bool // peers whose heartbeat was received
	deadline   time.Duration   // time at which the gate opens in any case, 0 before begin
}

// begin starts the wait; further calls have no effect.
func (g *startupGate) begin(now time.Duration) {
	if g.deadline == 0 {
		g.deadline = now + maxPeerWait
	}
}

// setPeerCount sets the number of other hosts.
func (g *startupGate) setPeerCount(others int) {
	g.hostsKnown = true
	g.needed = min((others+1)/2, maxPeersAwaited)
}

// recordHeartbeat records a heartbeat and reports whether it is the one that opens the gate.
func (g *startupGate) recordHeartbeat(host string) bool {
	if len(g.received) >= maxPeersAwaited || g.received[host] {
		return false
	}
	if g.received == nil {
		g.received = map[string]bool{}
	}
	g.received[host] = true
	return g.hostsKnown && len(g.received) == g.needed
}

// open reports whether the leave marks of enough peers are known or the wait has timed out.
func (g *startupGate) open(now time.Duration) bool {
	return (g.hostsKnown && len(g.received) >= g.needed) || now >= g.deadline
}
