package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["overtaken"] = overtakenEnd }

const (
	slowFactor = 60                      // x of the site file
	slowTime   = 4500 * time.Millisecond // for_s of the site file
	endAfter   = 1100 * time.Millisecond // from the kill to the end of the batch job
)

// overtakenEnd: the daemon that runs a batch job is killed while the store is slow, and the job's end is acknowledged while
// another daemon takes the job over. No item of it may reach a server later than cancelTime after that.
func overtakenEnd(r *rig) (verdict int, why string) {
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
	for n := range 120 {
		j.items = append(j.items, fmt.Sprintf("%s-%d", j.id, n))
	}
	if !r.submit(j, 0, 1, 8) { // at the first daemon, which runs it
		return unable, "the batch job isn't accepted"
	}
	time.Sleep(2500 * time.Millisecond)
	calm := time.Duration(0) // from when on the machines are in touch
	if r.trouble {
		st.slow(slowFactor, slowTime)
		calm = r.now() + slowTime + contact
		r.daemons[0].killAndRestart()
	}
	time.Sleep(endAfter)
	var status int
	for try := range 6 {
		d := r.daemons[1+try%2]
		status, _ = r.call(d, http.MethodDelete, "/api/lots/"+j.id, "", nil, 0)
		r.record("the end of %s is asked at %s: %d", j.id, d.name, status)
		if status == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	ended := r.now()
	if status != http.StatusOK {
		return unable, fmt.Sprintf("the end is answered with %d", status)
	}
	time.Sleep(cancelTime + 8*time.Second)
	return judgeEnded(engines, ended, calm)
}

// judgeEnded checks that no item of the only batch job has reached a server later than cancelTime after its end, and later
// than calm, from when on the machines are in touch.
func judgeEnded(engines []*server, ended, calm time.Duration) (verdict int, why string) {
	late, last, from := 0, time.Duration(0), max(ended+cancelTime, calm)
	for _, e := range engines {
		e.mu.Lock()
		for _, at := range e.begunAt {
			if at > from {
				late++
				last = max(last, at)
			}
		}
		e.mu.Unlock()
	}
	if late > 0 {
		return broken, fmt.Sprintf("%d items reach a server more than %.1f s after the end was acknowledged, the last %.1f s after it", late, (from - ended).Seconds(), (last - ended).Seconds())
	}
	return held, "no item reaches a server later than that"
}
