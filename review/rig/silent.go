package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent"] = silentConnections }

// cancelTime is the time after the acknowledgement of a batch job's end after which no item may reach a server (cancel_ms).
const cancelTime = 3 * time.Second

// silentConnections: the open connections from one host to another go silent for good, while new ones work. The end of a
// batch job that the other one runs is then acknowledged by the first. No item of the job may reach a server later than
// cancelTime after that.
func silentConnections(r *rig) (verdict int, why string) {
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
	if err := r.startDaemons(3, st, true); err != nil {
		return unable, err.Error()
	}
	time.Sleep(max(0, 4*time.Second-r.now()))
	j := &job{id: "lot-0"}
	for n := range 120 {
		j.items = append(j.items, fmt.Sprintf("%s-%d", j.id, n))
	}
	owner, other := r.daemons[0], r.daemons[1]
	if !r.submit(j, 0, 1, 8) { // at the first daemon, which runs it
		return unable, "the batch job isn't accepted"
	}
	reading := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-reading:
				return
			case <-time.After(400 * time.Millisecond):
				status, _ := r.call(other, http.MethodGet, "/api/lots/"+j.id+"?after=0", "", nil, 0)
				r.record("batch job %s read at %s: %d", j.id, other.name, status)
			}
		}
	})
	time.Sleep(2500 * time.Millisecond)
	close(reading)
	wait.Wait()
	calm := time.Duration(0) // from when on the machines are in touch
	if r.trouble {
		calm = r.now() + contact
		r.record("%d and %d open connections to %s go silent", owner.mesh.silence(other.ip), owner.host.silence(""), owner.name)
	}
	time.Sleep(100 * time.Millisecond)
	status, _ := r.call(other, http.MethodDelete, "/api/lots/"+j.id, "", nil, 0)
	ended := r.now()
	r.record("the end of %s is asked at %s: %d", j.id, other.name, status)
	if status != http.StatusOK {
		return unable, fmt.Sprintf("the end is answered with %d", status)
	}
	time.Sleep(cancelTime + 8*time.Second)
	return judgeEnded(engines, ended, calm)
}
