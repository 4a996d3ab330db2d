package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["ends"] = refusedEnd }

const (
	outage     = 4500 * time.Millisecond // for_s of the site file
	steadyTime = 5 * time.Second         // for which an item may be at no server in steady state
	contact    = 3 * time.Second         // contact_ms
	dueMS      = 25000                   // run_deadline_ms of the route
)

// refusedEnd: the end of a batch job is asked while the store is down, and refused. The job then goes on: its items may not
// be at no server for steadyTime of steady state before the step runs out of time.
func refusedEnd(r *rig) (verdict int, why string) {
	st, err := r.startStore()
	if err != nil {
		return unable, err.Error()
	}
	st.configure(1)
	var engines []*server
	for n := range 2 {
		engines = append(engines, &server{
			ID: fmt.Sprintf("i-engine%d", n+1), Service: "engines", Zone: fmt.Sprintf("zone-%d", n+1), Model: modelName, Slots: 4, Events: 20,
			EventGap: 50 * time.Millisecond, LoadTime: 900 * time.Millisecond,
		})
	}
	for _, s := range append(engines, &server{ID: "i-plain1", Service: "plain", Zone: "zone-1", Slots: 40}) {
		if err := r.startServer(s, st); err != nil {
			return unable, err.Error()
		}
	}
	if err := r.startDaemons(3, st, false); err != nil {
		return unable, err.Error()
	}
	time.Sleep(max(0, 4*time.Second-r.now()))
	j := &job{id: "lot-0"}
	for n := range 80 {
		j.items = append(j.items, fmt.Sprintf("%s-%d", j.id, n))
	}
	if !r.submit(j, 0, 1, 8) {
		return unable, "the batch job isn't accepted"
	}
	time.Sleep(1500 * time.Millisecond)
	back := r.now() + outage
	if r.trouble {
		st.setBusy(true)
		time.AfterFunc(outage, func() { st.setBusy(false) })
		time.Sleep(200 * time.Millisecond)
		status, _ := r.call(r.daemons[0], http.MethodDelete, "/api/lots/"+j.id, "", nil, 0)
		r.record("the end of %s is asked at %s: %d", j.id, r.daemons[0].name, status)
		if status != http.StatusServiceUnavailable {
			return held, fmt.Sprintf("the end is answered with %d", status)
		}
	}
	time.Sleep(back - r.now())
	r.read(j, j.sentAt+dueMS*time.Millisecond)
	return judgeIdle(r, j, engines, back+contact)
}

// judgeIdle checks that no item of an open batch job that ran out of time was at no server for steadyTime from a time on.
func judgeIdle(r *rig, j *job, engines []*server, steady time.Duration) (verdict int, why string) {
	begun, idle := map[string]bool{}, r.now()-steady
	for _, e := range engines {
		e.mu.Lock()
		for id := range e.runs {
			begun[id] = true
		}
		if e.lastRun > steady {
			idle = min(idle, r.now()-e.lastRun)
		}
		e.mu.Unlock()
	}
	text := fmt.Sprintf("%d of %d items listed, %d begun, none at a server for the last %.1f s", len(j.results), len(j.items), len(begun), idle.Seconds())
	if len(j.results) < len(j.items) && idle >= steadyTime {
		return broken, text
	}
	return held, text
}
