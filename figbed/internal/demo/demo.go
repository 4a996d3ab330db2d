// Package demo runs a small site for half a minute, prints what happens and checks that all of it is true.
package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// The plan of the demo.
const (
	callersTime     = 12 * time.Second
	reclaimAt       = 5 * time.Second
	reclaimedZone   = "b"
	ordersEvery     = 200 * time.Millisecond
	trainerBound    = 20 * time.Second
	windowLength    = 4 * time.Second
	windowGrace     = time.Second
	reportBound     = 12 * time.Second
	withdrawnBound  = 5 * time.Second
	lots            = 8
	groups          = 4
	samplesPerGroup = 4
	maxStaleness    = 2
)

// The organisations of the demo. Trainers has the rollout, so that the callers' figures can be compared exactly.
const (
	north    = "North"
	south    = "South"
	trainers = "Trainers"
)

// Demo is one run. Set the fields before Run.
type Demo struct {
	Folder string // with the programs
	Out    io.Writer

	console *proc.Console
	cluster *proc.Cluster
	load    loadr.Report
	trained trnr.Summary
}

// Run carries out the demo and returns an error when anything of it was untrue.
func (d *Demo) Run() error {
	d.console = &proc.Console{Out: d.Out}
	proc.UseFolder(d.Folder)
	return d.console.Run(func() {
		d.startSite()
		d.serve()
		d.withdrawKey()
		d.summary()
		if !d.console.Failed() {
			d.console.Logf("everything above was checked and is true")
		}
	})
}

func (d *Demo) startSite() {
	d.console.Logf("starting a platform, 3 engines in 2 zones, 3 spare engines, a plain service, a scorer and 3 daemons")
	d.cluster = &proc.Cluster{
		Daemons:  3,
		Platform: []string{"--reclaim-notice", "2s"},
		Engines: []proc.Endpoint{
			{Name: "engine-a1", Zone: "a", Args: []string{"--tokens", "3000"}},
			{Name: "engine-b1", Zone: "b", Args: []string{"--tokens", "3000"}},
			{Name: "engine-b2", Zone: "b", Args: []string{"--tokens", "3000", "--price", "Cheap"}},
			{Name: "spare-1", Args: []string{"--tokens", "3000", "--spare"}},
			{Name: "spare-2", Args: []string{"--tokens", "3000", "--spare"}},
			{Name: "spare-3", Args: []string{"--tokens", "3000", "--spare"}},
		},
		Services: []proc.Endpoint{{Name: "service-1", Zone: "a"}},
		Scorers:  []proc.Endpoint{{Name: "scorer-1", Zone: "a"}},
		Site:     d.site,
	}
	d.cluster.Start(d.console)
	for _, h := range d.cluster.Hosts {
		d.console.Logf("daemon %s in zone %s serves callers at %s", h.Name, h.Zone, h.Listen)
	}
}

func (d *Demo) site(s *config.Site) {
	s.Organisations[trainers] = config.Organisation{Name: trainers, Weight: 1}
	s.Rollouts[trainers] = config.RolloutLimits{Organisation: trainers, MaxGroups: 100, MaxStaleness: maxStaleness}
	s.Usage = config.Usage{Window: windowLength, Grace: windowGrace, Flush: 300 * time.Millisecond}
	s.Lease = config.Lease{TTL: 2 * time.Second, Renew: 500 * time.Millisecond, Margin: 300 * time.Millisecond, OrderFlight: 300 * time.Millisecond}
	for _, name := range []string{"a", reclaimedZone} {
		zone := config.DefaultZone(name)
		zone.OnDemandFloor, zone.MaxEndpoints, zone.MaxCheap = 1, 3, 2
		zone.TokensPerEngine, zone.StartTime = 600, time.Second
		zone.ScaleDownAfter = 3 * time.Second
		zone.Model = proc.Model
		s.Zones[name] = zone
	}
	zone := s.Zones["a"]
	zone.OnDemandFloor = 2
	s.Zones["a"] = zone
}

// serve runs the callers and the trainer at the same time.
func (d *Demo) serve() {
	c := d.cluster
	c.CreateRollout(wire.RolloutSpec{
		Name: "tariffs", Organisation: trainers, Model: proc.Model, Scorer: "scorer", Lots: lots,
		Groups: groups, SamplesPerGroup: samplesPerGroup, SpareGroups: 1, MaxTokens: 60, MaxStaleness: maxStaleness,
		SealAhead: 1, Prompts: []string{"explain the night tariff", "draft a letter of complaint", "sum up the subsidy"},
	})
	stop := d.watchOrders()
	defer stop()
	reclaim := time.AfterFunc(reclaimAt, func() {
		d.console.Logf("the platform reclaims every cheap engine of zone %s", reclaimedZone)
		c.SetFaults(wire.Faults{ReclaimZone: reclaimedZone})
	})
	defer reclaim.Stop()
	d.console.Logf("callers of %s and %s start; a trainer asks for %d lots of %d samples", north, south, lots, groups*samplesPerGroup)
	trained := make(chan struct{})
	go func() {
		defer close(trained)
		d.train()
	}()
	var err error
	if d.load, err = loadr.Run(context.Background(), d.plan()); err != nil {
		d.console.Fatal(err)
	}
	for _, r := range d.load.Results {
		d.console.Logf("%s: %d requests, %d answered whole, p50 %.0f ms, p99 %.0f ms, refused %v", r.Name, r.Sent, r.Whole, r.P50, r.P99, r.Refused)
	}
	<-trained
}

// watchOrders prints each endpoint order as the platform gets it, until the returned function is called.
func (d *Demo) watchOrders() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		printed := map[string]bool{}
		for ctx.Err() == nil {
			for _, o := range d.cluster.Calls().Orders {
				if !printed[o.OrderID] {
					d.console.Logf("%s, holder of %s at epoch %d, orders: %s %s %s in zone %s", o.Holder, o.Duty, o.Epoch, o.Action, o.Price, o.Endpoint, o.Zone)
				}
				printed[o.OrderID] = true
			}
			time.Sleep(ordersEvery)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (d *Demo) urls() []string {
	var urls []string
	for _, h := range d.cluster.Hosts {
		urls = append(urls, h.URL())
	}
	return urls
}

func (d *Demo) plan() loadr.Plan {
	key := d.cluster.Key
	return loadr.Plan{Targets: d.urls(), Duration: callersTime, Seed: 1, Sources: []loadr.Source{
		{Name: "North.Generate", Organisation: north, Key: key(north), Path: wire.PathGenerate, Rate: 20, MaxTokens: 40, Prefixes: 4, PromptWords: 30},
		{Name: "South.Generate", Organisation: south, Key: key(south), Path: wire.PathGenerate, Rate: 10, MaxTokens: 40, Prefixes: 4, PromptWords: 30},
		{Name: "North.Lookup", Organisation: north, Key: key(north), Path: "/lookup", Rate: 30},
		{Name: "South.Write", Organisation: south, Key: key(south), Path: "/write", Rate: 5},
		{Name: "Open", Path: "/open", Rate: 5},
	}}
}

func (d *Demo) train() {
	t := &trnr.Trainer{
		Daemons: d.urls(), Key: d.cluster.Key(trainers), Rollout: "tariffs", Consumer: "trainer-1",
		Lots: lots, Count: groups * samplesPerGroup, MaxStaleness: maxStaleness, FirstVersion: 1,
		StepTime: time.Second, Publish: true, Client: &http.Client{Timeout: 5 * time.Second},
		Notify: func(lot wire.Lot) {
			d.console.Logf("lot %d came whole: %d samples, versions %s, newest published %d", lot.Lot, lot.Count, versions(lot), lot.Newest)
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), trainerBound)
	defer cancel()
	var err error
	if d.trained, err = t.Run(ctx); err != nil {
		d.console.Errorf("the trainer got %d of %d lots: %v", d.trained.Lots, lots, err)
	}
}

// withdrawKey gives a key, uses it, withdraws it and waits until it is refused by every daemon.
func (d *Demo) withdrawKey() {
	const key = "a-second-key-of-the-north-0123456789"
	c := d.cluster
	c.GiveKey(north, key)
	given := time.Now()
	d.everyDaemon("the new key works", func(h *proc.Host) bool { return h.Post("/lookup", key, "").Status == http.StatusOK })
	d.console.Logf("a key given while traffic ran worked on all daemons after %d ms", time.Since(given).Milliseconds())
	c.WithdrawKey(key)
	withdrawn := time.Now()
	d.everyDaemon("the withdrawn key is refused", func(h *proc.Host) bool { return h.Post("/lookup", key, "").Status == http.StatusUnauthorized })
	d.console.Logf("the key was withdrawn and refused by all daemons after %d ms", time.Since(withdrawn).Milliseconds())
}

func (d *Demo) everyDaemon(what string, condition func(h *proc.Host) bool) {
	for _, h := range d.cluster.Hosts {
		if !proc.Within(withdrawnBound, func() bool { return condition(h) }) {
			d.console.Errorf("%s: not within %v: %s", h.Name, withdrawnBound, what)
		}
	}
}

func versions(lot wire.Lot) string {
	seen := map[string]bool{}
	var names []string
	for _, sample := range lot.Samples {
		name := runOf(sample.Versions)
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}
