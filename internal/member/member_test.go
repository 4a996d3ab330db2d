package member

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const testDuty = "Usage"

func host(i int) event.Host {
	name := fmt.Sprintf("h%d", i)
	return event.Host{Name: name, Zone: "a", Address: name + ":1", Incarnation: name + "-1"}
}

// newComponent returns the component of host 0 in a fleet of n hosts, with connections from all others.
func newComponent(n int) *Component {
	p := &Component{Self: host(0)}
	for i := 1; i < n; i++ {
		value, _ := json.Marshal(host(i))
		p.Step(0, event.ObjectSeen{Object: wire.Object{Name: Prefix + host(i).Name, Value: value}}, &event.Batch{})
		up := event.PeerUp{Host: host(i).Name, Incarnation: host(i).Incarnation, Zone: "a", Address: host(i).Address}
		p.Step(0, up, &event.Batch{})
	}
	return p
}

func (p *Component) receiveTestHeartbeat(now time.Duration, i int, heartbeat wire.Beat) event.Batch {
	var out event.Batch
	received := event.PeerReceived{Host: host(i).Name, Incarnation: host(i).Incarnation, Message: wire.Message{Beat: &heartbeat}}
	p.Step(now, received, &out)
	return out
}

func TestAnchor(t *testing.T) {
	own := host(0).Incarnation
	cases := map[string]struct {
		echo        uint64
		incarnation string
		anchor      time.Duration
		anchored    bool
	}{
		"echoes the last heartbeat":       {echo: 3, incarnation: own, anchor: 2 * time.Second, anchored: true},
		"echoes an earlier heartbeat":     {echo: 2, incarnation: own, anchor: time.Second, anchored: true},
		"echoes none":                     {},
		"echoes an earlier incarnation":   {echo: 3, incarnation: "h0-0"},
		"echoes a heartbeat not yet sent": {echo: 4, incarnation: own},
		"echoes the first heartbeat":      {echo: 1, incarnation: own, anchored: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newComponent(2)
			for second := range 3 {
				p.Step(time.Duration(second)*time.Second, event.Tick{}, &event.Batch{})
			}
			out := p.receiveTestHeartbeat(time.Minute, 1, wire.Beat{Seq: 1, Echo: test.echo, EchoIncarnation: test.incarnation})
			seen, _ := out.Raised[0].(event.BeatSeen)
			if diff := cmp.Diff([]any{test.anchor, test.anchored}, []any{seen.Anchor, seen.Anchored}); diff != "" {
				t.Errorf("anchor (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAsk(t *testing.T) {
	cases := map[string]struct {
		holder int // index of the host, -1 for none
		then   func(p *Component, id uint64, out *event.Batch)
		want   []event.AskDone
	}{
		"no holder": {holder: -1, want: []event.AskDone{{Owner: "o", Seq: 7, Kind: kinds.NotHolder}}},
		"answered by a peer": {
			holder: 1,
			then: func(p *Component, id uint64, out *event.Batch) {
				reply := &wire.Reply{ID: id, Body: []byte("yes")}
				p.Step(time.Second, event.PeerReceived{Host: "h1", Incarnation: "h1-1", Message: wire.Message{Reply: reply}}, out)
				p.Step(time.Second, event.PeerReceived{Host: "h1", Incarnation: "h1-1", Message: wire.Message{Reply: reply}}, out)
			},
			want: []event.AskDone{{Owner: "o", Seq: 7, Body: []byte("yes")}},
		},
		"answered by another peer": {
			holder: 1,
			then: func(p *Component, id uint64, out *event.Batch) {
				p.Step(time.Second, event.PeerReceived{Host: "h2", Incarnation: "h2-1", Message: wire.Message{Reply: &wire.Reply{ID: id}}}, out)
			},
		},
		"answered by this host": {
			holder: 0,
			then: func(p *Component, id uint64, out *event.Batch) {
				p.Step(time.Second, event.AnswerDuty{To: "h0", ID: id, Kind: kinds.BadCursor}, out)
			},
			want: []event.AskDone{{Owner: "o", Seq: 7, Kind: kinds.BadCursor}},
		},
		"deadline passes": {
			holder: 1,
			then:   func(p *Component, _ uint64, out *event.Batch) { p.Step(time.Minute, event.Tick{}, out) },
			want:   []event.AskDone{{Owner: "o", Seq: 7, Kind: kinds.OutcomeUnknown}},
		},
		"holder is lost": {
			holder: 1,
			then:   func(p *Component, _ uint64, out *event.Batch) { p.Step(3*time.Second, event.Tick{}, out) },
			want:   []event.AskDone{{Owner: "o", Seq: 7, Kind: kinds.OutcomeUnknown}},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newComponent(3)
			switch test.holder {
			case 0:
				p.Step(0, event.DutyGained{Duty: testDuty, Epoch: 4}, &event.Batch{})
			case 1:
				p.receiveTestHeartbeat(0, 1, wire.Beat{Seq: 1, Duties: []wire.DutyHeld{{Duty: testDuty, Epoch: 4}}})
			}
			var out event.Batch
			p.Step(0, event.AskDuty{Owner: "o", Seq: 7, Duty: testDuty, Call: "c", Deadline: 10 * time.Second}, &out)
			if test.then != nil {
				test.then(p, p.calls.idBase+p.calls.lastID, &out)
			}
			var done []event.AskDone
			for _, effect := range out.Effects {
				if d, ok := effect.(event.AskDone); ok {
					done = append(done, d)
				}
			}
			if diff := cmp.Diff(test.want, done); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPicks(t *testing.T) {
	cases := map[string]struct {
		hosts                int
		admitted             bool
		minPicked, maxPicked int
	}{
		"fully connected fleet":                    {hosts: 16, admitted: true, minPicked: 15, maxPicked: 15},
		"large fleet":                              {hosts: 100, admitted: true, minPicked: 6, maxPicked: 8},
		"large fleet, host not admitted":           {hosts: 100, minPicked: 99, maxPicked: 99},
		"fully connected fleet, host not admitted": {hosts: 3, minPicked: 2, maxPicked: 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := newComponent(test.hosts)
			p.Self.Admitted = test.admitted
			picked := len(p.computePicks())
			if picked < test.minPicked || picked > test.maxPicked {
				t.Errorf("%d hosts picked, want %d to %d", picked, test.minPicked, test.maxPicked)
			}
		})
	}
}

func TestHostLost(t *testing.T) {
	p := newComponent(3)
	p.receiveTestHeartbeat(time.Second, 1, wire.Beat{Seq: 1})
	p.receiveTestHeartbeat(0, 2, wire.Beat{Seq: 1})
	var out event.Batch
	p.Step(2500*time.Millisecond, event.Tick{}, &out)
	var lost []string
	for _, ev := range out.Raised {
		if l, ok := ev.(event.HostLost); ok {
			lost = append(lost, l.Host)
		}
	}
	if diff := cmp.Diff([]string{"h2"}, lost); diff != "" {
		t.Errorf("lost hosts (-want +got):\n%s", diff)
	}
	var alive []string
	for _, h := range p.Alive(2500 * time.Millisecond) {
		alive = append(alive, h.Name)
	}
	if diff := cmp.Diff([]string{"h0", "h1"}, alive); diff != "" {
		t.Errorf("alive hosts (-want +got):\n%s", diff)
	}
	var logged []event.Effect
	for seq := uint64(2); seq < 4; seq++ {
		var batch event.Batch
		p.receiveHeartbeat(4*time.Second, p.peers["h2"], wire.Beat{Seq: seq}, &batch)
		logged = append(logged, batch.Effects...)
	}
	want := event.Log{Level: "info", Event: "HostBack", Fields: []event.Field{{Key: "Host", Value: "h2"}, {Key: "SilentMS", Value: "4000"}}}
	if diff := cmp.Diff([]event.Effect{want}, logged); diff != "" {
		t.Errorf("log entries when its heartbeats resume (-want +got):\n%s", diff)
	}
}

// countingFiller counts the calls of FillBeat.
type countingFiller struct{ calls int }

// FillBeat implements BeatFiller.
func (c *countingFiller) FillBeat(time.Duration, *wire.Beat) { c.calls++ }

// A BeatFiller adds what is new since the last heartbeat, so a status report must not call it.
func TestStatusDoesNotCallBeatFillers(t *testing.T) {
	p := newComponent(2)
	filler := &countingFiller{}
	p.BeatFillers = []BeatFiller{filler}
	p.Step(time.Second, event.Tick{}, &event.Batch{})
	p.Step(time.Second, event.StatusAsked{Seq: 1}, &event.Batch{})
	if diff := cmp.Diff(1, filler.calls); diff != "" {
		t.Errorf("calls of FillBeat for one heartbeat (-want +got):\n%s", diff)
	}
}

// In a large fleet, what one zone knows must reach every other zone within two hops.
func TestHubsJoinZones(t *testing.T) {
	const zones, perZone = 3, 12
	var hosts []event.Host
	for z := range zones {
		for i := range perZone {
			h := event.Host{Name: fmt.Sprintf("z%d-%02d", z, i), Zone: fmt.Sprintf("z%d", z), Admitted: true, Power: 20}
			if i >= perZone-2 {
				h.Power = 80
			}
			hosts = append(hosts, h)
		}
	}
	hubs := Hubs(hosts, 2)
	for _, hub := range hubs {
		if !strings.HasSuffix(hub, "-10") && !strings.HasSuffix(hub, "-11") {
			t.Errorf("%s is a hub although other hosts of its zone have more processor time", hub)
		}
	}
	for _, self := range hosts {
		p := &Component{Self: self, ConnectZones: true}
		var out event.Batch
		p.start(0, &out)
		for _, h := range hosts {
			if h.Name != self.Name {
				p.hosts[h.Name] = h
			}
		}
		p.knownHosts, p.hubNames = nil, nil
		picked := p.computePicks()
		for _, hub := range hubs {
			wanted := hub != self.Name && (slices.Contains(hubs, self.Name) || strings.HasPrefix(hub, self.Zone))
			if wanted && !slices.Contains(picked, hub) {
				t.Errorf("%s does not connect to %s", self.Name, hub)
			}
		}
	}
}

// A host that was replaced by an older build, or has not registered yet, must not be shown with the build that ran before.
func TestStatusTellsTheBuildOfEachRunningProcess(t *testing.T) {
	told := func(i int, build string) event.ObjectSeen {
		registered := host(i)
		registered.Build = build
		value, _ := json.Marshal(registered)
		return event.ObjectSeen{Object: wire.Object{Name: Prefix + registered.Name, Value: value}}
	}
	p := newComponent(4)
	p.Self.Build = "own"
	p.Step(0, told(1, "new"), &event.Batch{})
	p.Step(0, told(2, "new"), &event.Batch{})
	p.Step(0, event.PeerUp{Host: host(2).Name, Incarnation: "another start", Zone: "a", Address: host(2).Address}, &event.Batch{})
	for i := range 3 {
		p.receiveTestHeartbeat(time.Second, i+1, wire.Beat{Seq: 1})
	}
	beat := event.PeerReceived{Host: host(2).Name, Incarnation: "another start", Message: wire.Message{Beat: &wire.Beat{Seq: 1}}}
	p.Step(time.Second, beat, &event.Batch{})
	status := p.status(time.Second)
	got := map[string]string{"self": status.Build}
	for _, h := range status.Hosts {
		got[h.Host] = h.Build
	}
	if diff := cmp.Diff(map[string]string{"self": "own", "h0": "own", "h1": "new", "h2": "", "h3": ""}, got); diff != "" {
		t.Errorf("builds (-want +got):\n%s", diff)
	}
}
