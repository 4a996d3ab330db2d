package proofs

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// lateRequest is a request that begins before a host's stop and becomes whole at a time after it.
type lateRequest struct {
	method, path string
	header       string        // a further line of the head
	begin, whole time.Duration // after SIGTERM; begun before it when 0
	body         []byte
	mayRun       bool // its runs are counted at the servers
}

// Requests that became whole late in a stop were passed on to a server and cut at the stop's end without an answer.
func TestRequestsLateInAStopAreAnswered(t *testing.T) {
	t.Parallel()
	const lastConnect = 2200 * time.Millisecond // after SIGTERM, while the host still accepts connections
	servers := []*estate.Server{newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2"), newEngine("e1", "zone-1", 8, 100*time.Millisecond)}
	for _, s := range servers {
		s.WorkTime, s.Slots = 800*time.Millisecond, 16
	}
	f := startPlatformFleet(t, 3, servers...)
	var before sync.WaitGroup
	for _, path := range []string{estate.Writes, estate.Lookup, estate.Streams} { // so that the host knows how long such requests take
		before.Go(func() {
			for i := range 3 {
				f.call(1, http.MethodPost, fmt.Sprintf("%sbefore-%d", path, i), fmt.Sprintf("before%s%d", path, i), estate.Key, nil)
			}
		})
	}
	before.Wait()
	f.submit(1, "waiting", 1, 99) // whose version isn't published
	var late []lateRequest
	for _, at := range []time.Duration{500, 2000, 4000, 5000, 6000, 6500, 6800, 7000, 7200} {
		at *= time.Millisecond
		for _, path := range []string{estate.Writes, estate.Lookup, estate.Streams} {
			late = append(late, lateRequest{method: http.MethodPost, path: path, whole: at, body: bytes.Repeat([]byte("x"), 400), mayRun: true})
		}
		late = append(late, lateRequest{method: http.MethodPost, path: estate.Rollouts, whole: at, body: estate.JobBody("late", 1, 1)})
		if at > lastConnect { // heads have less time than bodies
			late = append(late, lateRequest{method: http.MethodGet, path: "/api/lots/waiting?after=0&n=", header: "Figshift-Wait-Ms: 1000\r\n", begin: lastConnect, whole: at})
		}
	}
	var wg sync.WaitGroup
	stopped := make(chan time.Time, len(late))
	begun := sync.WaitGroup{}
	begun.Add(len(late))
	for i, r := range late {
		wg.Go(func() { f.checkLate(1, fmt.Sprintf("late-%d", i), r, begun.Done, stopped) })
	}
	begun.Wait()
	f.hosts[0].Signal(syscall.SIGTERM)
	at := time.Now()
	for range late {
		stopped <- at
	}
	wg.Wait()
}

// checkLate sends a request and checks that it is answered, and that one that is refused did not run.
func (f *platformFleet) checkLate(host int, id string, r lateRequest, begun func(), stopped <-chan time.Time) {
	var stop time.Time
	if r.begin > 0 {
		begun()
		stop = <-stopped
		time.Sleep(time.Until(stop.Add(r.begin)))
	}
	conn, err := net.Dial("tcp", f.ClientAddress(host))
	if err != nil {
		f.t.Error(err)
		begun()
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nFigshift-Deadline-Ms: 20000\r\n%s", r.method, r.path, id, estate.Host, estate.Key, estate.HeaderAttemptID, id, r.header)
	rest := "\r\n"
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(r.body))
		rest = string(r.body)
	}
	_, _ = io.WriteString(conn, head) // a failure shows as a missing answer
	if r.begin == 0 {
		begun()
		stop = <-stopped
	}
	for time.Since(stop) < r.whole { // some bytes at a time, so that the body isn't taken for stalled
		if len(rest) > 10 {
			_, _ = io.WriteString(conn, rest[:5])
			rest = rest[5:]
		}
		time.Sleep(min(100*time.Millisecond, max(0, r.whole-time.Since(stop))))
	}
	_, _ = io.WriteString(conn, rest)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.t.Errorf("%s %s, whole %v after SIGTERM, got no answer after %v: %v", r.method, r.path, r.whole, time.Since(stop), err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Errorf("%s %s, whole %v after SIGTERM, got status %d and no whole answer after %v: %v", r.method, r.path, r.whole, resp.StatusCode, time.Since(stop), err)
	}
	f.t.Logf("%s %s, whole %v after SIGTERM: %d after %v", r.method, r.path, r.whole, resp.StatusCode, time.Since(stop))
	if r.mayRun && resp.StatusCode == http.StatusServiceUnavailable && f.hasRun(id) {
		f.t.Errorf("%s %s, whole %v after SIGTERM, was refused with %q and ran", r.method, r.path, r.whole, body)
	}
}

// hasRun reports whether a server ran a request.
func (f *platformFleet) hasRun(id string) bool {
	return slices.ContainsFunc(f.Servers, func(s *estate.Server) bool {
		return slices.ContainsFunc(s.Runs(), func(r estate.Run) bool { return r.ID == id })
	})
}
