package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/crowd"
	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

// Limits of the hosts on which crowds are played.
const (
	crowdMemoryMB    = 100
	crowdMaxFDs      = 300
	crowdHeaderBytes = 16 << 10
	crowdBodyBytes   = 1 << 20
	crowdSettleTime  = 30 * time.Second // in which a crowd has sent what it can
	crowdAnswerTime  = 30 * time.Second // in which an ordinary call is answered
)

// crowdFleet is a fleet of two small hosts.
type crowdFleet struct {
	*platformFleet
	peakFDs []int // by host
	calls   int
	body    string // of ordinary calls
}

func startCrowdFleet(t *testing.T) *crowdFleet {
	t.Helper()
	return startCrowdFleetWith(t, crowdMaxFDs)
}

// startCrowdFleetWith is startCrowdFleet with another number of descriptors.
func startCrowdFleetWith(t *testing.T, maxFDs int) *crowdFleet {
	t.Helper()
	large := strings.Repeat("l", 8<<20)
	answerLarge := func(r *http.Request) (answer string, broken bool) {
		if r.URL.Path != estate.Lookup+"large" {
			return "", false
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", estate.HeaderAttemptID, r.Header.Get(estate.HeaderAttemptID), len(large), large), true
	}
	plain1, plain2 := newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2")
	plain1.Break, plain2.Break = answerLarge, answerLarge
	engine1, engine2 := newEngine("e1", "zone-1", 5, time.Millisecond), newEngine("e2", "zone-2", 5, time.Millisecond)
	engine1.EventsOf, engine2.EventsOf = crowdEvents, crowdEvents
	platform := &estate.Platform{
		MemoryMB: crowdMemoryMB, MaxFDs: maxFDs,
		Limits: map[string]any{"max_header_bytes": crowdHeaderBytes, "max_body_bytes": crowdBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 300_000},
		Servers: []*estate.Server{
			plain1, plain2, engine1, engine2,
		},
	}
	return &crowdFleet{platformFleet: startFleetOn(t, 2, platform), peakFDs: make([]int, 2), body: "body"}
}

// crowdEvents returns the number of events of an item's stream.
func crowdEvents(id string) int {
	if strings.HasPrefix(id, "long") {
		return 400
	}
	return 5
}

// play lets crowds load host-1, all at once, and checks that the hosts live, stay within their limits and answer ordinary calls,
// while the crowds are there and afterwards.
func (f *crowdFleet) play(crowds ...*crowd.Crowd) {
	f.t.Helper()
	for _, c := range crowds {
		c.Start()
	}
	proc.WaitUntil(f.t, crowdSettleTime, "the crowd has sent what it can", func() bool {
		f.countFDs()
		for _, c := range crowds {
			if !c.Settled() {
				return false
			}
		}
		return true
	})
	began := time.Now()
	f.awaitAnswers("beside the crowd")
	f.t.Logf("answered beside the crowd after %v", time.Since(began).Round(time.Millisecond))
	for _, c := range crowds {
		f.t.Logf("%d of %d clients could not send everything", c.Refused(), c.Clients)
		c.Stop()
	}
	f.awaitAnswers("after the crowd")
	f.checkLimits()
}

// fds returns the number of descriptors that the host of an index has open.
func (f *crowdFleet) fds(i int) int {
	held, _ := f.hosts[i].Held() // none when it has ended
	return held.FDs
}

func (f *crowdFleet) countFDs() {
	for i := range f.hosts {
		f.peakFDs[i] = max(f.peakFDs[i], f.fds(i))
	}
}

// awaitAnswers waits until each host has answered that it is ready and an ordinary call.
func (f *crowdFleet) awaitAnswers(when string) {
	f.t.Helper()
	for host := range f.hosts {
		answer := ""
		ok := proc.Poll(crowdAnswerTime, func() bool {
			f.countFDs()
			if f.hosts[host].Exited() || !f.isReady(host+1) {
				return false
			}
			f.calls++
			status, text := f.call(host+1, http.MethodPost, estate.Lookup+"x", fmt.Sprintf("ordinary-%d", f.calls), estate.Key, []byte(f.body))
			answer = fmt.Sprintf("status %d, %s", status, strings.TrimSpace(text))
			return status == http.StatusOK
		})
		if !ok {
			f.t.Errorf("host-%d answered no ordinary call within %v %s; the last answer: %s", host+1, crowdAnswerTime, when, answer)
		}
	}
}

// checkLimits checks that the hosts live and have stayed within their memory and descriptors.
func (f *crowdFleet) checkLimits() {
	f.t.Helper()
	for i, h := range f.hosts {
		if h.Exited() {
			f.t.Errorf("host-%d ended", i+1)
			continue
		}
		peak := h.Cost().PeakBytes >> 20
		f.t.Logf("host-%d: at most %d MB, %d descriptors", i+1, peak, f.peakFDs[i])
		if peak > uint64(f.MemoryMB) && !proc.RaceEnabled { // the detector's own memory counts too
			f.t.Errorf("host-%d used %d MB of memory and has %d MB", i+1, peak, f.MemoryMB)
		}
		if f.peakFDs[i] > f.MaxFDs {
			f.t.Errorf("host-%d had %d open descriptors and may have %d", i+1, f.peakFDs[i], f.MaxFDs)
		}
	}
}

// crowdRequest returns an ordinary request for a path.
func crowdRequest(method, path string) crowd.Request {
	return crowd.Request{Method: method, Path: path, Host: estate.Host, Fields: "Authorization: Bearer " + estate.Key + "\r\nFigshift-Attempt-Id: crowd-" + crowd.ClientMark + "\r\n"}
}

func (f *crowdFleet) door(clients int, payload []crowd.Part) *crowd.Crowd {
	return &crowd.Crowd{Address: f.ClientAddress(1), Clients: clients, Payload: payload}
}
