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

const (
	brokenEvents  = 8  // of a stream
	brokenCallers = 4  // at a time
	brokenCalls   = 40 // of each caller
)

// Servers broke off their answers in the head, before the first event, within an event, in a chunk or short of a length, or sent
// something else in their place. Callers got a success that was not the server's whole answer, and items the part of a text.
func TestBrokenAnswersAreNotWhole(t *testing.T) {
	t.Parallel()
	engines := []*estate.Server{newEngine("e1", "zone-1", brokenEvents, 5*time.Millisecond), newEngine("e2", "zone-2", brokenEvents, 5*time.Millisecond)}
	plain := []*estate.Server{newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2")}
	var streams, items, calls atomic.Int64 // broken ones
	for _, s := range engines {
		s.Slots = 64
		s.Break = breakEvery(2, func(r *http.Request) string {
			if strings.HasPrefix(r.URL.Path, estate.Streams) {
				return pick(brokenStreams(r), &streams)
			}
			return pick(append(withoutEvents(r), brokenStreams(r)...), &items)
		})
	}
	for _, s := range plain {
		s.Slots = 64
		s.Break = breakEvery(3, func(r *http.Request) string { return pick(brokenAnswers(r), &calls) })
	}
	f := startPlatformFleet(t, 3, append(engines, plain...)...)
	f.submit(1, "job", 8, 1)
	var whole atomic.Int64
	var callers sync.WaitGroup
	for c := range brokenCallers {
		callers.Go(func() {
			for n := range brokenCalls {
				whole.Add(int64(f.callBroken(c, n)))
			}
		})
	}
	callers.Wait()
	f.waitComplete(2, "job", 8*estate.ItemsPerGroup, brokenEvents, 20*time.Second)
	if n := streams.Load(); n < 20 || calls.Load() < 20 || items.Load() < 10 {
		t.Errorf("%d streams, %d calls and %d items got a broken answer: the case shows too little", n, calls.Load(), items.Load())
	}
	t.Logf("broken answers: %d to streams, %d to calls, %d to items; %d of %d calls got a whole one",
		streams.Load(), calls.Load(), items.Load(), whole.Load(), 3*brokenCallers*brokenCalls)
}

// callBroken makes a call of each kind and returns how many got a whole answer. It checks that a success is one.
func (f *platformFleet) callBroken(caller, n int) (whole int) {
	for _, prefix := range []string{estate.Lookup, estate.Writes, estate.Streams} {
		id := fmt.Sprintf("c%d-%d%s", caller, n, strings.ReplaceAll(prefix, "/", "-"))
		path := prefix + id
		status, body := f.call(1+n%len(f.hosts), http.MethodPost, path, id, estate.Key, []byte("x"))
		if status != http.StatusOK {
			continue
		}
		whole++
		if prefix == estate.Streams {
			if want := wholeStream(id); body != want {
				f.t.Errorf("stream %s ended as whole after %q", id, body)
			}
			continue
		}
		if !strings.HasPrefix(body, "answer of p") || !strings.HasSuffix(body, " to "+path) {
			f.t.Errorf("call %s got %q as whole", id, body)
		}
	}
	return whole
}

func wholeStream(id string) string {
	text := ""
	for n := 1; n <= brokenEvents; n++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", n, estate.EventData(id, n))
	}
	return text
}

// breakEvery has one of several answers broken.
func breakEvery(several int64, answer func(r *http.Request) string) func(r *http.Request) (string, bool) {
	var runs atomic.Int64
	return func(r *http.Request) (string, bool) {
		if runs.Add(1)%several != 0 {
			return "", false
		}
		return answer(r), true
	}
}

// pick returns the next one of answers in turn, and counts it.
func pick(answers []string, picked *atomic.Int64) string {
	return answers[int(picked.Add(1)-1)%len(answers)]
}

// ownHeader returns the header fields by which an answer is known as a server's own.
func ownHeader(r *http.Request) string {
	id := r.Header.Get(estate.HeaderAttemptID)
	return fmt.Sprintf("%s: %s\r\n%s: broken.%s\r\n", estate.HeaderAttemptID, id, estate.HeaderResponseStamp, id)
}

// brokenAnswers returns broken answers to a plain request.
func brokenAnswers(r *http.Request) []string {
	head, text := " 200 OK\r\n"+ownHeader(r), "answer of p0"
	return []string{
		"", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nFigshift-Att", "HTTP/1.1" + head, "HTTP/1.1" + head + "Content-Length: 1", "HTTP/1.0" + head,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1" + head,
		"HTTP/1.1" + head + "Content-Length: 99\r\n\r\n", "HTTP/1.1" + head + "Content-Length: 99\r\n\r\n" + text,
		"HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n", "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\nc",
		"HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + text + "\r\n", "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + text + "\r\n0\r\nX-Tr",
		"garbage that is no HTTP\r\n\r\n", "HTTP/1.1 099 None\r\n" + ownHeader(r) + "Content-Length: 0\r\n\r\n", "HTTP/1.1 101 Switching\r\n" + ownHeader(r) + "\r\n",
		"HTTP/1.1 500 Oops\r\n" + ownHeader(r) + "Content-Length: 99\r\n\r\n" + text,
	}
}

// brokenStreams returns broken answers to a request for a stream, with and without the first of its events.
func brokenStreams(r *http.Request) []string {
	first := 1
	if last := r.Header.Get(estate.HeaderLastEventID); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	id := r.Header.Get(estate.HeaderAttemptID)
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", first, estate.EventData(id, first))
	part := event + fmt.Sprintf("id: %d\nda", first+1)
	head := " 200 OK\r\nContent-Type: text/event-stream\r\n" + ownHeader(r)
	answers := []string{
		"HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(event), event),
		"HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(part), part),
		"HTTP/1.1" + head + "\r\n" + part, "HTTP/1.0" + head + "\r\n" + part, "HTTP/1.1" + head + "Content-Length: 999\r\n\r\n" + part,
	}
	if first == 1 {
		answers = append(answers, "HTTP/1.1"+head+"\r\n", "HTTP/1.0"+head+"\r\n")
	}
	return append(answers, brokenAnswers(r)...)
}

// withoutEvents returns whole answers that are no part of a text.
func withoutEvents(r *http.Request) []string {
	answer := func(status, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, contentType, ownHeader(r), len(body), body)
	}
	answers := []string{answer("200 OK", "application/json", `{"detail":"oops"}`), answer("200 OK", "text/html", ""), answer("404 Not Found", "text/plain", "oops")}
	if r.Header.Get(estate.HeaderLastEventID) == "" {
		answers = append(answers, answer("200 OK", "text/event-stream", ""))
	}
	return answers
}
