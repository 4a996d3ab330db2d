package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figshift/figshift/figbed/internal/crowd"
	"github.com/figshift/figshift/figbed/internal/estate"
)

// Limits of each host.
const (
	hostMemoryMB = 200
	hostMaxFDs   = 500
)

// Sizes of crowds.
const (
	crowdClients   = 250
	crowdHeadBytes = 15 << 10  // inside the limit
	largeHeadBytes = 100 << 10 // over the limit
	crowdBodyBytes = 1 << 20   // at the limit
)

// Ranges of the time between the starts of two crowds, and of the time for which one stays.
const (
	minCrowdGap, maxCrowdGap   = 3 * time.Second, 12 * time.Second
	minCrowdTime, maxCrowdTime = time.Second, 6 * time.Second
)

// crowdKinds make the crowds by name. None of their requests is ever whole, so that no server runs one.
var crowdKinds = []struct {
	name string
	make func(p *estate.Platform, host int) *crowd.Crowd
}{
	{"Idle", func(p *estate.Platform, host int) *crowd.Crowd { return atDoor(p, host, nil) }},
	{"Heads", func(p *estate.Platform, host int) *crowd.Crowd {
		return atDoor(p, host, crowdRequest("GET", estate.Lookup+"x").ShortFields(crowdHeadBytes, false))
	}},
	{"LargeHeads", func(p *estate.Platform, host int) *crowd.Crowd {
		c := atDoor(p, host, crowdRequest("GET", "/api/readyz").ShortFields(largeHeadBytes, false))
		c.Address = p.ReadinessAddress(host)
		return c
	}},
	{"SlowHeads", func(p *estate.Platform, host int) *crowd.Crowd {
		c := atDoor(p, host, crowdRequest("GET", "/nothing/x").ShortFields(crowdHeadBytes, false))
		c.Piece, c.Pause = 100, 50*time.Millisecond
		return c
	}},
	{"Bodies", func(p *estate.Platform, host int) *crowd.Crowd {
		return atDoor(p, host, crowdRequest("POST", estate.Lookup+"x").Body(crowdBodyBytes))
	}},
	{"Chunks", func(p *estate.Platform, host int) *crowd.Crowd {
		return atDoor(p, host, crowdRequest("POST", estate.Writes+"x").Chunks(crowdBodyBytes, 1<<10))
	}},
	{"Submissions", func(p *estate.Platform, host int) *crowd.Crowd {
		return atDoor(p, host, crowdRequest("POST", estate.Rollouts+"x").Body(crowdBodyBytes))
	}},
	{"Peers", func(p *estate.Platform, host int) *crowd.Crowd {
		c := atDoor(p, host, nil)
		c.Address = fmt.Sprintf("%s:%d", bindIP(host), p.Port+peerPortOffset)
		return c
	}},
}

func crowdRequest(method, path string) crowd.Request {
	return crowd.Request{Method: method, Path: path, Host: estate.Host, Fields: "Authorization: Bearer " + estate.Key + "\r\nFigshift-Attempt-Id: crowd-" + crowd.ClientMark + "\r\n"}
}

func atDoor(p *estate.Platform, host int, payload []crowd.Part) *crowd.Crowd {
	return &crowd.Crowd{Address: p.ClientAddress(host), Clients: crowdClients, Payload: payload}
}

// DrawCrowds returns the crowds of a seed that come within span, after plannedOnlyTime. They are drawn apart from the other
// faults, which stay those of the seed.
func DrawCrowds(seed uint64, hosts int, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 4000))
	var faults []Fault
	for at := plannedOnlyTime; at < span; at += randomDuration(random, minCrowdGap, maxCrowdGap) {
		faults = append(faults, Fault{
			Kind: HostCrowd, Target: 1 + random.IntN(hosts), Start: at, Duration: randomDuration(random, minCrowdTime, maxCrowdTime), Amount: random.IntN(len(crowdKinds)),
		})
	}
	return faults
}

// sendCrowd lets a crowd load a host for the duration of the fault, unless the host runs a build that may not bear it.
func (r *runner) sendCrowd(f Fault) {
	if build, _ := r.testbed.programOf(f.Target); build == buildOld {
		return
	}
	c := crowdKinds[f.Amount%len(crowdKinds)].make(r.testbed.platform, f.Target)
	c.Start()
	time.Sleep(f.Duration)
	c.Stop()
}

// overLimits returns a violation for each host that has used more memory or descriptors than it has.
func (b *testbed) overLimits() (violations []string) {
	for host := 1; host <= b.hosts; host++ {
		held, ok := b.process(host).Held()
		if !ok {
			continue
		}
		if held.PeakBytes > hostMemoryMB<<20 {
			violations = append(violations, fmt.Sprintf("MEMORY: host-%d used more than the %d MB that it has", host, hostMemoryMB))
		}
		if held.FDs > hostMaxFDs {
			violations = append(violations, fmt.Sprintf("MEMORY: host-%d had more than the %d descriptors open that it may have", host, hostMaxFDs))
		}
	}
	return violations
}
