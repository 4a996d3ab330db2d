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
	measureInterval     = 10 * time.Second
	clockTicksPerSecond = 100 // unit of the processor times in /proc
	statUserTimeField   = 11  // index in the fields of /proc/*/stat after the program's name
)

// sumCounter returns the sum of a counter's values over the tags that contain tag.
func sumCounter(h *proc.Host, name, tag string) float64 {
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

// processorTime returns the user and system time of a process so far.
func processorTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[statUserTimeField])
	system, _ := strconv.Atoi(fields[statUserTimeField+1])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// resourceUse is the total use of all daemons up to a time.
type resourceUse struct {
	sentBytes, cpuSeconds  float64
	reads, writes, watches float64
}

func measureResourceUse(b *testing.B, c *proc.Cluster) resourceUse {
	calls := c.Calls()
	use := resourceUse{reads: float64(calls.Reads), writes: float64(calls.Writes), watches: float64(calls.Watches)}
	for _, h := range c.Hosts {
		use.sentBytes += sumCounter(h, "figshift_PeerBytes", `Direction="sent"`)
		use.cpuSeconds += processorTime(b, h.PID()).Seconds()
	}
	return use
}

// Measures object calls, peer traffic and processor time of idle daemons, by the number of daemons, zones,
// organisations and engines.
func BenchmarkControl(b *testing.B) {
	cases := []struct {
		name                                   string
		daemons, zones, organisations, engines int
	}{
		{name: "daemons=2", daemons: 2, zones: 2, organisations: 2},
		{name: "daemons=4", daemons: 4, zones: 2, organisations: 2},
		{name: "daemons=8", daemons: 8, zones: 2, organisations: 2},
		{name: "daemons=16", daemons: 16, zones: 2, organisations: 2},
		{name: "daemons=8,zones=4", daemons: 8, zones: 4, organisations: 2},
		{name: "daemons=8,organisations=32", daemons: 8, zones: 2, organisations: 32},
		{name: "daemons=8,engines=8", daemons: 8, zones: 2, organisations: 2, engines: 8},
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
			for i := range test.engines {
				c.Engines = append(c.Engines, proc.Endpoint{Name: fmt.Sprintf("e%d", i), Zone: c.Zones[i%test.zones]})
			}
			c.Start(b)
			proc.WaitUntil(b, time.Minute, "all hosts see all hosts alive", func() bool { return allAlive(c.Hosts) })
			time.Sleep(3 * time.Second) // the hosts take the leases of the duties
			for b.Loop() {
				before := measureResourceUse(b, c)
				time.Sleep(measureInterval)
				after := measureResourceUse(b, c)
				seconds := measureInterval.Seconds()
				hosts := float64(test.daemons)
				b.ReportMetric((after.reads-before.reads)/seconds, "reads/s")
				b.ReportMetric((after.writes-before.writes)/seconds, "writes/s")
				b.ReportMetric((after.watches-before.watches)/seconds, "watches/s")
				b.ReportMetric((after.sentBytes-before.sentBytes)/seconds/hosts, "sentB/s/daemon")
				b.ReportMetric((after.cpuSeconds-before.cpuSeconds)/seconds/hosts*100, "%core/daemon")
			}
		})
	}
}
