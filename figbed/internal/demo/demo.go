// Package demo runs a small site for half a minute, logs the events and checks the results.
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

// The schedule and the sizes of the demo.
const (
	loadDuration       = 12 * time.Second
	reclaimAt          = 5 * time.Second
	reclaimedZone      = "b"
	ordersPollInterval = 200 * time.Millisecond
	trainerTimeout     = 20 * time.Second
	usageWindow        = 4 * time.Second
	usageGrace         = time.Second
	usageReportTimeout = 12 * time.Second
	keyChangeTimeout   = 5 * time.Second
	lots               = 8
	groups             = 4 // of a lot
	samplesPerGroup    = 4
	maxStaleness       = 2
)

// The organisations of the demo. Trainers owns the rollout, so that the usage of the others consists only of the calls that
// the load generator counts and can be compared exactly.
const (
	north    = "North"
	south    = "South"
	trainers = "Trainers"
)

// Demo is one run of the demo. Set the exported fields before Run.
type Demo struct {
	ProgramDir string    // directory of the programs
	Out        io.Writer // receives the log

	console        *proc.Console
	cluster        *proc.Cluster
	loadReport     loadr.Report
	trainerSummary trnr.Summary
}

// Run runs the demo and returns an error when a check failed.
func (d *Demo) Run() error {
	d.console = &proc.Console{Out: d.Out}
	proc.UseProgramDir(d.ProgramDir)
	return d.console.Run(func() {
		d.startSite()
		d.runLoadAndTrainer()
		d.changeKey()
		d.checkResults()
		if !d.console.Failed() {
			d.console.Logf("all checks passed")
		}
	})
}

func (d *Demo) startSite() {
	d.console.Logf("starting a platform, 3 engines in 2 availability zones, 3 spare engines, a plain service, a scorer and 3 daemons")
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
		Site:     d.configureSite,
	}
	d.cluster.Start(d.console)
	for _, h := range d.cluster.Hosts {
		d.console.Logf("daemon %s in availability zone %s listens for callers at %s", h.Name, h.Zone, h.Listen)
	}
}

func (d *Demo) configureSite(s *config.Site) {
	s.Organisations[trainers] = config.Organisation{Name: trainers, Weight: 1}
	s.Rollouts[trainers] = config.RolloutLimits{Organisation: trainers, MaxGroups: 100, MaxStaleness: maxStaleness}
	s.Usage = config.Usage{Window: usageWindow, Grace: usageGrace, Flush: 300 * time.Millisecond}
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

// runLoadAndTrainer runs the load generator and the trainer concurrently.
func (d *Demo) runLoadAndTrainer() {
	c := d.cluster
	c.CreateRollout(wire.RolloutSpec{
		Name: "tariffs", Organisation: trainers, Model: proc.Model, Scorer: "scorer", Lots: lots,
		Groups: groups, SamplesPerGroup: samplesPerGroup, SpareGroups: 1, MaxTokens: 60, MaxStaleness: maxStaleness,
		SealAhead: 1, Prompts: []string{"explain the night tariff", "draft a letter of complaint", "sum up the subsidy"},
	})
	stop := d.logOrders()
	defer stop()
	reclaimTimer := time.AfterFunc(reclaimAt, func() {
		d.console.Logf("the platform reclaims all cheap engines in availability zone %s", reclaimedZone)
		c.SetFaults(wire.Faults{ReclaimZone: reclaimedZone})
	})
	defer reclaimTimer.Stop()
	d.console.Logf("starting the load of %s and %s, and a trainer that fetches %d lots of %d samples", north, south, lots, groups*samplesPerGroup)
	trainerDone := make(chan struct{})
	go func() {
		defer close(trainerDone)
		d.runTrainer()
	}()
	var err error
	if d.loadReport, err = loadr.Run(context.Background(), d.loadPlan()); err != nil {
		d.console.Fatal(err)
	}
	for _, r := range d.loadReport.Results {
		d.console.Logf("%s: %d requests, %d complete responses, p50 %.0f ms, p99 %.0f ms, refused %v", r.Name, r.Sent, r.Whole, r.P50, r.P99, r.Refused)
	}
	<-trainerDone
}

// logOrders logs each endpoint order once the platform has received it, until the returned function is called.
func (d *Demo) logOrders() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		logged := map[string]bool{}
		for ctx.Err() == nil {
			for _, o := range d.cluster.Calls().Orders {
				if !logged[o.OrderID] {
					d.console.Logf("%s, holder of %s in epoch %d, orders: %s %s %s in availability zone %s", o.Holder, o.Duty, o.Epoch, o.Action, o.Price, o.Endpoint, o.Zone)
				}
				logged[o.OrderID] = true
			}
			time.Sleep(ordersPollInterval)
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

func (d *Demo) loadPlan() loadr.Plan {
	key := d.cluster.Key
	return loadr.Plan{Targets: d.urls(), Duration: loadDuration, Seed: 1, Sources: []loadr.Source{
		{Name: "North.Generate", Organisation: north, Key: key(north), Path: wire.PathGenerate, Rate: 20, MaxTokens: 40, Prefixes: 4, PromptWords: 30},
		{Name: "South.Generate", Organisation: south, Key: key(south), Path: wire.PathGenerate, Rate: 10, MaxTokens: 40, Prefixes: 4, PromptWords: 30},
		{Name: "North.Lookup", Organisation: north, Key: key(north), Path: "/lookup", Rate: 30},
		{Name: "South.Write", Organisation: south, Key: key(south), Path: "/write", Rate: 5},
		{Name: "Open", Path: "/open", Rate: 5},
	}}
}

func (d *Demo) runTrainer() {
	t := &trnr.Trainer{
		Daemons: d.urls(), Key: d.cluster.Key(trainers), Rollout: "tariffs", Consumer: "trainer-1",
		Lots: lots, Count: groups * samplesPerGroup, MaxStaleness: maxStaleness, FirstVersion: 1,
		StepTime: time.Second, Publish: true, Client: &http.Client{Timeout: 5 * time.Second},
		Notify: func(lot wire.Lot) {
			d.console.Logf("received lot %d: %d samples of versions %s, newest published version %d", lot.Lot, lot.Count, distinctVersions(lot), lot.Newest)
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), trainerTimeout)
	defer cancel()
	var err error
	if d.trainerSummary, err = t.Run(ctx); err != nil {
		d.console.Errorf("the trainer received %d of %d lots: %v", d.trainerSummary.Lots, lots, err)
	}
}

// changeKey adds a key, waits until every daemon accepts it, withdraws it and waits until every daemon refuses it.
func (d *Demo) changeKey() {
	const key = "a-second-key-of-the-north-0123456789"
	c := d.cluster
	c.AddKey(north, key)
	added := time.Now()
	d.waitForEveryDaemon("the new key is accepted", func(h *proc.Host) bool { return h.Post("/lookup", key, "").Status == http.StatusOK })
	d.console.Logf("a new key was accepted by all daemons after %d ms", time.Since(added).Milliseconds())
	c.WithdrawKey(key)
	withdrawn := time.Now()
	d.waitForEveryDaemon("the withdrawn key is refused", func(h *proc.Host) bool { return h.Post("/lookup", key, "").Status == http.StatusUnauthorized })
	d.console.Logf("the withdrawn key was refused by all daemons after %d ms", time.Since(withdrawn).Milliseconds())
}

func (d *Demo) waitForEveryDaemon(what string, condition func(h *proc.Host) bool) {
	for _, h := range d.cluster.Hosts {
		if !proc.Poll(keyChangeTimeout, func() bool { return condition(h) }) {
			d.console.Errorf("daemon %s: not within %v: %s", h.Name, keyChangeTimeout, what)
		}
	}
}

func distinctVersions(lot wire.Lot) string {
	seen := map[string]bool{}
	var names []string
	for _, sample := range lot.Samples {
		name := joinVersions(sample.Versions)
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}
