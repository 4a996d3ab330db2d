package limit

import (
	"math"
	"time"
)

// bucket is a token bucket of one host for one endpoint.
type bucket struct {
	left     float64 // requests that may be sent, below 0 after more than one were taken at once
	rate     float64 // per second
	capacity float64 // most that is saved
	at       time.Duration
}

// refill adds what has become due since the last refill and returns what is left.
func (b *bucket) refill(now time.Duration) float64 {
	if now > b.at {
		b.left += b.rate * (now - b.at).Seconds()
		b.at = now
	}
	b.left = min(b.left, b.capacity)
	return b.left
}

// set changes the rate and the capacity from now on.
func (b *bucket) set(now time.Duration, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.refill(now)
}

// Recent counts events, of which each counts half after recentHalfLife. It must not be used concurrently.
type Recent struct {
	count float64
	at    time.Duration
}

const recentHalfLife = 3 * time.Second

// Add counts n events that happen now.
func (r *Recent) Add(now time.Duration, n int) {
	r.count, r.at = r.decayed(now)+float64(n), now
}

// PerSecond returns the mean rate of the recent events.
func (r *Recent) PerSecond(now time.Duration) float64 {
	return r.decayed(now) * math.Ln2 / recentHalfLife.Seconds()
}

func (r *Recent) decayed(now time.Duration) float64 {
	return r.count * math.Exp2(-float64(now-r.at)/float64(recentHalfLife))
}

// wants is what the hosts want to send to an endpoint. A host's share of the limit grows with what it wants, from the time
// at which all others know of it: it counts the smaller of its own last two announcements and the greater of the last two
// of each other host. The sum of the shares that the hosts give themselves then does not exceed the limit as long as
// heartbeats arrive before the next one is sent.
type wants struct {
	announced     [2]float64            // by this host, the newest first
	announcements int                   // number of announcements of this host
	heard         map[string][2]float64 // from other hosts, the newest first
}

// wantPrecision is the precision of announced wants, per request a second.
const wantPrecision = 100

// announce takes what this host announces with its next heartbeat, rounded.
func (w *wants) announce(want float64) float64 {
	want = math.Round(want*wantPrecision) / wantPrecision
	w.announced = [2]float64{want, w.announced[0]}
	w.announcements++
	return want
}

// hear takes what another host has announced.
func (w *wants) hear(host string, want float64) {
	if w.heard == nil {
		w.heard = map[string][2]float64{}
	}
	w.heard[host] = [2]float64{want, w.heard[host][0]}
}

// own returns what this host counts for.
func (w *wants) own() float64 { return min(w.announced[0], w.announced[1]) }

// of returns what another host counts for.
func (w *wants) of(host string) float64 {
	heard := w.heard[host]
	return max(heard[0], heard[1])
}
