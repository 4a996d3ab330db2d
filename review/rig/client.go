package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	siteHost  = "site.example"
	siteKey   = "3fexd9dnn2ctnfzs989a"
	tenant    = "north"
	modelName = "model-a"
	maxQueueS = 40
	attempts  = 3 // of the route of batch jobs
)

// configure writes a configuration with a route for batch jobs and one for the calls that score their texts.
func (s *store) configure(version int) {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": siteHost, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 5000, "target_latency_ms": 500,
			"priority": 1, "max_attempts": attempts, "public": false,
		}
		for k, v := range more {
			out[k] = v
		}
		return out
	}
	s.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("r-lots", "/lots/", "rollout", "engines", map[string]any{"run_deadline_ms": dueMS, "max_queue_s": maxQueueS, "single_version": false, "sticky": true, "resumable": true}),
			route("r-score", "/score/", "safe", "plain", nil),
			route("r-look", "/look/", "safe", "plain", nil),
		},
		"services": []any{
			map[string]any{"name": "engines", "health_path": "/healthz", "max_conns": 140, "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": modelName}}}},
			map[string]any{"name": "plain", "health_path": "/healthz", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{siteKey}, "priority": 1}},
	})
}

// call makes a call on a new connection. A status of 0 stands for no answer.
func (r *rig) call(d *daemon, method, path, id string, body []byte, wait time.Duration) (status int, answer []byte) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = siteHost
	req.Header.Set("Authorization", "Bearer "+siteKey)
	if id != "" {
		req.Header.Set("Figshift-Attempt-Id", id)
	}
	if wait > 0 {
		req.Header.Set("Figshift-Wait-Ms", strconv.Itoa(int(wait.Milliseconds())))
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// job is a batch job as its client sees it.
type job struct {
	id       string
	items    []string
	sentAt   time.Duration
	accepted bool
	results  []result
}

type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

// submit submits a batch job of a trainer, at one daemon after the other until it is accepted.
func (r *rig) submit(j *job, step, minVersion, group int) bool {
	var items []map[string]any
	for n, id := range j.items {
		items = append(items, map[string]any{
			"id": id, "path": "/lots/" + id, "body": []byte("prompt of " + id), "tokens": 300, "group": fmt.Sprintf("%s-g%d", j.id, n/group),
			"headers":    map[string]string{"Figshift-Model": modelName, "Figshift-Token-Usage": "200,100", "Figshift-Prompt-Prefix": "9c2e41:200"},
			"scorer_url": map[string]any{"id": "s-" + id, "host": siteHost, "path": "/score/" + id, "body": []byte("score")},
		})
	}
	body, err := json.Marshal(map[string]any{
		"step": step, "model": modelName, "min_version": minVersion, "target_groups": (len(j.items) + group - 1) / group, "items": items,
	})
	if err != nil {
		panic(err)
	}
	j.sentAt = r.now()
	for try := range 10 {
		d := r.daemons[(step+try)%len(r.daemons)]
		status, _ := r.call(d, http.MethodPost, "/lots/"+j.id, j.id, body, 0)
		r.record("batch job %s with %d items is sent to %s: %d", j.id, len(j.items), d.name, status)
		if status == http.StatusAccepted {
			j.accepted = true
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// read reads the next results of a batch job, at one daemon after the other, until all are read or the time is up.
func (r *rig) read(j *job, until time.Duration) {
	for n := 0; len(j.results) < len(j.items) && r.now() < until; n++ {
		d := r.daemons[n%len(r.daemons)]
		status, answer := r.call(d, http.MethodGet, "/api/lots/"+url.PathEscape(j.id)+"?after="+strconv.Itoa(len(j.results)), "", nil, time.Second)
		var page struct {
			Results []result `json:"results"`
		}
		if status != http.StatusOK || json.Unmarshal(answer, &page) != nil {
			r.record("batch job %s read at %s: %d", j.id, d.name, status)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, res := range page.Results {
			r.record("batch job %s position %d read at %s: %s is %s", j.id, len(j.results), d.name, res.ID, res.State)
			j.results = append(j.results, res)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
