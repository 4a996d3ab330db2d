package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// unstored submits jobs while the store is down, to a machine that then loses power. Their clients get no answer and submit them
// again elsewhere once the store is back. What is answered with 202 must be kept.
func unstored(b *bed) {
	b.configure(nil)
	for i := range 2 {
		s := &server{bed: b, id: fmt.Sprintf("i-model%d", i+1), service: "models", zone: fmt.Sprintf("zone-%d", i+1), model: model, slots: 8, gap: 100 * time.Millisecond, events: func(string) int { return 28 }}
		b.servers = append(b.servers, s)
	}
	b.servers = append(b.servers, &server{bed: b, id: "i-scorer1", service: "scorers", zone: "zone-1", slots: 16})
	for _, s := range b.servers {
		s.start()
	}
	b.startDaemons(3, nil)
	time.Sleep(4 * time.Second) // traffic starts some seconds after the machines
	first, others := b.daemons[0], b.daemons[1:]
	mark := time.Now()
	if b.trouble {
		b.record("TROUBLE  the store is down: it answers 503")
		b.store.setBusy(true)
	}
	at(mark, 0.5)
	var jobs []*job
	var clients sync.WaitGroup
	for i := range 12 {
		j := newJob(fmt.Sprintf("job%d", i+1), 5, 2, 5, 1)
		jobs = append(jobs, j)
		clients.Go(func() {
			// A client waits for its answer until it breaks off, and then submits the job again at the other daemons in turn.
			d := first
			for try := range 6 {
				status := b.submit(j, d, 12*time.Second)
				if status == http.StatusAccepted {
					return
				}
				time.Sleep(100 * time.Millisecond)
				d = others[(i+try)%len(others)]
			}
		})
	}
	if b.trouble {
		at(mark, 2.2)
		b.record("TROUBLE  %s loses power", first.name)
		first.signal(syscall.SIGSTOP) // nothing answers there, and nothing is closed
		at(mark, 4)
		b.record("TROUBLE  the store is back")
		b.store.setBusy(false)
		at(mark, 5.7)
		b.record("TROUBLE  %s has power again", first.name)
		first.kill()
		first.restart()
	}
	clients.Wait()
	for _, j := range jobs {
		if j.accepted().IsZero() {
			b.giveUp("%s was never accepted", j.id)
		}
	}
	// From here on the other machines are in touch, and the store is stable.
	calm := mark.Add(4*time.Second + contact + 500*time.Millisecond)
	time.Sleep(time.Until(calm))
	var broken []string
	seen := map[string]bool{}
	note := func(key, line string) {
		if !seen[key] {
			seen[key] = true
			broken = append(broken, line)
		}
	}
	bodies := func() {
		for _, j := range jobs {
			if time.Since(j.accepted()) < settle+200*time.Millisecond {
				continue
			}
			item := j.items[len(j.items)-1]
			for _, d := range others {
				if status := b.readBody(j, item, d); (status == http.StatusNotFound || status == http.StatusGone) && !b.finishedAnywhere(item) {
					note(j.id+d.name+"body", fmt.Sprintf("LOST: %s answers %d for the body of item %s, %.1f s after the 202 of %s, and no server has finished it", d.name, status, item, time.Since(j.accepted()).Seconds(), j.id))
				}
			}
		}
	}
	for end := mark.Add(12 * time.Second); time.Now().Before(end); time.Sleep(700 * time.Millisecond) {
		bodies()
	}
	// The clients read until all results are there.
	read := map[*job]int{}
	for end := mark.Add(45 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		open := false
		for i, j := range jobs {
			if read[j] < len(j.items) {
				open = true
				if status, p := b.read(j, others[i%len(others)], read[j]); status == http.StatusOK {
					read[j] = p.Next
				}
			}
		}
		if !open {
			break
		}
	}
	// At the end of the day each job is read from the start, at any machine, with a try again after each failure.
	at(mark, 70)
	for _, j := range jobs {
		for _, d := range b.daemons {
			status, p := b.read(j, d, 0)
			for try := 0; status != http.StatusOK && try < 4; try++ {
				time.Sleep(300 * time.Millisecond)
				status, p = b.read(j, d, 0)
			}
			if status != http.StatusOK || p.Next < read[j] {
				note(j.id+d.name+"end", fmt.Sprintf("LOST: at the end of the day %s answers %d for %s, which was accepted and of which %d results were read", d.name, status, j.id, read[j]))
			}
		}
	}
	b.record("store    submissions kept in the store: %v", b.store.names("Lots"))
	b.verdict(broken)
}
