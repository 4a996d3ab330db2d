package proofs

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// endlessAnswer returns what a faulty server sends in place of the answer to a request.
type endlessAnswer func(id string) (first string, more func(n int) string)

// endlessAnswers are answers without end: in heads, lines, events, texts and bodies.
func endlessAnswers() map[string]endlessAnswer {
	head := func(id, more string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p.%s\r\n%s", estate.HeaderAttemptID, id, estate.HeaderResponseStamp, id, more)
	}
	events := "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	repeat := func(part string) func(int) string { return func(int) string { return part } }
	part := strings.Repeat("d", 16<<10)
	return map[string]endlessAnswer{
		"fields": func(id string) (string, func(int) string) {
			return head(id, ""), func(n int) string {
				var fields strings.Builder
				for i := range 1000 {
					fmt.Fprintf(&fields, "%x:\r\n", 1000*n+i)
				}
				return fields.String()
			}
		},
		"garbage": func(string) (string, func(int) string) { return "garbage", repeat(part) },
		"line": func(id string) (string, func(int) string) {
			return head(id, events) + "id: 1\ndata: ", repeat(part)
		},
		"event": func(id string) (string, func(int) string) {
			return head(id, events) + "id: 1\n", repeat("data: " + part + "\n")
		},
		"text": func(id string) (string, func(int) string) {
			return head(id, events), func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, part) }
		},
		"body": func(id string) (string, func(int) string) {
			return head(id, "Connection: close\r\n\r\n"), repeat(part)
		},
	}
}

// Servers that sent bytes without end, many at once, filled the memory of the host that had called them.
func TestCrowdOfEndlessAnswers(t *testing.T) {
	const (
		faulty = 6
		slots  = 40
		groups = 100
	)
	for name, answer := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			var began atomic.Int64
			endless := func(r *http.Request) (string, func(int) string) {
				if r.URL.Path == estate.Lookup+"x" || strings.HasPrefix(r.URL.Path, estate.Scores) {
					return "", nil
				}
				began.Add(1)
				return answer(r.Header.Get(estate.HeaderAttemptID))
			}
			platform := &estate.Platform{
				MemoryMB: crowdMemoryMB, MaxFDs: 4 * crowdMaxFDs,
				Limits: map[string]any{"max_header_bytes": crowdHeaderBytes, "max_body_bytes": crowdBodyBytes},
			}
			for n := range faulty {
				engine, plain := newEngine(fmt.Sprintf("e%d", n), fmt.Sprintf("zone-%d", n%4+1), 5, time.Millisecond), newPlainServer(fmt.Sprintf("p%d", n), fmt.Sprintf("zone-%d", n%4+1))
				for _, s := range []*estate.Server{engine, plain} {
					s.Slots, s.Endless = slots, endless
					platform.Servers = append(platform.Servers, s)
				}
			}
			f := &crowdFleet{platformFleet: startFleetOn(t, 2, platform), peakFDs: make([]int, 2), body: "body"}
			f.submit(1, "endless", groups, 1)
			var callers sync.WaitGroup
			for n := range 2 * slots {
				for _, path := range []string{estate.Lookup, estate.Writes, estate.Streams} {
					callers.Go(func() {
						f.discard(1, path, fmt.Sprintf("faulty-%d", n))
					})
				}
			}
			f.awaitAnswers("beside servers that send without end")
			callers.Wait()
			f.awaitAnswers("afterwards")
			f.checkLimits()
			t.Logf("%d answers without end", began.Load())
		})
	}
}

// discard makes a call and reads its answer, of which it keeps nothing.
func (f *crowdFleet) discard(host int, path, name string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.ClientAddress(host)+path+name, nil)
	if err != nil {
		f.t.Error(err)
		return
	}
	req.Host, req.Close = estate.Host, true
	req.Header.Set(estate.HeaderAttemptID, name+path)
	req.Header.Set("Figshift-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer "+estate.Key)
	resp, err := f.client.Do(req)
	if err != nil {
		return // the host has ended the call
	}
	_, _ = io.Copy(io.Discard, resp.Body) // until the host ends the call
	_ = resp.Body.Close()
}
