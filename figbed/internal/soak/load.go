package soak

import (
	"bytes"
	"cmp"
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
	callDeadline     = 4 * time.Second
	callInterval     = 60 * time.Millisecond // pause between two calls of a caller
	groupsPerJob     = 4
	jobInterval      = 100 * time.Millisecond
	jobTimeout       = 12 * time.Second // for submitting a job, and again for reading its results
	readWait         = 500 * time.Millisecond
	retryInterval    = 200 * time.Millisecond
	jobsPerVersion   = 3 // jobs of a trainer from one advance of the weights to the next
	unsafeOneIn      = 2 // one call in this many is not idempotent
	rotatingKeyOneIn = 6 // one call in this many uses a rotating key
	auditInterval    = 100 * time.Millisecond
	auditSpan        = 4 * time.Second
)

// isReady reports whether a host's readiness listener answers with status 200.
func isReady(platform *estate.Platform, host int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + platform.ReadinessAddress(host) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// caller sends calls to one host, one at a time and on persistent connections.
type caller struct {
	runner *runner
	name   string
	host   int
	random *rand.Rand
	client *http.Client
}

func (c *caller) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		c.call(fmt.Sprintf("%s-%d", c.name, n))
		sleep(ctx, callInterval)
	}
}

func (c *caller) call(id string) {
	call := Call{ID: id, Path: estate.Lookup + id, Key: estate.Key, Host: c.host, Unsafe: c.random.IntN(unsafeOneIn) == 0}
	if call.Unsafe {
		call.Path = estate.Writes + id
	}
	if c.random.IntN(rotatingKeyOneIn) == 0 {
		call.Key = c.runner.pickRotatingKey(c.random)
	}
	c.record(call)
}

// record makes a call and records it with its outcome.
func (c *caller) record(call Call) {
	call.Sent = time.Now()
	index := 0
	c.runner.recorder.update(func(h *History) { index, h.Calls = len(h.Calls), append(h.Calls, call) })
	status, header, body := send(c.client, c.runner.testbed.platform.ClientAddress(c.host), http.MethodPost, call.Path, call.ID, call.Key, []byte("b"))
	c.runner.recorder.update(func(h *History) {
		h.Calls[index].Ended, h.Calls[index].Status = time.Now(), status
		if status == http.StatusOK {
			h.Calls[index].Body, h.Calls[index].Stamp = string(body), header.Get(estate.HeaderResponseStamp)
		}
	})
}

// send makes a request and returns the response. The status is 0 if no complete response came.
func send(client *http.Client, address, method, path, id, key string, body []byte) (int, http.Header, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	req.Host = estate.Host
	req.Header.Set(estate.HeaderAttemptID, id)
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

// trainer submits jobs, one at a time, to random hosts and reads their results from random hosts.
type trainer struct {
	runner *runner
	name   string
	random *rand.Rand
	client *http.Client
	groups int // of each job; 0 for groupsPerJob
}

func (t *trainer) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		if n%jobsPerVersion == 0 {
			t.runner.advanceWeights()
		}
		id := fmt.Sprintf("%s-%d", t.name, n)
		if t.submit(ctx, id) {
			t.readToEnd(ctx, id, jobTimeout)
		}
		sleep(ctx, jobInterval)
	}
}

func (t *trainer) randomHost() int { return 1 + t.random.IntN(t.runner.testbed.hosts) }

// submit sends a job to random hosts until one accepts it. It returns false after jobTimeout.
func (t *trainer) submit(ctx context.Context, id string) bool {
	minVersion, groups := t.runner.minVersion(), cmp.Or(t.groups, groupsPerJob)
	job := Job{ID: id, MinVersion: uint64(minVersion)}
	for i := range estate.ItemsPerGroup * groups {
		job.Items = append(job.Items, fmt.Sprintf("%s-%d", id, i))
	}
	index := 0
	t.runner.recorder.update(func(h *History) { index, h.Jobs = len(h.Jobs), append(h.Jobs, job) })
	body := estate.JobBody(id, groups, minVersion)
	for deadline := time.Now().Add(jobTimeout); ctx.Err() == nil && time.Now().Before(deadline); sleep(ctx, retryInterval) {
		attempt := 0
		t.runner.recorder.update(func(h *History) {
			attempt, h.Jobs[index].Statuses = len(h.Jobs[index].Statuses), append(h.Jobs[index].Statuses, 0)
		})
		status, _, _ := send(t.client, t.runner.testbed.platform.ClientAddress(t.randomHost()), http.MethodPost, estate.Rollouts+id, id, estate.Key, body)
		t.runner.recorder.update(func(h *History) {
			h.Jobs[index].Statuses[attempt] = status
			if status == http.StatusAccepted {
				h.Jobs[index].Accepted = time.Now()
			}
		})
		if status == http.StatusAccepted {
			return true
		}
	}
	return false
}

// readToEnd reads a job's results from random hosts until it has all of them, then reads once more from the start. It
// returns false if that takes longer than timeout.
func (t *trainer) readToEnd(ctx context.Context, id string, timeout time.Duration) bool {
	after := 0
	for deadline := time.Now().Add(timeout); ctx.Err() == nil && time.Now().Before(deadline); {
		read := t.read(id, t.randomHost(), after)
		after += len(read.Results)
		if read.Status == http.StatusOK && after >= read.Total {
			t.read(id, t.randomHost(), 0)
			return true
		}
		if read.Status != http.StatusOK {
			sleep(ctx, retryInterval)
		}
	}
	return false
}

func (t *trainer) read(id string, host, after int) Read {
	read := Read{Job: id, Host: host, After: after}
	status, _, body := send(t.client, t.runner.testbed.platform.ClientAddress(host), http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "read-"+id, estate.Key, nil)
	var page struct {
		Total   int      `json:"total"`
		Results []Result `json:"results"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &page) != nil {
		status = 0
	}
	read.Status, read.At, read.Total, read.Results = status, time.Now(), page.Total, page.Results
	t.runner.recorder.update(func(h *History) { h.Reads = append(h.Reads, read) })
	return read
}

// auditor reads positions that trainers have got, each at a random host.
type auditor struct{ trainer }

func (a *auditor) run(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, auditInterval) {
		if job, after, ok := a.pickPosition(); ok {
			a.read(job, a.randomHost(), after)
		}
	}
}

// pickPosition returns a position of which a result was read in the last auditSpan.
func (a *auditor) pickPosition() (job string, after int, ok bool) {
	since := time.Now().Add(-auditSpan)
	a.runner.recorder.update(func(h *History) {
		for i := len(h.Reads) - 1; i >= 0 && h.Reads[i].At.After(since); i-- {
			if n := len(h.Reads[i].Results); n > 0 && (!ok || a.random.IntN(2) == 0) {
				job, after, ok = h.Reads[i].Job, h.Reads[i].After+a.random.IntN(n), true
			}
		}
	})
	return job, after, ok
}

// unfinishedJobs returns the accepted jobs that lack results in the history.
func unfinishedJobs(h History) []string {
	listed := map[string]map[string]bool{}
	for _, read := range h.Reads {
		for _, result := range read.Results {
			if listed[read.Job] == nil {
				listed[read.Job] = map[string]bool{}
			}
			listed[read.Job][result.ID] = true
		}
	}
	var ids []string
	for _, j := range h.Jobs {
		missing := slices.ContainsFunc(j.Items, func(item string) bool { return !listed[j.ID][item] })
		if !j.Accepted.IsZero() && j.Ending.IsZero() && missing {
			ids = append(ids, j.ID)
		}
	}
	return ids
}
