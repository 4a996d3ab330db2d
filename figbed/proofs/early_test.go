package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// Servers answered long uploads at once, without a length, and reset the connections while the uploads were being written.
// Callers got the part that had come as a whole answer.
func TestUploadsThatAreAnsweredEarly(t *testing.T) {
	t.Parallel()
	const uploads, uploadBytes = 60, 3_900_000 // more than the buffers of both sides hold
	engines := []*estate.Server{newEngine("e1", "zone-1", brokenEvents, time.Millisecond), newEngine("e2", "zone-2", brokenEvents, time.Millisecond)}
	plain := []*estate.Server{newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2")}
	var early atomic.Int64
	for _, s := range append(engines, plain...) {
		s.Slots = 64
		s.Early = breakEvery(2, func(r *http.Request) string {
			early.Add(1)
			head := "HTTP/1.1 200 OK\r\n" + ownHeader(r)
			if !strings.HasPrefix(r.URL.Path, estate.Streams) {
				return head + "\r\nanswer of p0"
			}
			return head + fmt.Sprintf("Content-Type: text/event-stream\r\n\r\nid: 1\ndata: %s\n\n", estate.EventData(r.Header.Get(estate.HeaderAttemptID), 1))
		})
	}
	f := startFleetOn(t, 3, &estate.Platform{Servers: append(engines, plain...), Limits: map[string]any{"max_body_bytes": 4 << 20}})
	body := make([]byte, uploadBytes)
	var whole atomic.Int64
	var callers sync.WaitGroup
	for host := range f.hosts {
		callers.Go(func() {
			for n := range uploads / len(f.hosts) {
				prefix := []string{estate.Lookup, estate.Writes, estate.Streams}[n%3]
				id := fmt.Sprintf("u%d-%d", host, n)
				status, answer := f.call(host+1, http.MethodPost, prefix+id, id, estate.Key, body)
				if status != http.StatusOK {
					continue
				}
				whole.Add(1)
				if prefix == estate.Streams && answer != wholeStream(id) || prefix != estate.Streams && !strings.HasSuffix(answer, " to "+prefix+id) {
					t.Errorf("upload %s%s got %q as whole", prefix, id, answer)
				}
			}
		})
	}
	callers.Wait()
	if early.Load() < uploads/4 || whole.Load() == 0 {
		t.Errorf("%d uploads were answered early, %d got a whole answer: the case shows too little", early.Load(), whole.Load())
	}
	t.Logf("%d early answers, %d of %d uploads got a whole one", early.Load(), whole.Load(), uploads)
}
