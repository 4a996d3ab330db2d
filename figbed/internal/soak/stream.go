package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

const (
	streamInterval = 150 * time.Millisecond // pause between two streams of a streamer
	maxStreamTries = 6
)

// streamer reads streams, one at a time, leaves each in the middle and takes it up again at random hosts.
type streamer struct {
	runner *runner
	name   string
	random *rand.Rand
	client *http.Client
}

func (s *streamer) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		s.stream(ctx, fmt.Sprintf("%s-%d", s.name, n))
		sleep(ctx, streamInterval)
	}
}

// stream reads a stream in several tries. Nothing is checked here: the servers' runs show whether it is mixed.
func (s *streamer) stream(ctx context.Context, id string) {
	lastEvent, firstTry := 0, ""
	for try := 1; try <= maxStreamTries && ctx.Err() == nil; try++ {
		attempt := fmt.Sprintf("%s-try%d", id, try)
		before := lastEvent
		lastEvent = s.read(ctx, id, attempt, firstTry, lastEvent)
		if firstTry == "" && lastEvent > 0 {
			firstTry = attempt
		}
		if lastEvent >= shortStreamEvents {
			return
		}
		if lastEvent == before {
			sleep(ctx, retryInterval)
		}
	}
}

// read makes one try at a stream, ends it after a few events and returns the number of the last event.
func (s *streamer) read(ctx context.Context, id, attempt, firstTry string, lastEvent int) int {
	host := 1 + s.random.IntN(s.runner.testbed.hosts)
	call := Call{ID: attempt, Path: estate.Streams + id, Key: estate.Key, Host: host, Sent: time.Now()}
	s.runner.recorder.update(func(h *History) { h.Calls = append(h.Calls, call) }) // no outcome is recorded
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.runner.testbed.platform.ClientAddress(host)+call.Path, strings.NewReader("prompt"))
	if err != nil {
		return lastEvent
	}
	req.Host = estate.Host
	req.Header.Set(estate.HeaderAttemptID, attempt)
	req.Header.Set("Figshift-Model", estate.Model)
	req.Header.Set("Figshift-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+estate.Key)
	if lastEvent > 0 {
		req.Header.Set(estate.HeaderLastEventID, fmt.Sprint(lastEvent))
		req.Header.Set(estate.HeaderResumes, firstTry)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return lastEvent
	}
	defer func() { _ = resp.Body.Close() }()
	until := lastEvent + 1 + s.random.IntN(shortStreamEvents)
	for lines := bufio.NewScanner(resp.Body); lastEvent < until && lines.Scan(); {
		var number int
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &number); err == nil {
			lastEvent = number
		}
	}
	return lastEvent
}
