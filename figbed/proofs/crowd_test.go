package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/crowd"
	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

// Guards against heads over the limit that took the memory of a host before their size was checked.
func TestCrowdOfLargeHeads(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(60, crowdRequest("GET", estate.Lookup+"x").ShortFields(200<<10, false)))
}

// Guards against heads over the limit at the address that tells whether a host is ready.
func TestCrowdOfLargeHeadsAtReadiness(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(&crowd.Crowd{Address: f.ReadinessAddress(1), Clients: 60, Payload: crowdRequest("GET", "/api/readyz").ShortFields(200<<10, false)})
}

// Guards against heads over the limit at the address of the metrics.
func TestCrowdOfLargeHeadsAtMetrics(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(&crowd.Crowd{Address: f.MetricsAddress(1), Clients: 60, Payload: crowdRequest("GET", "/metrics").ShortFields(200<<10, false)})
}

// Guards against heads over the limit at the address for other hosts.
func TestCrowdOfLargeHeadsAtHostAPI(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(&crowd.Crowd{Address: f.HostAPIAddress(1), Clients: 60, Payload: crowdRequest("GET", "/jobs").ShortFields(200<<10, false)})
}

// Guards against heads inside the limit of which many together took the memory of a host.
func TestCrowdOfHeadsWithoutEnd(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(600, crowdRequest("GET", estate.Lookup+"x").ShortFields(15<<10, false)))
}

// Guards against heads that are kept while their bodies are awaited.
func TestCrowdOfHeadsWithStoppedBodies(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(300, crowdRequest("POST", estate.Lookup+"x").Begun(15<<10)))
}

// Guards against bodies that stop just short of their end and together took the memory of a host.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(200, crowdRequest("POST", estate.Lookup+"x").Body(crowdBodyBytes)))
}

// Guards against a crowd that comes again and again and holds all memory for bodies, so that only the smallest calls are answered.
func TestCrowdBesideLargerCalls(t *testing.T) {
	f := startCrowdFleet(t)
	f.body = strings.Repeat("b", crowdBodyBytes/2)
	c := f.door(140, crowdRequest("POST", estate.Lookup+"x").Body(crowdBodyBytes/4))
	c.Again = true
	f.play(c)
}

// Guards against unfinished bodies in small pieces.
func TestCrowdOfBodiesInPieces(t *testing.T) {
	f := startCrowdFleet(t)
	c := f.door(200, crowdRequest("POST", estate.Lookup+"x").Body(crowdBodyBytes))
	c.Piece = 1 << 10
	f.play(c)
}

// Guards against unfinished bodies in chunks.
func TestCrowdOfBodiesInChunks(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(200, crowdRequest("POST", estate.Lookup+"x").Chunks(crowdBodyBytes, 1<<10)))
}

// Guards against bodies that are read for a path without a route.
func TestCrowdOfBodiesWithoutRoute(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(200, crowdRequest("POST", "/nothing/x").Body(crowdBodyBytes)))
}

// Guards against bodies far over the limit, with a length and in chunks.
func TestCrowdOfLargeBodies(t *testing.T) {
	f := startCrowdFleet(t)
	request := crowdRequest("POST", estate.Lookup+"x")
	f.play(f.door(20, request.Body(64<<20)), f.door(20, request.Chunks(64<<20, 1<<10)))
}

// Guards against submissions over the limit for bodies.
func TestCrowdOfLargeSubmissions(t *testing.T) {
	f := startCrowdFleet(t)
	request := crowdRequest("POST", estate.Rollouts+"x")
	f.play(f.door(5, request.Body(31<<20)), f.door(5, request.Chunks(31<<20, 1<<10)))
}

// Guards against submissions that are read without a known key.
func TestCrowdOfSubmissionsWithoutKey(t *testing.T) {
	f := startCrowdFleet(t)
	request := crowdRequest("POST", estate.Rollouts+"x")
	request.Fields = "Figshift-Attempt-Id: crowd-" + crowd.ClientMark + "\r\n"
	f.play(f.door(200, request.Body(crowdBodyBytes)))
}

// Guards against submissions with a known key that stop just short of their end.
func TestCrowdOfUnfinishedSubmissions(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(200, crowdRequest("POST", estate.Rollouts+"x").Body(crowdBodyBytes)))
}

// Guards against submissions whose few bytes for an item become many when they are decoded.
func TestCrowdOfEmptyItems(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(10, crowdRequest("POST", estate.Rollouts+"x").List(`{"items":[`, func(int) string { return "{}" }, `]}`, crowdBodyBytes)))
}

// Guards against submissions of items that are small and sound but more than a host can hold.
func TestCrowdOfSmallItems(t *testing.T) {
	f := startCrowdFleet(t)
	item := func(i int) string { return fmt.Sprintf(`{"id":"i%d","path":"%sx","body":""}`, i, estate.Rollouts) }
	f.play(f.door(10, crowdRequest("POST", estate.Rollouts+"x").List(`{"items":[`, item, `]}`, crowdBodyBytes)))
}

// Guards against submissions of many small items that fit one by one but not all together.
func TestCrowdOfFittingSubmissions(t *testing.T) {
	f := startCrowdFleet(t)
	item := func(i int) string { return fmt.Sprintf(`{"id":"i%d","path":"%sx","body":""}`, i, estate.Rollouts) }
	f.play(f.door(20, crowdRequest("POST", estate.Rollouts+"x").List(`{"items":[`, item, `]}`, crowdBodyBytes/5)))
}

// Guards against requests that are sent ahead by clients that read no answers, and take the endpoints from ordinary callers.
func TestCrowdOfRequestsSentAhead(t *testing.T) {
	f := startCrowdFleet(t)
	const clients = 100
	f.play(f.door(clients, crowdRequest("GET", estate.Lookup+"x").SentAhead(2<<20)))
	runs := 0
	for _, s := range f.Servers {
		for _, r := range s.Runs() {
			if strings.HasPrefix(r.ID, "crowd") {
				runs++
			}
		}
	}
	if runs > clients {
		f.t.Errorf("%d requests of %d clients that had read no answer ran", runs, clients)
	}
}

// Guards against large answers that nobody reads.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(f.door(100, crowdRequest("GET", estate.Lookup+"large").SentAhead(1)))
}

// Guards against pages of results, and bodies of items, that are held for clients which read slowly or not at all.
func TestCrowdOfUnreadPages(t *testing.T) {
	f := startCrowdFleetWith(t, 1200)
	var items []string
	for i := range 2 {
		items = append(items, fmt.Sprintf(`{"id":"long-%d-%s","path":"%sx","headers":{"Figshift-Model":"%s"},"body":"Yg=="}`, i, strings.Repeat("x", 1000), estate.Rollouts, estate.Model))
	}
	if status, text := f.call(1, http.MethodPost, estate.Rollouts+"pages", "pages", estate.Key, []byte(`{"items":[`+strings.Join(items, ",")+`]}`)); status != http.StatusAccepted {
		t.Fatalf("submission: status %d (%s)", status, text)
	}
	proc.WaitUntil(t, crowdSettleTime, "the items are listed", func() bool {
		page, _ := f.listResults(1, "pages", 0)
		return len(page.Results) == len(items)
	})
	c := f.door(500, crowdRequest("GET", "/api/lots/pages?after=0").SentAhead(1))
	c.ReceiveBuffer = 4 << 10
	f.play(c)
}

// Guards against connections to the listener for heartbeats that take a host's descriptors.
func TestCrowdAtPeers(t *testing.T) {
	f := startCrowdFleet(t)
	f.play(&crowd.Crowd{Address: f.PeerAddress(1), Clients: 400}, &crowd.Crowd{Address: f.PeerAddress(1), Clients: 100, Payload: []crowd.Part{{Text: "\x80\x00\x0f\xff", Times: 1}}})
}

// Guards against idle connections that take the memory of clients, so that no new one was admitted until they were closed as idle.
func TestCrowdOfIdleConnections(t *testing.T) {
	f := startCrowdFleetWith(t, 1500)
	f.play(f.door(600, nil))
}

// Guards against a crowd that keeps a host from ending when it is told to stop.
func TestCrowdAtAStop(t *testing.T) {
	f := startCrowdFleet(t)
	request := crowdRequest("POST", estate.Lookup+"x")
	slow := f.door(20, request.Body(1000))
	slow.Piece, slow.Pause = 10, 100*time.Millisecond
	crowds := []*crowd.Crowd{f.door(20, nil), f.door(20, request.ShortFields(10<<10, false)), f.door(20, request.Body(crowdBodyBytes)), f.door(20, request.SentAhead(1<<20)), slow}
	for _, c := range crowds {
		c.Start()
		defer c.Stop()
	}
	proc.WaitUntil(t, crowdSettleTime, "the crowd has connected", func() bool { return f.fds(0) > 80 })
	f.hosts[0].Signal(syscall.SIGTERM)
	if code := f.hosts[0].ExitCode(crowdSettleTime); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against connections that take the descriptors which a host needs for its own calls.
func TestCrowdOfConnections(t *testing.T) {
	f := startCrowdFleet(t)
	idle, request := f.door(300, nil), crowdRequest("POST", estate.Lookup+"x")
	slow := f.door(300, request.Body(1000))
	slow.Piece, slow.Pause = 50, 200*time.Millisecond
	f.play(idle, slow)
}

// Guards against limits that refuse a single request which keeps to those of the configuration.
func TestLimitsInCalm(t *testing.T) {
	f := startCrowdFleet(t)
	lookup := crowdRequest("POST", estate.Lookup+"x")
	length := func(n int) crowd.Request {
		r := lookup
		r.Fields += fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n", n)
		return r
	}
	closing := lookup
	closing.Fields += "Connection: close\r\n"
	slowly := func(n int) []crowd.Part { return []crowd.Part{{Text: "b", Times: n}} }
	body := func(n int) crowd.Part { return crowd.Part{Text: strings.Repeat("b", n), Times: 1} }
	job := func(i int) string {
		return fmt.Sprintf(`{"id":"i%d","path":"%sx","headers":{"Figshift-Model":"%s"},"body":"%s","tokens":10,"group":"g"}`, i, estate.Rollouts, estate.Model, strings.Repeat("YmJi", 150))
	}
	submission := crowdRequest("POST", estate.Rollouts+"x")
	submission.Fields += "Connection: close\r\n"
	cases := map[string]struct {
		payload []crowd.Part
		piece   int
		pause   time.Duration
		want    string
	}{
		"HeadOfShortFields":  {closing.ShortFields(crowdHeaderBytes, true), 0, 0, "200"},
		"SlowHead":           {closing.ShortFields(crowdHeaderBytes, true), crowdHeaderBytes / 25, 100 * time.Millisecond, "200"},
		"GreatestBody":       {append(length(crowdBodyBytes).ShortFields(300, true), body(crowdBodyBytes)), 0, 0, "200"},
		"SlowBody":           {append(length(12).ShortFields(300, true), slowly(12)...), 0, 500 * time.Millisecond, "200"},
		"BodyInSmallPieces":  {append(length(crowdBodyBytes).ShortFields(300, true), body(crowdBodyBytes)), 2 << 10, time.Millisecond, "200"},
		"HeadAndBodyAtLimit": {append(length(crowdBodyBytes).ShortFields(crowdHeaderBytes, true), body(crowdBodyBytes)), 0, 0, "200"},
		"LargeSubmission":    {submission.List(`{"target_groups":1,"items":[`, job, `]}`, crowdBodyBytes), 0, 0, "202"},
	}
	for name, c := range cases {
		for host := range f.hosts {
			t.Run(fmt.Sprintf("%s/host-%d", name, host+1), func(t *testing.T) {
				got := (&crowd.Crowd{Address: f.ClientAddress(host + 1), Payload: c.payload, Piece: c.piece, Pause: c.pause}).Ask(name+fmt.Sprint(host), crowdAnswerTime)
				if !strings.HasPrefix(got, "HTTP/1.1 "+c.want) {
					t.Errorf("answer %q, want status %s", got, c.want)
				}
			})
		}
	}
	f.checkLimits()
}
