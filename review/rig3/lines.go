package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lines submits a job whose server makes an event that begins with an empty line, as models do between paragraphs. The text of the
// result must hold it.
func lines(b *bed) {
	b.configure(nil)
	engine := &server{bed: b, id: "i-model1", service: "models", zone: "zone-1", model: model, slots: 16, events: func(string) int { return 6 }, gap: 60 * time.Millisecond}
	if b.trouble {
		engine.dataOf = func(id string, n int) string {
			if n == 3 {
				return "\n" + eventData(id, n)
			}
			return eventData(id, n)
		}
	}
	b.servers = []*server{engine, {bed: b, id: "i-scorer1", service: "scorers", zone: "zone-1", slots: 16}}
	for _, s := range b.servers {
		s.start()
	}
	b.startDaemons(3, nil)
	time.Sleep(4 * time.Second)
	mark := time.Now()
	j := newJob("step1", 2, 2, 2, 1)
	if b.submit(j, b.daemons[0], 5*time.Second) != http.StatusAccepted {
		b.giveUp("%s wasn't accepted", j.id)
	}
	var results []listed
	for len(results) < len(j.items) && time.Since(mark) < 12*time.Second {
		time.Sleep(500 * time.Millisecond)
		if status, p := b.read(j, b.daemons[1], len(results)); status == http.StatusOK {
			results = append(results, p.Results...)
		}
	}
	if len(results) < len(j.items) {
		b.giveUp("%d of %d results were listed", len(results), len(j.items))
	}
	var broken []string
	for _, r := range results {
		var whole []string
		for n := 1; n <= 6; n++ {
			whole = append(whole, engine.data(r.ID, n))
		}
		want := strings.Join(whole, "\n")
		b.record("result   %s %s, text %q, made %q", r.ID, r.State, r.Text, want)
		if r.State == "completed" && r.Text != want {
			broken = append(broken, fmt.Sprintf("MIXED: the result of %s is completed and its text isn't the item's whole output: %d bytes of %d", r.ID, len(r.Text), len(want)))
		}
	}
	b.verdict(broken)
}
