// Package clock agrees on the time of day with the other hosts, since the clock of a single host may jump.
package clock

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// maxSkew is the difference from the median up to which this host's own reading is used. The own reading is preferred
// because it is not delayed, while those of other hosts can be in flight for up to some 100 ms at a busy host.
const maxSkew = 500 * time.Millisecond

// maxReadingAge is the age above which a reading is not taken. Heartbeats wait while a host is suspended; between hosts that exchange
// few of them, what they echo is up to 2.4 s old.
const maxReadingAge = 3 * time.Second

// lonelyTime is the time after the last reading of another host for which this host keeps to the agreed time although it has nothing
// but its own clock. Later it goes by that, which may have been set right.
const lonelyTime = time.Minute

// sendInterval is the interval at which this host sends its own reading, each time in heartbeatsPerSend consecutive
// heartbeats, since some hosts receive only one of several heartbeats. Clocks drift by less than a millisecond in this
// interval, and a jump is detected after one interval at most.
const (
	sendInterval      = 3 * time.Second
	heartbeatsPerSend = 4
)

// Component is the component of the reducer that agrees on the time of day. It uses this host's own reading unless that
// is far from the median of the readings of this host and its peers, so a minority of clocks that have jumped has no
// effect. A host that hears no peer any more keeps to the time that was agreed before. Its fields are set by Step.
type Component struct {
	ownEpoch    time.Duration            // of this host's own clock
	ownKnown    bool                     // ownEpoch is valid
	peerEpochs  map[string]time.Duration // by host
	heardAt     time.Duration            // when a peer's reading was last taken, 0 before
	agreedEpoch time.Duration
	agreedKnown bool // agreedEpoch is valid
	skewed      bool // the own clock differs from the agreed time by more than maxSkew

	nextSendAt     time.Duration
	sentHeartbeats int // consecutive heartbeats that carried the reading
}

// Step applies one event. It must not be called concurrently. An epoch is the time of day at which the reducer's
// monotonic clock was 0.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ClockRead:
		p.ownEpoch, p.ownKnown = e.Unix-now, true
		p.updateAgreed(now, out)
	case event.BeatSeen:
		if e.Beat.UnixMS != 0 && (!e.Anchored || now-e.Anchor <= maxReadingAge) {
			p.recordPeer(e.Host, time.Duration(e.Beat.UnixMS)*time.Millisecond-now)
			p.heardAt = now
		}
	case event.HostLost:
		delete(p.peerEpochs, e.Host)
	}
}

// FillBeat adds the own reading to a heartbeat, not the agreed time, so that each host's clock counts once.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) {
	if !p.ownKnown || now < p.nextSendAt {
		return
	}
	heartbeat.UnixMS = (now + p.ownEpoch).Milliseconds()
	p.sentHeartbeats++
	if p.sentHeartbeats == heartbeatsPerSend {
		p.sentHeartbeats, p.nextSendAt = 0, now+sendInterval
	}
}

func (p *Component) recordPeer(host string, epoch time.Duration) {
	if p.peerEpochs == nil {
		p.peerEpochs = map[string]time.Duration{}
	}
	p.peerEpochs[host] = epoch
}

func (p *Component) updateAgreed(now time.Duration, out *event.Batch) {
	if epoch := p.chooseEpoch(now); !p.agreedKnown || (epoch-p.agreedEpoch).Abs() >= time.Millisecond {
		p.agreedEpoch, p.agreedKnown = epoch, true
		out.Emit(event.KnowClock{Epoch: epoch})
	}
	p.reportSkewChange(out)
	out.Raise(event.WallClock{Unix: now + p.agreedEpoch})
}

// chooseEpoch returns the own epoch, or the median when the own one differs by more than maxSkew. While no peer is heard, the epoch
// that was agreed before takes the place of the median.
func (p *Component) chooseEpoch(now time.Duration) time.Duration {
	median := p.median()
	if len(p.peerEpochs) == 0 && p.agreedKnown && p.heardAt != 0 && now-p.heardAt <= lonelyTime {
		median = p.agreedEpoch
	}
	if (p.ownEpoch - median).Abs() <= maxSkew {
		return p.ownEpoch
	}
	return median
}

// median returns the median epoch. Of two epochs neither is in a majority, so it returns the one nearer to the epoch
// agreed before.
func (p *Component) median() time.Duration {
	epochs := append(slices.Collect(maps.Values(p.peerEpochs)), p.ownEpoch)
	slices.Sort(epochs)
	if len(epochs) == 2 && p.agreedKnown {
		return slices.MinFunc(epochs, func(a, b time.Duration) int {
			return cmp.Compare((a - p.agreedEpoch).Abs(), (b - p.agreedEpoch).Abs())
		})
	}
	return epochs[(len(epochs)-1)/2]
}

// reportSkewChange logs when the own clock begins or ceases to differ from the agreed time.
func (p *Component) reportSkewChange(out *event.Batch) {
	skew := p.ownEpoch - p.agreedEpoch
	skewed := skew.Abs() > maxSkew
	if skewed == p.skewed {
		return
	}
	p.skewed = skewed
	out.Emit(event.Log{Level: "warn", Event: "ClockSkew", Fields: []event.Field{
		{Key: "SkewMS", Value: strconv.FormatInt(skew.Milliseconds(), 10)},
		{Key: "Heard", Value: strconv.Itoa(len(p.peerEpochs))},
		{Key: "Off", Value: strconv.FormatBool(skewed)},
	}})
}
