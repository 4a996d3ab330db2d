// Package clock agrees on the time of day with the other hosts, since that of a single host may jump.
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

// toleratedSkew is the difference between this host's clock and the others' up to which its own reading holds: it is
// not delayed, as the others' are on their way by up to some 100 ms at a busy host.
const toleratedSkew = 500 * time.Millisecond

// tellEvery is the interval at which the own reading is told, in tellBeats beats in a row: some hosts get only one of
// several beats. Clocks drift by less than a millisecond meanwhile, and a jump is seen within that time.
const (
	tellEvery = 3 * time.Second
	tellBeats = 4
)

// Part is the share of the reducer that agrees on the time of day: this host's own reading, unless it is far from the
// median of what it and those that it hears read. So a minority of clocks that have jumped changes nothing. Its fields
// are set by Step.
type Part struct {
	own    time.Duration            // epoch of this host's own clock
	read   bool                     // own is known
	others map[string]time.Duration // epochs by host
	agreed time.Duration
	known  bool // agreed is known
	skewed bool // the own clock is off

	nextTell time.Duration
	told     int // beats in a row
}

// Step applies one event. It must not be called concurrently. An epoch is the time of day at which the reducer's clock
// was 0.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ClockRead:
		p.own, p.read = e.Unix-now, true
		p.agree(now, out)
	case event.BeatSeen:
		if e.Beat.UnixMS != 0 {
			p.hear(e.Host, time.Duration(e.Beat.UnixMS)*time.Millisecond-now)
		}
	case event.HostLost:
		delete(p.others, e.Host)
	}
}

// Contribute tells the own reading, not the agreed one, so that each host's clock counts once.
func (p *Part) Contribute(now time.Duration, beat *wire.Beat) {
	if !p.read || now < p.nextTell {
		return
	}
	beat.UnixMS = (now + p.own).Milliseconds()
	p.told++
	if p.told == tellBeats {
		p.told, p.nextTell = 0, now+tellEvery
	}
}

func (p *Part) hear(host string, epoch time.Duration) {
	if p.others == nil {
		p.others = map[string]time.Duration{}
	}
	p.others[host] = epoch
}

func (p *Part) agree(now time.Duration, out *event.Batch) {
	if epoch := p.choose(); !p.known || (epoch-p.agreed).Abs() >= time.Millisecond {
		p.agreed, p.known = epoch, true
		out.Emit(event.KnowClock{Epoch: epoch})
	}
	p.noteSkew(out)
	out.Raise(event.WallClock{Unix: now + p.agreed})
}

// choose returns the own epoch, or the median when that is far from it.
func (p *Part) choose() time.Duration {
	median := p.median()
	if (p.own - median).Abs() <= toleratedSkew {
		return p.own
	}
	return median
}

// median returns the median of the epochs. Of two it takes the one that is nearer to what was agreed before: neither is
// in a majority.
func (p *Part) median() time.Duration {
	all := append(slices.Collect(maps.Values(p.others)), p.own)
	slices.Sort(all)
	if len(all) == 2 && p.known {
		return slices.MinFunc(all, func(a, b time.Duration) int {
			return cmp.Compare((a - p.agreed).Abs(), (b - p.agreed).Abs())
		})
	}
	return all[(len(all)-1)/2]
}

// noteSkew logs when the own clock begins or ends to differ from the agreed time.
func (p *Part) noteSkew(out *event.Batch) {
	skew := p.own - p.agreed
	skewed := skew.Abs() > toleratedSkew
	if skewed == p.skewed {
		return
	}
	p.skewed = skewed
	out.Emit(event.Log{Level: "warn", Event: "ClockSkew", Fields: []event.Field{
		{Key: "SkewMS", Value: strconv.FormatInt(skew.Milliseconds(), 10)},
		{Key: "Heard", Value: strconv.Itoa(len(p.others))},
		{Key: "Off", Value: strconv.FormatBool(skewed)},
	}})
}
