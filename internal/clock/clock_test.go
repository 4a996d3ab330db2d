package clock

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	now   = time.Minute
	unix  = 1_000_000 * time.Second // the true time of day at now
	ahead = 2 * time.Second
)

func beat(host string, at time.Duration) event.BeatSeen {
	return event.BeatSeen{Host: host, Beat: wire.Beat{UnixMS: at.Milliseconds()}}
}

// TestAgreedTime is for the disruption clock_step: the time of day jumps on a part of the hosts.
func TestAgreedTime(t *testing.T) {
	cases := map[string]struct {
		before []event.Event
		want   time.Duration // less the true time
	}{
		"Alone":                {nil, 0},
		"AloneAndAhead":        {[]event.Event{event.ClockRead{Unix: unix + ahead}}, ahead},
		"OneOfThreeIsAhead":    {[]event.Event{beat("h2", unix), beat("h3", unix+ahead)}, 0},
		"OwnOfThreeIsAhead":    {[]event.Event{beat("h2", unix), beat("h3", unix), event.ClockRead{Unix: unix + ahead}}, 0},
		"OwnOfThreeIsBehind":   {[]event.Event{beat("h2", unix), beat("h3", unix), event.ClockRead{Unix: unix - ahead}}, 0},
		"OwnOfTwoJumps":        {[]event.Event{event.ClockRead{Unix: unix}, beat("h2", unix), event.ClockRead{Unix: unix + ahead}}, 0},
		"OtherOfTwoJumps":      {[]event.Event{event.ClockRead{Unix: unix}, beat("h2", unix+ahead)}, 0},
		"TwoOfFiveDisagree":    {[]event.Event{beat("h2", unix), beat("h3", unix+ahead), beat("h4", unix-ahead), beat("h5", unix)}, 0},
		"LostHostDoesNotCount": {[]event.Event{beat("h2", unix+ahead), beat("h3", unix+ahead), event.HostLost{Host: "h2"}, event.HostLost{Host: "h3"}}, 0},
		"BeatWithoutTime":      {[]event.Event{event.BeatSeen{Host: "h2"}, event.BeatSeen{Host: "h3"}}, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Part{}
			var got time.Duration
			events := test.before
			if _, read := last(events).(event.ClockRead); !read {
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
				t.Errorf("agreed time less the true one (-want +got):\n%s", diff)
			}
		})
	}
}

func last(events []event.Event) event.Event {
	if len(events) == 0 {
		return nil
	}
	return events[len(events)-1]
}

func TestBeatTellsTheOwnReading(t *testing.T) {
	p := &Part{}
	var out event.Batch
	for _, ev := range []event.Event{beat("h2", unix), beat("h3", unix), event.ClockRead{Unix: unix + ahead}} {
		p.Step(now, ev, &out)
	}
	var b wire.Beat
	p.Contribute(now+time.Second, &b)
	if diff := cmp.Diff((unix + ahead + time.Second).Milliseconds(), b.UnixMS); diff != "" {
		t.Errorf("time in the beat (-want +got):\n%s", diff)
	}
}

// TestReadingIsToldNowAndThen is for the bytes of a host with many connections.
func TestReadingIsToldNowAndThen(t *testing.T) {
	p := &Part{}
	var out event.Batch
	p.Step(now, event.ClockRead{Unix: unix}, &out)
	told := 0
	const beats, every = 100, 300 * time.Millisecond
	for i := range beats {
		var b wire.Beat
		p.Contribute(now+time.Duration(i)*every, &b)
		if b.UnixMS != 0 {
			told++
		}
	}
	if told < 4*tellBeats || told > beats/3 {
		t.Errorf("told in %d of %d beats", told, beats)
	}
}

func TestSkewIsLoggedOnce(t *testing.T) {
	p := &Part{}
	var logged []string
	for _, read := range []time.Duration{unix, unix + ahead, unix + ahead, unix} {
		var out event.Batch
		for _, ev := range []event.Event{beat("h2", unix), beat("h3", unix), event.ClockRead{Unix: read}} {
			p.Step(now, ev, &out)
		}
		for _, effect := range out.Effects {
			if l, ok := effect.(event.Log); ok {
				logged = append(logged, l.Event+" "+l.Fields[0].Value+" "+l.Fields[2].Value)
			}
		}
	}
	if diff := cmp.Diff([]string{"ClockSkew 2000 true", "ClockSkew 0 false"}, logged); diff != "" {
		t.Errorf("logged (-want +got):\n%s", diff)
	}
}
