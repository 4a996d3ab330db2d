package gauge

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// Durations of the measurement of idle daemons.
const (
	idleWarmUpDuration = 2 * time.Second
	idleDuration       = 10 * time.Second
)

// Consumption is the resource usage per second of daemons that receive no requests.
type Consumption struct {
	Daemons   int
	Calls     float64 // calls per second of the object API, by all daemons
	CPU       float64 // CPU cores, of the daemon with the highest usage
	Bytes     float64 // bytes per second read and written, of the daemon with the highest usage
	PeakBytes uint64  // peak resident memory, of the daemon with the highest usage
}

// String returns the figures as key=value pairs.
func (c Consumption) String() string {
	return fmt.Sprintf("Daemons=%d ObjectCalls=%.1f/s CPU=%.4f Bytes=%.0f/s PeakMB=%.1f",
		c.Daemons, c.Calls, c.CPU, c.Bytes, float64(c.PeakBytes)/(1<<20))
}

// MeasureIdle measures the resource usage of idle daemons in two availability zones.
func MeasureIdle(t testing.TB, daemons int) Consumption {
	t.Helper()
	c := &proc.Cluster{
		Daemons:  daemons,
		Engines:  []proc.Endpoint{{Name: "e1", Zone: "a"}, {Name: "e2", Zone: "b"}},
		Services: []proc.Endpoint{{Name: "s1", Zone: "a"}},
	}
	c.Start(t)
	time.Sleep(idleWarmUpDuration)
	before := c.Calls()
	costs := make([]proc.Cost, daemons)
	for i, h := range c.Hosts {
		costs[i] = h.Cost()
	}
	time.Sleep(idleDuration)
	seconds := idleDuration.Seconds()
	result := Consumption{Daemons: daemons, Calls: float64(objectCalls(c.Calls())-objectCalls(before)) / seconds}
	for i, h := range c.Hosts {
		cost := h.Cost()
		result.CPU = max(result.CPU, (cost.CPU-costs[i].CPU).Seconds()/seconds)
		result.Bytes = max(result.Bytes, float64(cost.Bytes-costs[i].Bytes)/seconds)
		result.PeakBytes = max(result.PeakBytes, cost.PeakBytes)
	}
	return result
}

func objectCalls(c wire.Calls) uint64 { return c.Reads + c.Writes + c.Watches }
