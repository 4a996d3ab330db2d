package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// setJobRoutes applies a site configuration with the named routes for jobs.
func setJobRoutes(r *rig, names ...string) {
	site := testSite()
	delete(site.Routes, "rollouts")
	for _, name := range names {
		site.Routes[name] = config.Route{Name: name, Prefix: "/" + name + "/", Service: "engines", Jobs: &config.JobRules{Due: 7 * time.Second, GiveUpAfter: 40 * time.Second}}
	}
	r.step(event.ConfigInForce{Site: site})
}

// placedHost returns the host that should run a job of a route, "" for the asked host itself.
func placedHost(r *rig, route string) string {
	r.effects = nil
	r.step(event.JobCalled{Seq: 9, Call: event.JobPlace, Path: "/" + route + "/x", Job: "j"})
	answers := take[event.JobAnswer](r)
	if len(answers) != 1 || answers[0].Kind != "" {
		r.t.Fatalf("answers %v", answers)
	}
	return answers[0].Host
}

// Trainers submit each step to another host of a large fleet. All steps of a route must run on one hub, and the routes
// on different hubs.
func TestStepsOfARouteRunOnOneHub(t *testing.T) {
	f := newLargeFleet()
	routes := []string{"r1", "r2", "r3", "r4"}
	want := map[string]string{}
	for _, self := range []event.Host{f.pick(false, "a"), f.pick(false, "b"), f.pick(true, "a"), f.pick(true, "b")} {
		r := f.start(t, self)
		setJobRoutes(r, routes...)
		for _, route := range routes {
			host := placedHost(r, route)
			if host == "" {
				host = self.Name
			}
			if want[route] == "" {
				want[route] = host
			}
			if diff := cmp.Diff(want[route], host); diff != "" {
				t.Errorf("hub of %s at %s (-want +got):\n%s", route, self.Name, diff)
			}
			if !slices.Contains(f.hubs, host) {
				t.Errorf("%s runs at %s, which is no hub", route, host)
			}
		}
	}
	used := map[string]bool{}
	for _, host := range want {
		used[host] = true
	}
	if diff := cmp.Diff(len(f.hubs), len(used)); diff != "" {
		t.Errorf("hubs with a route (-want +got):\n%s", diff)
	}
}

// The hub of a route crashes, is cut off, hangs or stops. The route's jobs must go to the next hub, and back to the first
// one after placementRetry.
func TestRouteLeavesAHub(t *testing.T) {
	cases := map[string]struct {
		placed event.JobPlaced
		moves  bool
	}{
		"answered":        {event.JobPlaced{Answered: true}, false},
		"store refused":   {event.JobPlaced{Answered: true, Kind: kinds.StoreRefused}, false},
		"is stopping":     {event.JobPlaced{Answered: true, Kind: kinds.Stopping}, true},
		"is not ready":    {event.JobPlaced{Answered: true, Kind: kinds.NotReady}, true},
		"does not answer": {event.JobPlaced{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleet()
			r := f.start(t, f.pick(false, "a"))
			setJobRoutes(r, "r1")
			first := placedHost(r, "r1")
			c.placed.Host = first
			r.step(c.placed)
			if diff := cmp.Diff(c.moves, placedHost(r, "r1") != first); diff != "" {
				t.Errorf("the next job goes elsewhere (-want +got):\n%s", diff)
			}
			r.now += placementRetry
			if diff := cmp.Diff(first, placedHost(r, "r1")); diff != "" {
				t.Errorf("hub after the pause (-want +got):\n%s", diff)
			}
		})
	}
}

// A hub is removed for good. The first host that fails to reach it hands the job to another hub, and the other hosts must
// follow the news of that job. Routes of working hubs must stay where they are.
func TestRouteFollowsItsLastJob(t *testing.T) {
	f := newLargeFleet()
	r := f.start(t, f.pick(false, "a"))
	setJobRoutes(r, "r1", "r2")
	first, second := placedHost(r, "r1"), placedHost(r, "r2")
	var other string
	for _, hub := range f.hubs {
		if hub != first && hub != second {
			other = hub
		}
	}
	news := func(job, host, route string, ended bool) {
		r.step(event.PeerReceived{Host: f.hubs[0], Message: wire.Message{News: &wire.JobNews{Job: job, Host: host, Incarnation: "1", Route: route, Ended: ended}}})
	}
	steps := []struct {
		name           string
		job, host      string
		ended          bool
		wantR1, wantR2 string
	}{
		{name: "moved", job: "j1", host: other, wantR1: other, wantR2: second},
		{name: "news of an old job", job: "j0", host: first, ended: true, wantR1: other, wantR2: second},
		{name: "the same job again", job: "j1", host: other, wantR1: other, wantR2: second},
		{name: "a host that is no hub", job: "j2", host: f.pick(false, "b").Name, wantR1: first, wantR2: second},
		{name: "moved again", job: "j3", host: other, wantR1: other, wantR2: second},
	}
	for _, s := range steps {
		news(s.job, s.host, "r1", s.ended)
		if diff := cmp.Diff([]string{s.wantR1, s.wantR2}, []string{placedHost(r, "r1"), placedHost(r, "r2")}); diff != "" {
			t.Errorf("%s: hubs (-want +got):\n%s", s.name, diff)
		}
	}
	r.step(event.JobPlaced{Host: other})
	if diff := cmp.Diff(first, placedHost(r, "r1")); diff != "" {
		t.Errorf("hub when the last one does not answer (-want +got):\n%s", diff)
	}
}

// In a small fleet, or when no hub accepts jobs, a host must run them itself. A call whose route takes no jobs is refused.
func TestPlaceHere(t *testing.T) {
	small := newRig(t)
	if diff := cmp.Diff("", placedHost(small, "r")); diff != "" {
		t.Errorf("host in a small fleet (-want +got):\n%s", diff)
	}
	f := newLargeFleet()
	r := f.start(t, f.pick(false, "a"))
	setJobRoutes(r, "r1")
	for _, hub := range f.hubs {
		r.step(event.JobPlaced{Host: hub})
	}
	if diff := cmp.Diff("", placedHost(r, "r1")); diff != "" {
		t.Errorf("host when no hub answers (-want +got):\n%s", diff)
	}
	for path, kind := range map[string]kinds.Kind{"/none/x": kinds.RouteUnknown, "/s/x": kinds.BadRequest} {
		r.effects = nil
		r.step(event.JobCalled{Seq: 9, Call: event.JobPlace, Path: path, Job: "j"})
		if answers := take[event.JobAnswer](r); len(answers) != 1 || answers[0].Kind != kind {
			t.Errorf("answers for %s: %v, want kind %s", path, answers, kind)
		}
	}
}

// A trainer's submissions arrive at any host of a small fleet. Its steps must stay with the host that ran the last one,
// which keeps its connections to the engines, and leave it when it stops or loses its connection.
func TestStepsStayInASmallFleet(t *testing.T) {
	announced := newsFrom("h2", event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1", Route: "r1"})
	cases := map[string]struct {
		events []event.Event
		want   string
	}{
		"no step yet":          {nil, ""},
		"runs at another host": {[]event.Event{announced}, "h2"},
		"another route":        {[]event.Event{newsFrom("h2", event.JobSeen{Job: "j1", Host: "h2", Incarnation: "1", Route: "r2"})}, ""},
		"that host stops":      {[]event.Event{announced, event.BeatSeen{Host: "h2", Beat: wire.Beat{Stopping: true}}}, ""},
		"that host is gone":    {[]event.Event{announced, event.PeerDown{Host: "h2"}}, ""},
		"that host refused":    {[]event.Event{announced, event.JobPlaced{Job: "j2", Host: "h2", Answered: true, Kind: kinds.NotReady}}, ""},
		"unknown host":         {[]event.Event{newsFrom("h9", event.JobSeen{Job: "j1", Host: "h9", Incarnation: "1", Route: "r1"})}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			setJobRoutes(r, "r1", "r2")
			for _, ev := range c.events {
				r.step(ev)
			}
			r.tick(2 * disconnectGrace)
			if diff := cmp.Diff(c.want, placedHost(r, "r1")); diff != "" {
				t.Errorf("host (-want +got):\n%s", diff)
			}
		})
	}
}
