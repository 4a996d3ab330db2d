package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

func TestMatch(t *testing.T) {
	site := config.Defaults()
	for _, prefix := range []string{"/a", "/a/b", "/c/"} {
		site.Routes[prefix] = config.Route{Name: prefix, Prefix: prefix}
	}
	routes := NewRoutes(site)
	for path, want := range map[string]string{"/a": "/a", "/a/x": "/a", "/a/b": "/a/b", "/a/b/c": "/a/b", "/a/bc": "/a", "/ab": "", "/c/d": "/c/", "/c": ""} {
		t.Run(path, func(t *testing.T) {
			got, _ := routes.Match("", path)
			if diff := cmp.Diff(want, got.Name); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func liveEngine(name, zone string, price wire.Price) wire.Endpoint {
	return wire.Endpoint{Name: name, Incarnation: "1", Kind: wire.Engine, Model: "m", Zone: zone, Price: price, State: wire.Live}
}

func endpointNames(cs []*Endpoint) []string {
	var all []string
	for _, c := range cs {
		all = append(all, c.Name)
	}
	return all
}

func TestCandidates(t *testing.T) {
	list := []wire.Endpoint{
		liveEngine("cheap1", "z1", wire.Cheap), liveEngine("cheap2", "z2", wire.Cheap),
		liveEngine("on-demand1", "z1", wire.OnDemand), liveEngine("on-demand2", "z2", wire.OnDemand),
	}
	for name, c := range map[string]struct {
		change func(*Table)
		want   Requirements
		names  []string
	}{
		"local zone":          {want: Requirements{Zone: "z1"}, names: []string{"cheap1", "on-demand1"}},
		"rollout":             {want: Requirements{Zone: "z1", Price: wire.Cheap}, names: []string{"cheap1"}},
		"interactive":         {want: Requirements{Zone: "z2", Price: wire.OnDemand}, names: []string{"on-demand2"}},
		"avoid":               {want: Requirements{Zone: "z1", Price: wire.Cheap, Avoid: []string{"cheap1", "cheap2"}}, names: []string{"on-demand1"}},
		"nothing but avoided": {want: Requirements{Zone: "z1", Avoid: []string{"cheap1", "cheap2", "on-demand1", "on-demand2"}}, names: []string{"cheap1", "on-demand1"}},
		"leaving": {
			change: func(t *Table) { t.MarkLeaving(0, wire.LeaveMark{Endpoint: "cheap1", Incarnation: "1"}) },
			want:   Requirements{Zone: "z1", Price: wire.Cheap}, names: []string{"cheap2"},
		},
		"true version": {
			change: func(t *Table) {
				t.ApplyLoad(time.Second, wire.LoadReport{Endpoint: "on-demand2", Incarnation: "1", Version: 7})
				t.ApplyLoad(time.Second, wire.LoadReport{Endpoint: "cheap1", Incarnation: "1", Version: 6})
			},
			want: Requirements{Zone: "z1", MinVersion: 7}, names: []string{"on-demand2"},
		},
		"busy local zone": {
			change: func(t *Table) {
				for _, n := range []string{"cheap1", "on-demand1"} {
					t.ApplyLoad(time.Second, wire.LoadReport{Endpoint: n, Incarnation: "1", Tokens: 1 << 20})
				}
			},
			want: Requirements{Zone: "z1"}, names: []string{"cheap1", "cheap2", "on-demand1", "on-demand2"},
		},
		"full": {
			change: func(t *Table) { t.AttemptStarted(t.endpoints["cheap1"], 1) },
			want:   Requirements{Zone: "z1", Price: wire.Cheap}, names: []string{"cheap2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.Update(0, list)
			if c.change != nil {
				c.change(&table)
			}
			c.want.Pool, c.want.MaxRunning = EnginePool("m"), 1
			if diff := cmp.Diff(c.names, endpointNames(table.Candidates(time.Second, c.want))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestEjectionGrowsAndTriesOnce(t *testing.T) {
	var table Table
	table.Update(0, []wire.Endpoint{liveEngine("a", "z", wire.Cheap)})
	e := table.endpoints["a"]
	id := wire.LeaveMark{Endpoint: "a", Incarnation: "1"}
	for range maxFailures {
		table.AttemptStarted(e, 1)
		table.AttemptEnded(0, id, 1, Failed)
	}
	for now, want := range map[time.Duration]bool{0: true, minEjection - 1: true, minEjection: false} {
		if diff := cmp.Diff(want, e.Ejected(now)); diff != "" {
			t.Error(now, diff)
		}
	}
	table.AttemptStarted(e, 1)
	if !e.Ejected(minEjection) {
		t.Error("a second trial was allowed while one was running")
	}
	table.AttemptEnded(minEjection, id, 1, Failed)
	if !e.Ejected(3*minEjection-1) || e.Ejected(3*minEjection) {
		t.Error("the ejection did not double")
	}
}

func TestVersionIsKnownBesideNewerLoad(t *testing.T) {
	var table Table
	table.Update(0, []wire.Endpoint{liveEngine("a", "z", wire.Cheap)})
	report := func(now time.Duration, version uint64, age int64) {
		table.ApplyLoad(now, wire.LoadReport{Endpoint: "a", Incarnation: "1", Version: version, Tokens: int(version), AgeMS: age})
	}
	report(10*time.Second, 0, 0)
	report(11*time.Second, 5, 2000)
	report(12*time.Second, 4, 5000)
	e := table.endpoints["a"]
	if diff := cmp.Diff([]int{5, 0}, []int{int(e.Version), e.Load()}); diff != "" {
		t.Error(diff)
	}
}

// fixedCandidate is a Candidate with a constant amount of work.
type fixedCandidate struct {
	name string
	work float64
}

func (f *fixedCandidate) Key() string                { return f.name }
func (f *fixedCandidate) Work(time.Duration) float64 { return f.work }

func TestAffinity(t *testing.T) {
	var cs []*fixedCandidate
	for i := range 8 {
		cs = append(cs, &fixedCandidate{name: fmt.Sprint("e", i)})
	}
	picker := &PrefixAffinity[*fixedCandidate]{Random: rand.New(rand.NewPCG(1, 1)), MaxLoad: 1.25, Allowance: 10}
	first := picker.Pick(0, cs, 77)
	for range 20 {
		if picker.Pick(0, cs, 77) != first {
			t.Fatal("the same prompt prefix went to another endpoint")
		}
	}
	first.work = 1000
	if picker.Pick(0, cs, 77) == first {
		t.Error("a busy endpoint still got its prompt prefix")
	}
	counts := map[string]int{}
	for i := range uint64(800) {
		counts[picker.Pick(0, cs[1:], i+1).name]++
	}
	for name, n := range counts {
		if n < 60 {
			t.Error(name, n)
		}
	}
}

func TestRoundRobin(t *testing.T) {
	cs := []*fixedCandidate{{name: "a"}, {name: "b"}}
	picker := &RoundRobin[*fixedCandidate]{}
	counts := map[string]int{}
	for range 10 {
		counts[picker.Pick(0, cs, 1).name]++
	}
	if diff := cmp.Diff(map[string]int{"a": 5, "b": 5}, counts); diff != "" {
		t.Error(diff)
	}
}
