package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
)

// Two hosts whose processes were killed one after the other took a duty from each other within a lease, and endpoints that check
// no fencing numbers got orders of A, B and A again.
func TestHoldersTakeNoTurnsWithinALease(t *testing.T) {
	const (
		started = 20 * time.Second // of this process, on h1
		lost    = 40 * time.Second // when this process last held the duty
		seen    = 41 * time.Second // when the record was first seen
	)
	timing := config.Lease{TTL: 3 * time.Second, Margin: 500 * time.Millisecond}
	free := timing.TTL + timing.Margin
	cases := map[string]struct {
		record Record
		lostAt time.Duration
		want   time.Duration
	}{
		"another host's turn came after a lost one": {Record{Turns: []string{"h1", "h2"}}, lost, lost + free},
		"after that of an earlier process":          {Record{Turns: []string{"h1", "h2"}}, 0, seen},
		"this host had the last turn":               {Record{Turns: []string{"h2", "h1"}}, lost, seen},
		"this host had none":                        {Record{Turns: []string{"h2", "h3"}}, 0, seen},
		"written by a build without turns":          {Record{}, lost, seen},
		"held by another process of this host":      {Record{Holder: "h1", Incarnation: "0", Turns: []string{"h2", "h1"}}, 0, seen},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Component{Self: event.Host{Name: "h1", Incarnation: "9"}}
			p.start(started)
			if c.lostAt > 0 {
				p.lostAt["d"] = c.lostAt
			}
			c.record.Timing = timing
			d := &duty{name: "d", record: c.record, firstSeenAt: seen}
			if diff := cmp.Diff(c.want, p.takeoverTime(d, 0)); diff != "" {
				t.Errorf("takeover (-want +got):\n%s", diff)
			}
		})
	}
	p := &Component{Self: event.Host{Name: "h1", Incarnation: "9"}}
	p.start(started)
	d := &duty{name: "d", record: Record{Timing: timing, Turns: []string{"h1", "h2"}}, firstSeenAt: started + time.Second}
	if diff := cmp.Diff(started+free, p.takeoverTime(d, 0)); diff != "" {
		t.Errorf("takeover by a process that has just started (-want +got):\n%s", diff)
	}
}

// A record names its last holders, also after one that an earlier build wrote.
func TestTurnsOfARecord(t *testing.T) {
	cases := map[string]struct {
		record Record
		want   []string
	}{
		"first":                 {Record{}, []string{"h1"}},
		"of an earlier build":   {Record{Holder: "h2"}, []string{"h2", "h1"}},
		"again":                 {Record{Holder: "h1", Turns: []string{"h2", "h1"}}, []string{"h2", "h1"}},
		"after a release":       {Record{Turns: []string{"h2"}}, []string{"h2", "h1"}},
		"more than are named":   {Record{Turns: []string{"h3", "h2"}}, []string{"h2", "h1"}},
		"returns after another": {Record{Turns: []string{"h1", "h2"}}, []string{"h2", "h1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := append([]string(nil), c.record.Turns...)
			record := c.record
			record.addTurn("h1")
			if diff := cmp.Diff(c.want, record.Turns); diff != "" {
				t.Errorf("turns (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(before, append([]string(nil), c.record.Turns...)); diff != "" {
				t.Errorf("the earlier record has changed (-want +got):\n%s", diff)
			}
		})
	}
}

// A host of the production build must read a record with turns, and this build one without.
func TestRecordsOfTwoBuilds(t *testing.T) {
	const production = `{"Holder":"h2","Incarnation":"7","Epoch":3,"Renewals":9,"Timing":{"TTL":3000000000,"Renew":1000000000,"Margin":500000000,"OrderFlight":300000000},"Ledger":"AQI="}`
	record, ok := decodeRecord([]byte(production))
	if !ok || record.heldSince("h1") || record.Epoch != 3 || record.Timing.TTL != 3*time.Second {
		t.Fatalf("the record of the production build is read as %+v, %v", record, ok)
	}
	record.addTurn("h1")
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	var read struct { // the record as the production build declares it
		Holder, Incarnation string
		Epoch, Renewals     uint64
		Timing              config.Lease
		Ledger              []byte
	}
	if err := json.Unmarshal(value, &read); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(read)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(production, string(again)); diff != "" {
		t.Errorf("what the production build writes back (-want +got):\n%s", diff)
	}
}
