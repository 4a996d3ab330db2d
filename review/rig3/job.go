package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const model = "m0"

// job is a batch job of a trainer.
type job struct {
	id     string
	body   []byte
	items  []string
	sent   time.Time
	mu     sync.Mutex
	accept time.Time // of its first 202, zero before
}

func newJob(id string, groups, size, target, minVersion int) *job {
	j := &job{id: id}
	var items []any
	for i := range groups * size {
		item := fmt.Sprintf("%s-i%02d", id, i)
		j.items = append(j.items, item)
		items = append(items, map[string]any{
			"id": item, "path": "/train/" + item, "body": []byte("prompt of " + item), "tokens": 300, "group": fmt.Sprintf("%s-g%d", id, i/size),
			"headers":    map[string]string{"Figshift-Model": model, "Figshift-Token-Usage": "271,28", "Figshift-Prompt-Prefix": fmt.Sprintf("%x:255,%x:16", 100+i/size, 9000+i), "Figshift-Length-Hint": "28"},
			"scorer_url": map[string]any{"id": "r-" + item, "host": host, "path": "/score/" + item, "body": []byte("s")},
		})
	}
	var err error
	if j.body, err = json.Marshal(map[string]any{"step": 1, "model": model, "min_version": minVersion, "target_groups": target, "items": items}); err != nil {
		panic(err)
	}
	return j
}

func (j *job) accepted() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accept
}

// submit submits the job at a daemon and returns the status, 0 without an answer.
func (b *bed) submit(j *job, d *daemon, timeout time.Duration) int {
	b.record("submit   %s to %s", j.id, d.name)
	status, text := b.call(timeout, http.MethodPost, "http://"+d.address()+"/train/"+j.id, callerHeader(j.id), j.body)
	b.record("answer   %s from %s: %d %s", j.id, d.name, status, strings.TrimSpace(string(text)))
	if status == http.StatusAccepted {
		j.mu.Lock()
		if j.accept.IsZero() {
			j.accept = time.Now()
		}
		j.mu.Unlock()
	}
	return status
}

type listed struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next_token"`
	Results []listed `json:"results"`
}

// read reads results of a job at a daemon.
func (b *bed) read(j *job, d *daemon, after int) (int, page) {
	var p page
	status, text := b.call(5*time.Second, http.MethodGet, fmt.Sprintf("http://%s/api/lots/%s?after=%d", d.address(), j.id, after), callerHeader(""), nil)
	if status == http.StatusOK {
		if err := json.Unmarshal(text, &p); err != nil {
			b.record("read     %s at %s: %v", j.id, d.name, err)
		}
	}
	b.record("read     %s after %d at %s: %d, %d results, total %d", j.id, after, d.name, status, len(p.Results), p.Total)
	return status, p
}

// readBody reads the body of an item at a daemon.
func (b *bed) readBody(j *job, item string, d *daemon) int {
	status, _ := b.call(5*time.Second, http.MethodGet, fmt.Sprintf("http://%s/api/items/%s?id=%s", d.address(), j.id, item), callerHeader(""), nil)
	b.record("body     %s at %s: %d", item, d.name, status)
	return status
}

func (b *bed) finishedAnywhere(item string) bool {
	for _, s := range b.servers {
		if s.hasFinished(item) {
			return true
		}
	}
	return false
}

// configure writes the first configuration.
func (b *bed) configure(rollout map[string]any) {
	route := map[string]any{
		"name": "train", "host": host, "path_prefix": "/train/", "kind": "rollout", "service": "models", "timeout_ms": 10000, "max_attempts": 3, "priority": 1,
		"target_latency_ms": 500, "run_deadline_ms": 7500, "max_queue_s": 40, "sticky": true, "resumable": true, "streaming": true,
	}
	for k, v := range rollout {
		route[k] = v
	}
	b.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{
			route,
			map[string]any{"name": "score", "host": host, "path_prefix": "/score/", "kind": "safe", "service": "scorers", "timeout_ms": 3000, "max_attempts": 4, "priority": 2, "target_latency_ms": 800, "public": true},
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/healthz", "engine": map[string]any{"models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": "scorers", "health_path": "/healthz"},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "north", "api_keys": []string{apiKey}}},
	})
}
