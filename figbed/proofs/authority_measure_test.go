package proofs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/config"
)

const (
	measureFor   = 10 * time.Second
	ticksPerSec  = 100 // of the processor times in /proc
	statUserTime = 11  // field of /proc/*/stat behind the program's name
)

// counterSum sums the values of a counter over those of its tags that hold tag.
func counterSum(h *proc.Host, name, tag string) float64 {
	var sum float64
	for line := range strings.Lines(h.Metrics()) {
		if !strings.HasPrefix(line, name) || !strings.Contains(line, tag) {
			continue
		}
		fields := strings.Fields(line)
		value, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
		sum += value
	}
	return sum
}

// processorTime returns what a process has used so far.
func processorTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[statUserTime])
	system, _ := strconv.Atoi(fields[statUserTime+1])
	return time.Duration(user+system) * time.Second / ticksPerSec
}

// consumption is what the daemons have used up to a time.
type consumption struct {
	sent, cpu              float64
	reads, writes, watches float64
}

func measure(b *testing.B, c *proc.Cluster) consumption {
	calls := c.Calls()
	u := consumption{reads: float64(calls.Reads), writes: float64(calls.Writes), watches: float64(calls.Watches)}
	for _, h := range c.Hosts {
		u.sent += counterSum(h, "figshift_PeerBytes", `Direction="sent"`)
		u.cpu += processorTime(b, h.PID()).Seconds()
	}
	return u
}

// BenchmarkControl measures idle daemons by their number, zones, organisations and endpoints.
func BenchmarkControl(b *testing.B) {
	cases := []struct {
		name                                  string
		daemons, zones, organisations, engine int
	}{
		{name: "daemons=2", daemons: 2, zones: 2, organisations: 2},
		{name: "daemons=4", daemons: 4, zones: 2, organisations: 2},
		{name: "daemons=8", daemons: 8, zones: 2, organisations: 2},
		{name: "daemons=16", daemons: 16, zones: 2, organisations: 2},
		{name: "daemons=8,zones=4", daemons: 8, zones: 4, organisations: 2},
		{name: "daemons=8,organisations=32", daemons: 8, zones: 2, organisations: 32},
		{name: "daemons=8,engines=8", daemons: 8, zones: 2, organisations: 2, engine: 8},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			c := &proc.Cluster{Daemons: test.daemons, Site: func(s *config.Site) {
				for i := range test.organisations - 2 {
					name := fmt.Sprintf("Organisation%d", i)
					s.Organisations[name] = config.Organisation{Name: name, Weight: 1}
				}
			}}
			for i := range test.zones {
				c.Zones = append(c.Zones, string(rune('a'+i)))
			}
			for i := range test.engine {
				c.Engines = append(c.Engines, proc.Endpoint{Name: fmt.Sprintf("e%d", i), Zone: c.Zones[i%test.zones]})
			}
			c.Start(b)
			proc.WaitUntil(b, time.Minute, "all hosts hear all", func() bool { return allAlive(c.Hosts) })
			time.Sleep(3 * time.Second) // leases are taken
			for b.Loop() {
				before := measure(b, c)
				time.Sleep(measureFor)
				after := measure(b, c)
				seconds := measureFor.Seconds()
				hosts := float64(test.daemons)
				b.ReportMetric((after.reads-before.reads)/seconds, "reads/s")
				b.ReportMetric((after.writes-before.writes)/seconds, "writes/s")
				b.ReportMetric((after.watches-before.watches)/seconds, "watches/s")
				b.ReportMetric((after.sent-before.sent)/seconds/hosts, "sentB/s/daemon")
				b.ReportMetric((after.cpu-before.cpu)/seconds/hosts*100, "%core/daemon")
			}
		})
	}
}
