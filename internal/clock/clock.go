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

// toleratedSkew is the difference between this host's time of day and the agreed one from which on it is logged; hosts
// with synchronised clocks differ by milliseconds.
const toleratedSkew = 250 * time.Millisecond

// Part is the share of the reducer that agrees on the time of day: the median of what this host and those that it hears
// read, so that a minority of clocks that have jumped changes nothing. Its fields are set by Step.
type Part struct {
	own    time.Duration            // epoch of this host's own clock
	read   bool                     // own is known
	others map[string]time.Duration // epochs by host
	agreed time.Duration
	known  bool // agreed is known
	skewed bool // the own clock is off
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
	if p.read {
		beat.UnixMS = (now + p.own).Milliseconds()
	}
}

func (p *Part) hear(host string, epoch time.Duration) {
	if p.others == nil {
		p.others = map[string]time.Duration{}
	}
	p.others[host] = epoch
}

func (p *Part) agree(now time.Duration, out *event.Batch) {
	epoch := p.choose()
	if !p.known || epoch != p.agreed {
		p.agreed, p.known = epoch, true
		out.Emit(event.KnowClock{Epoch: epoch})
	}
	p.noteSkew(out)
	out.Raise(event.WallClock{Unix: now + epoch})
}

// choose returns the median of the epochs. Of two it takes the one that is nearer to what was agreed before: neither
// is in a majority.
func (p *Part) choose() time.Duration {
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
