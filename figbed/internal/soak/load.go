package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

const (
	callDeadline = 4 * time.Second
	callPause    = 60 * time.Millisecond // between two calls of a caller
	jobGroups    = 4
	jobPause     = 100 * time.Millisecond
	jobPatience  = 12 * time.Second // of the trainer with one job
	readWait     = 500 * time.Millisecond
	retryPause   = 200 * time.Millisecond
	versionEvery = 3 // jobs
	writesOf     = 2 // one call in so many is unsafe
	extraOf      = 6 // one call in so many has the extra key
)

// isReady asks a host whether it is ready.
func isReady(e *estate.Estate, host int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.Ready(host) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// caller sends one call after the other to a host, on connections that it keeps.
type caller struct {
	r      *runner
	name   string
	host   int
	random *rand.Rand
	client *http.Client
}

func (c *caller) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		c.call(fmt.Sprintf("%s-%d", c.name, n))
		sleep(ctx, callPause)
	}
}

func (c *caller) call(id string) {
	call := Call{ID: id, Path: estate.Lookup + id, Key: estate.Key, Host: c.host, Unsafe: c.random.IntN(writesOf) == 0, Sent: time.Now()}
	if call.Unsafe {
		call.Path = estate.Writes + id
	}
	if c.random.IntN(extraOf) == 0 {
		call.Key = c.r.pickKey(c.random)
	}
	at := 0
	c.r.book.add(func(h *History) { at, h.Calls = len(h.Calls), append(h.Calls, call) })
	status, header, body := send(c.client, c.r.world.estate.Front(c.host), http.MethodPost, call.Path, call.ID, call.Key, []byte("b"))
	c.r.book.add(func(h *History) {
		h.Calls[at].Ended, h.Calls[at].Status = time.Now(), status
		if status == http.StatusOK {
			h.Calls[at].Body, h.Calls[at].Stamp = string(body), header.Get(estate.FieldStamp)
		}
	})
}

// send returns status 0 when no whole answer came.
func send(client *http.Client, address, method, path, id, key string, body []byte) (int, http.Header, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	req.Host = estate.Host
	req.Header.Set(estate.FieldID, id)
	req.Header.Set("Figshift-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	req.Header.Set("Figshift-Wait-Ms", fmt.Sprint(readWait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, resp.Header, text
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// trainer submits one job after the other to any host and reads its results from any.
type trainer struct {
	r      *runner
	name   string
	random *rand.Rand
	client *http.Client
}

func (t *trainer) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		if n%versionEvery == 0 {
			t.r.nameVersion()
		}
		id := fmt.Sprintf("%s-%d", t.name, n)
		if t.submit(ctx, id) {
			t.readWhole(ctx, id, jobPatience)
		}
		sleep(ctx, jobPause)
	}
}

func (t *trainer) anyHost() int { return 1 + t.random.IntN(t.r.world.hosts) }

// submit sends a job until it is accepted.
func (t *trainer) submit(ctx context.Context, id string) bool {
	least := t.r.leastVersion()
	job := Job{ID: id, Least: uint64(least)}
	for i := range estate.GroupItems * jobGroups {
		job.Items = append(job.Items, fmt.Sprintf("%s-%d", id, i))
	}
	at := 0
	t.r.book.add(func(h *History) { at, h.Jobs = len(h.Jobs), append(h.Jobs, job) })
	body := estate.Submission(id, jobGroups, least)
	for until := time.Now().Add(jobPatience); ctx.Err() == nil && time.Now().Before(until); sleep(ctx, retryPause) {
		try := 0
		t.r.book.add(func(h *History) { try, h.Jobs[at].Tries = len(h.Jobs[at].Tries), append(h.Jobs[at].Tries, 0) })
		status, _, _ := send(t.client, t.r.world.estate.Front(t.anyHost()), http.MethodPost, estate.Rollouts+id, id, estate.Key, body)
		t.r.book.add(func(h *History) {
			h.Jobs[at].Tries[try] = status
			if status == http.StatusAccepted {
				h.Jobs[at].Accepted = time.Now()
			}
		})
		if status == http.StatusAccepted {
			return true
		}
	}
	return false
}

// readWhole reads a job from any hosts until all its results are known, then reads it once more from the start.
func (t *trainer) readWhole(ctx context.Context, id string, patience time.Duration) bool {
	after := 0
	for until := time.Now().Add(patience); ctx.Err() == nil && time.Now().Before(until); {
		read := t.read(id, t.anyHost(), after)
		after += len(read.Results)
		if read.Status == http.StatusOK && after >= read.Total {
			t.read(id, t.anyHost(), 0)
			return true
		}
		if read.Status != http.StatusOK {
			sleep(ctx, retryPause)
		}
	}
	return false
}

func (t *trainer) read(id string, host, after int) Read {
	read := Read{Job: id, Host: host, After: after}
	status, _, body := send(t.client, t.r.world.estate.Front(host), http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "read-"+id, estate.Key, nil)
	var page struct {
		Total   int      `json:"total"`
		Results []Result `json:"results"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &page) != nil {
		status = 0
	}
	read.Status, read.At, read.Total, read.Results = status, time.Now(), page.Total, page.Results
	t.r.book.add(func(h *History) { h.Reads = append(h.Reads, read) })
	return read
}

// open returns the accepted jobs of which not all results are known.
func open(h History) []string {
	listed := map[string]map[string]bool{}
	for _, read := range h.Reads {
		for _, one := range read.Results {
			if listed[read.Job] == nil {
				listed[read.Job] = map[string]bool{}
			}
			listed[read.Job][one.ID] = true
		}
	}
	var ids []string
	for _, j := range h.Jobs {
		missing := slices.ContainsFunc(j.Items, func(item string) bool { return !listed[j.ID][item] })
		if !j.Accepted.IsZero() && missing {
			ids = append(ids, j.ID)
		}
	}
	return ids
}
