package demo

import (
	"strconv"
	"strings"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// counted is the usage of one organisation, as counted by the load generator or as stated in the usage reports.
type counted struct {
	Requests, Prompt, Cached, Generated uint64
}

// checkResults checks the results of the run and logs them.
func (d *Demo) checkResults() {
	d.console.Logf("waiting until all usage windows are reported")
	d.checkUsage(north, "North.Generate")
	d.checkUsage(south, "South.Generate")
	d.checkWindows()
	d.checkCallers()
	d.checkTrainer()
	d.checkEndpoints()
}

// checkUsage compares an organisation's reported usage with that counted by the load generator.
func (d *Demo) checkUsage(organisation, source string) {
	r := d.loadReport.ResultOf(source)
	want := counted{
		Requests: uint64(r.Whole), Prompt: uint64(r.PromptTokens), Cached: uint64(r.CachedTokens),
		Generated: uint64(r.Tokens - r.PromptTokens),
	}
	matches := proc.Poll(usageReportTimeout, func() bool { return d.reportedUsage(organisation) == want })
	got := d.reportedUsage(organisation)
	if !matches {
		d.console.Errorf("usage of %s: reported %+v, counted by the load generator %+v", organisation, got, want)
		return
	}
	d.console.Logf("usage of %s: %d requests, %d prompt tokens (%d cached), %d generated tokens, equal to the load generator's counts",
		organisation, got.Requests, got.Prompt, got.Cached, got.Generated)
}

// reportedUsage returns the sum of an organisation's usage over all windows. A window that was reported repeatedly counts
// once.
func (d *Demo) reportedUsage(organisation string) counted {
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

// checkWindows checks that all reports of the same window are equal.
func (d *Demo) checkWindows() {
	first := map[uint64]wire.UsageReport{}
	reports := d.cluster.Calls().Reports
	for _, report := range reports {
		earlier, ok := first[report.Window]
		if !ok {
			first[report.Window] = report
			continue
		}
		if earlier.ReportID != report.ReportID || !equalFigures(earlier.Figures, report.Figures) {
			d.console.Errorf("usage window %d was reported with different figures", report.Window)
		}
	}
	d.console.Logf("usage windows: %d reported in %d reports, none with different figures", len(first), len(reports))
}

func equalFigures(a, b []wire.UsageFigure) bool {
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

// checkCallers checks that each request was either answered completely or refused, that each refusal that may be retried
// has a Retry-After header, that no write ran twice, and that no endpoint received a key.
func (d *Demo) checkCallers() {
	for _, r := range d.loadReport.Results {
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		if r.Sent == 0 || r.Whole+refused != r.Sent || r.NoRetryAfter > 0 {
			d.console.Errorf("load source %s has requests that were neither answered nor refused, or refusals without Retry-After: %v", r.Name, r)
		}
	}
	for id, n := range d.cluster.Endpoints["service-1"].Received().Runs {
		if n > 1 && strings.HasPrefix(id, south) {
			d.console.Errorf("the write %s ran %d times", id, n)
		}
	}
	if leaks := d.countKeyLeaks(); leaks > 0 {
		d.console.Errorf("%d requests to endpoints contained a key", leaks)
	}
	d.console.Logf("no write ran twice; no endpoint received a key")
}

func (d *Demo) countKeyLeaks() int {
	leaks := 0
	for name, e := range d.cluster.Endpoints {
		if strings.HasPrefix(name, "scorer") {
			continue
		}
		record := e.Received()
		for _, organisation := range []string{north, south, trainers} {
			leaks += len(record.Contains(d.cluster.Key(organisation)))
		}
	}
	return leaks
}

func (d *Demo) checkTrainer() {
	t := d.trainerSummary
	for _, problem := range t.Problems {
		d.console.Errorf("trainer: %s", problem)
	}
	if used := d.reportedUsage(trainers); used.Requests < uint64(t.Samples) {
		d.console.Errorf("usage of %s: %d requests reported, %d samples delivered", trainers, used.Requests, t.Samples)
	}
	d.console.Logf("trainer: %d lots, %d samples, each delivered once; oldest sample %d versions old (maximum %d); newest version %d; idle %d ms of %d ms",
		t.Lots, t.Samples, t.Staleness, maxStaleness, t.Published, t.Idle.Milliseconds(), t.Took.Milliseconds())
}

// checkEndpoints checks that no two holders of a duty gave orders in the same epoch and that an endpoint was ordered, and
// logs the numbers of orders and calls, and the cost.
func (d *Demo) checkEndpoints() {
	calls := d.cluster.Calls()
	holders := map[string]string{}
	starts, stops := 0, 0
	ids := map[string]bool{}
	for _, o := range calls.Orders {
		epoch := o.Duty + "/" + strconv.FormatUint(o.Epoch, 10)
		if holder, ok := holders[epoch]; ok && holder != o.Holder {
			d.console.Errorf("orders of duty and epoch %s came from both %s and %s", epoch, holder, o.Holder)
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
		d.console.Errorf("no endpoint was ordered, although availability zone a has one engine too few")
	}
	d.console.Logf("endpoints: %d start orders, %d stop orders, cost %.1f units; calls of the object API: %d reads, %d writes, %d watches",
		starts, stops, calls.Cost, calls.Reads, calls.Writes, calls.Watches)
}

func joinVersions(versions []uint64) string {
	var names []string
	for _, version := range versions {
		names = append(names, strconv.FormatUint(version, 10))
	}
	return strings.Join(names, "+")
}
