package proofs

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

// oddSpecs are entries of another writer by name.
func oddSpecs() map[string]string {
	plain := func(fields string) string {
		return `{"service":"plain","zone":"zone-1","version":"v1","state":"ready","born":5,` + fields + `}`
	}
	engine := func(fields string) string {
		return `{"service":"engines","zone":"zone-1","version":"v1","state":"ready","born":5,"models":[{"name":"` + estate.Model + `","version":1}],` + fields + `}`
	}
	return map[string]string{
		"odd-array":    strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"odd-control":  plain(`"address":"127.0.0.1:80\r\n80","slots":8`),
		"odd-field":    plain(`"address":"127.0.0.1:9","slots":8,"x":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000)),
		"odd-number":   plain(`"address":"127.0.0.1:9","slots":1e999`),
		"odd-born":     plain(`"address":"127.0.0.1:9","slots":8,"born":` + strings.Repeat("9", 20_000)),
		"odd-port":     plain(`"address":"127.0.0.1:70000","slots":8`),
		"odd-port-0":   plain(`"address":"127.0.0.1:0","slots":8`),
		"odd-no-port":  plain(`"address":"127.0.0.1","slots":8`),
		"odd-engine":   engine(`"address":"127.0.0.1:99999999999999999999","slots":9223372036854775807`),
		"odd-negative": engine(`"address":"127.0.0.1:70000","slots":-8`),
		"odd-null":     "null",
		"odd-string":   `"\u0000]}"`,
		"odd-type":     `{"service":7,"address":["127.0.0.1:9"],"state":{}}`,
		"odd-nothing":  `{}`,
	}
}

// Guards against odd entries of another writer by which hosts ended or no longer followed the list of servers.
func TestOddEntriesAmongTheServers(t *testing.T) {
	t.Parallel()
	f := &linkedFleet{servers: []*estate.Server{
		newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2"), newPlainServer("p3", "zone-3"),
		newEngine("e1", "zone-1", 10, 10*time.Millisecond), newEngine("e2", "zone-2", 10, 10*time.Millisecond),
	}}
	f.platformFleet = startPlatformFleet(t, 3, f.servers...)
	served := make(chan map[int]float64, 1)
	go func() { served <- f.callAll(4 * time.Second) }()
	for name, spec := range oddSpecs() {
		f.Store.PutRaw("servers", name, spec)
	}
	f.Store.PutRaw("servers", "p3", "[]") // was sound
	replaced := time.Now()
	added := newPlainServer("p4", "zone-4")
	stop, err := added.Start(&f.Store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	f.servers = append(f.servers, added)
	proc.WaitUntil(t, 3*time.Second, "calls reach the server that came after the odd entries", func() bool { return len(added.Runs()) > 0 })
	f.servers[0].SetDraining(true)
	drained := time.Now()
	f.submitAt(2, "job")
	for host, share := range <-served {
		if share < 1 {
			t.Errorf("host-%d served %.3f of the calls", host, share)
		}
	}
	f.waitComplete(3, "job", 3*estate.ItemsPerGroup, 10, 5*time.Second)
	f.checkLeft("p1", f.servers[0], drained)
	f.checkLeft("p3", f.servers[2], replaced)
	f.hosts = append(f.hosts, f.startFigd(4))
	f.waitReady(4)
	if status, body := f.call(4, http.MethodPost, estate.Lookup+"a", "at-a-new-host", estate.Key, []byte("b")); status != http.StatusOK {
		t.Errorf("call at a host that started among the odd entries: status %d (%s)", status, body)
	}
	for i, h := range f.hosts {
		if h.Exited() {
			t.Errorf("host-%d ended", i+1)
		}
		for name := range oddSpecs() {
			if n := strings.Count(h.Output(), "Name=Endpoints/"+name+" "); n != 1 {
				t.Errorf("host-%d has %d lines on %s, want 1", i+1, n, name)
			}
		}
	}
	f.checkRuns()
}

// checkLeft checks that a server got no call later than a second after a time.
func (f *linkedFleet) checkLeft(name string, s *estate.Server, since time.Time) {
	f.t.Helper()
	late := 0
	for _, r := range s.Runs() {
		if r.At.Sub(since) > time.Second {
			late++
		}
	}
	if late > 0 {
		f.t.Errorf("%s got %d calls later than a second after it left", name, late)
	}
}
