package clock

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	now  = time.Minute
	unix = 1_000_000 * time.Second // the true time of day at now
	skew = 2 * time.Second
)

func heartbeat(host string, at time.Duration) event.BeatSeen {
	return event.BeatSeen{Host: host, Beat: wire.Beat{UnixMS: at.Milliseconds()}}
}

// TestAgreedTime covers the disruption clock_step: the time of day jumps on some of the hosts.
func TestAgreedTime(t *testing.T) {
	cases := map[string]struct {
		before []event.Event
		want   time.Duration // difference from the true time
	}{
		"Alone":                {nil, 0},
		"AloneAndAhead":        {[]event.Event{event.ClockRead{Unix: unix + skew}}, skew},
		"OneOfThreeIsAhead":    {[]event.Event{heartbeat("h2", unix), heartbeat("h3", unix+skew)}, 0},
		"OwnOfThreeIsAhead":    {[]event.Event{heartbeat("h2", unix), heartbeat("h3", unix), event.ClockRead{Unix: unix + skew}}, 0},
		"OwnOfThreeIsBehind":   {[]event.Event{heartbeat("h2", unix), heartbeat("h3", unix), event.ClockRead{Unix: unix - skew}}, 0},
		"OwnOfTwoJumps":        {[]event.Event{event.ClockRead{Unix: unix}, heartbeat("h2", unix), event.ClockRead{Unix: unix + skew}}, 0},
		"OtherOfTwoJumps":      {[]event.Event{event.ClockRead{Unix: unix}, heartbeat("h2", unix+skew)}, 0},
		"TwoOfFiveDisagree":    {[]event.Event{heartbeat("h2", unix), heartbeat("h3", unix+skew), heartbeat("h4", unix-skew), heartbeat("h5", unix)}, 0},
		"LostHostDoesNotCount": {[]event.Event{heartbeat("h2", unix+skew), heartbeat("h3", unix+skew), event.HostLost{Host: "h2"}, event.HostLost{Host: "h3"}}, 0},
		"HeartbeatWithoutTime": {[]event.Event{event.BeatSeen{Host: "h2"}, event.BeatSeen{Host: "h3"}}, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Component{}
			var got time.Duration
			events := test.before
			if _, isReading := lastEvent(events).(event.ClockRead); !isReading {
				events = append(events, event.ClockRead{Unix: unix})
			}
			for _, ev := range events {
				var out event.Batch
				p.Step(now, ev, &out)
				for _, raised := range out.Raised {
					if w, ok := raised.(event.WallClock); ok {
						got = w.Unix
					}
				}
			}
			if diff := cmp.Diff(test.want, got-unix); diff != "" {
				t.Errorf("difference of the agreed time from the true time (-want +got):\n%s", diff)
			}
		})
	}
}

func lastEvent(events []event.Event) event.Event {
	if len(events) == 0 {
		return nil
	}
	return events[len(events)-1]
}

func TestHeartbeatCarriesOwnReading(t *testing.T) {
	p := &Component{}
	var out event.Batch
	for _, ev := range []event.Event{heartbeat("h2", unix), heartbeat("h3", unix), event.ClockRead{Unix: unix + skew}} {
		p.Step(now, ev, &out)
	}
	var b wire.Beat
	p.FillBeat(now+time.Second, &b)
	if diff := cmp.Diff((unix + skew + time.Second).Milliseconds(), b.UnixMS); diff != "" {
		t.Errorf("time in the heartbeat (-want +got):\n%s", diff)
	}
}

// TestReadingIsSentPeriodically guards the traffic of a host with many connections: few heartbeats may carry the time.
func TestReadingIsSentPeriodically(t *testing.T) {
	p := &Component{}
	var out event.Batch
	p.Step(now, event.ClockRead{Unix: unix}, &out)
	sent := 0
	const heartbeats, interval = 100, 300 * time.Millisecond
	for i := range heartbeats {
		var b wire.Beat
		p.FillBeat(now+time.Duration(i)*interval, &b)
		if b.UnixMS != 0 {
			sent++
		}
	}
	if sent < 4*heartbeatsPerSend || sent > heartbeats/3 {
		t.Errorf("sent in %d of %d heartbeats", sent, heartbeats)
	}
}

func TestSkewIsLoggedOnce(t *testing.T) {
	p := &Component{}
	var logged []string
	for _, reading := range []time.Duration{unix, unix + skew, unix + skew, unix} {
		var out event.Batch
		for _, ev := range []event.Event{heartbeat("h2", unix), heartbeat("h3", unix), event.ClockRead{Unix: reading}} {
			p.Step(now, ev, &out)
		}
		for _, effect := range out.Effects {
			if l, ok := effect.(event.Log); ok {
				logged = append(logged, l.Event+" "+l.Fields[0].Value+" "+l.Fields[2].Value)
			}
		}
	}
	if diff := cmp.Diff([]string{"ClockSkew 2000 true", "ClockSkew 0 false"}, logged); diff != "" {
		t.Errorf("logged skew changes (-want +got):\n%s", diff)
	}
}
