package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreignAnswers }

const (
	garbleFrom  = 4 * time.Second
	garbleTime  = 5 * time.Second // for_s of the site file
	garbleShare = 0.03            // x of the site file: of the answers of a faulty server
)

// foreignAnswers: one of two engines sends some answers a second time, late. Each item that is given up must have got a
// status for it.
func foreignAnswers(r *rig) (verdict int, why string) {
	st, err := r.startStore()
	if err != nil {
		return unable, err.Error()
	}
	st.configure(1)
	cannotBeDone := func(id string) int {
		if strings.HasSuffix(id, "-x") {
			return http.StatusUnprocessableEntity
		}
		return http.StatusOK
	}
	var engines []*server
	for n := range 2 {
		engines = append(engines, &server{
			ID: fmt.Sprintf("i-engine%d", n+1), Service: "engines", Zone: fmt.Sprintf("zone-%d", n+1), Model: modelName, Slots: 8, Events: 4,
			EventGap: 20 * time.Millisecond, LoadTime: 900 * time.Millisecond, Answer: cannotBeDone,
		})
	}
	if r.trouble {
		engines[0].Twice = r.garble()
	}
	scorer := &server{ID: "i-plain1", Service: "plain", Zone: "zone-1", Slots: 40}
	for _, s := range append(engines, scorer) {
		if err := r.startServer(s, st); err != nil {
			return unable, err.Error()
		}
	}
	if err := r.startDaemons(3, st, false); err != nil {
		return unable, err.Error()
	}
	time.Sleep(max(0, garbleFrom-r.now()))
	var jobs []*job
	var wait sync.WaitGroup
	for step := 0; r.now() < garbleFrom+garbleTime+time.Second; step++ {
		j := &job{id: fmt.Sprintf("lot-%d", step)}
		for n := range 96 {
			id := fmt.Sprintf("%s-%d", j.id, n)
			if n%24 == 11 {
				id += "-x"
			}
			j.items = append(j.items, id)
		}
		jobs = append(jobs, j)
		wait.Go(func() {
			if r.submit(j, step, 1, 4) {
				r.read(j, j.sentAt+30*time.Second)
			}
		})
		time.Sleep(800 * time.Millisecond)
	}
	wait.Wait()
	return judgeDown(jobs, engines)
}

// garble returns which answers come twice: none but those of items that can't be done, and no more than garbleShare of the
// answers since the garbling began.
func (r *rig) garble() func(status int) bool {
	var mu sync.Mutex
	answers, twice := 0, 0
	return func(status int) bool {
		mu.Lock()
		defer mu.Unlock()
		if now := r.now(); now < garbleFrom || now > garbleFrom+garbleTime {
			return false
		}
		answers++
		if status != http.StatusUnprocessableEntity || float64(twice+1) > garbleShare*float64(answers) {
			return false
		}
		twice++
		return true
	}
}

// judgeDown checks each result that is down: MIXED is broken when it came before a 422, before as many answers of 500 as
// the route has attempts, and before max_queue_s.
func judgeDown(jobs []*job, engines []*server) (verdict int, why string) {
	down, wrong, read := 0, []string{}, 0
	for _, j := range jobs {
		if !j.accepted || len(j.results) < len(j.items) {
			return unable, fmt.Sprintf("batch job %s: accepted %v, %d of %d results read", j.id, j.accepted, len(j.results), len(j.items))
		}
		for _, res := range j.results {
			read++
			if res.State != "down" {
				continue
			}
			down++
			never, failed := 0, 0
			for _, e := range engines {
				e.mu.Lock()
				for _, status := range e.answers[res.ID] {
					switch status {
					case http.StatusUnprocessableEntity:
						never++
					case http.StatusInternalServerError:
						failed++
					}
				}
				e.mu.Unlock()
			}
			if never == 0 && failed < attempts {
				wrong = append(wrong, res.ID)
			}
		}
	}
	text := fmt.Sprintf("%d results read, %d down", read, down)
	if len(wrong) > 0 {
		return broken, fmt.Sprintf("%s, of which %d that no server had answered with 422 or 500: %s", text, len(wrong), strings.Join(wrong, " "))
	}
	return held, text
}
