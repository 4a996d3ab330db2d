package demo

import (
	"strconv"
	"strings"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// counted is one organisation's usage, as its callers counted it or as the reports name it.
type counted struct {
	Requests, Prompt, Cached, Generated uint64
}

// summary prints the figures and checks them against each other.
func (d *Demo) summary() {
	d.console.Logf("waiting for the usage windows to close")
	d.checkUsage(north, "North.Generate")
	d.checkUsage(south, "South.Generate")
	d.checkWindows()
	d.checkCallers()
	d.checkTrainer()
	d.checkEndpoints()
}

// checkUsage compares an organisation's reported tokens with those that its callers counted.
func (d *Demo) checkUsage(organisation, source string) {
	r := d.load.Of(source)
	want := counted{
		Requests: uint64(r.Whole), Prompt: uint64(r.PromptTokens), Cached: uint64(r.CachedTokens),
		Generated: uint64(r.Tokens - r.PromptTokens),
	}
	same := proc.Within(reportBound, func() bool { return d.reported(organisation) == want })
	got := d.reported(organisation)
	if !same {
		d.console.Errorf("usage of %s: reported %+v, counted by its callers %+v", organisation, got, want)
		return
	}
	d.console.Logf("usage of %s: %d requests, %d prompt tokens (%d cached), %d generated tokens, as its callers counted",
		organisation, got.Requests, got.Prompt, got.Cached, got.Generated)
}

// reported sums an organisation's figures over the windows, each counted once however often it was reported.
func (d *Demo) reported(organisation string) counted {
	windows := map[uint64]wire.UsageReport{}
	for _, report := range d.cluster.Calls().Reports {
		windows[report.Window] = report
	}
	var sum counted
	for _, report := range windows {
		for _, f := range report.Figures {
			if f.Organisation == organisation {
				sum.Requests += f.Requests
				sum.Prompt += f.PromptTokens
				sum.Cached += f.CachedTokens
				sum.Generated += f.GeneratedTokens
			}
		}
	}
	return sum
}

// checkWindows checks that no window was reported with two figures.
func (d *Demo) checkWindows() {
	first := map[uint64]wire.UsageReport{}
	reports := d.cluster.Calls().Reports
	for _, report := range reports {
		earlier, ok := first[report.Window]
		if !ok {
			first[report.Window] = report
			continue
		}
		if earlier.ReportID != report.ReportID || !equal(earlier.Figures, report.Figures) {
			d.console.Errorf("window %d was reported with two figures", report.Window)
		}
	}
	d.console.Logf("usage windows: %d reported in %d reports, none with two figures", len(first), len(reports))
}

func equal(a, b []wire.UsageFigure) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// checkCallers checks that each request was answered whole or refused with its kind.
func (d *Demo) checkCallers() {
	for _, r := range d.load.Results {
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		if r.Sent == 0 || r.Whole+refused != r.Sent || r.NoRetryAfter > 0 {
			d.console.Errorf("callers of %s: %v", r.Name, r)
		}
	}
	for id, n := range d.cluster.Endpoints["service-1"].Seen().Runs {
		if n > 1 && strings.HasPrefix(id, south) {
			d.console.Errorf("the write %s ran %d times", id, n)
		}
	}
	if leaked := d.leaks(); leaked > 0 {
		d.console.Errorf("%d requests brought a key to an endpoint", leaked)
	}
	d.console.Logf("no write ran twice; no endpoint saw a key")
}

func (d *Demo) leaks() int {
	found := 0
	for name, e := range d.cluster.Endpoints {
		if strings.HasPrefix(name, "scorer") {
			continue
		}
		record := e.Seen()
		for _, organisation := range []string{north, south, trainers} {
			found += len(record.Contains(d.cluster.Key(organisation)))
		}
	}
	return found
}

func (d *Demo) checkTrainer() {
	t := d.trained
	for _, problem := range t.Problems {
		d.console.Errorf("trainer: %s", problem)
	}
	if used := d.reported(trainers); used.Requests < uint64(t.Samples) {
		d.console.Errorf("usage of %s: %d requests reported, %d samples delivered", trainers, used.Requests, t.Samples)
	}
	d.console.Logf("trainer: %d lots, %d samples, each once; oldest sample %d versions behind (bound %d); newest version %d; idle %d ms of %d ms",
		t.Lots, t.Samples, t.Staleness, maxStaleness, t.Published, t.Idle.Milliseconds(), t.Took.Milliseconds())
}

// checkEndpoints prints the orders and the cost and checks that no two holders gave orders under one epoch.
func (d *Demo) checkEndpoints() {
	calls := d.cluster.Calls()
	holders := map[string]string{}
	starts, stops := 0, 0
	ids := map[string]bool{}
	for _, o := range calls.Orders {
		epoch := o.Duty + "/" + strconv.FormatUint(o.Epoch, 10)
		if holder, ok := holders[epoch]; ok && holder != o.Holder {
			d.console.Errorf("orders of %s came from %s and %s", epoch, holder, o.Holder)
		}
		holders[epoch] = o.Holder
		if ids[o.OrderID] {
			continue
		}
		ids[o.OrderID] = true
		if o.Action == "Start" {
			starts++
		} else {
			stops++
		}
	}
	if starts == 0 {
		d.console.Errorf("no endpoint was ordered, though zone a has one engine too few")
	}
	d.console.Logf("endpoints: %d start orders, %d stop orders, cost %.1f units; object calls: %d reads, %d writes, %d watches",
		starts, stops, calls.Cost, calls.Reads, calls.Writes, calls.Watches)
}

func runOf(versions []uint64) string {
	var names []string
	for _, version := range versions {
		names = append(names, strconv.FormatUint(version, 10))
	}
	return strings.Join(names, "+")
}
