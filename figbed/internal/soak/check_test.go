package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/estate"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func eventTexts(item string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, estate.EventDataOf(item, n, "v1"))
	}
	return strings.Join(lines, "\n")
}

// validHistory returns a history without violations: three calls of which one was refused, an accepted job of two items of
// which one was resumed on another engine, a refused job, and two usage windows.
func validHistory() History {
	run := func(server, id, path string, versions ...uint64) Run {
		return Run{Server: server, Run: estate.Run{ID: id, Path: path, Tenant: estate.Tenant, At: at(1), EventVersions: versions}}
	}
	resumed := run("engine-2", "j1-1", itemPath("j1-1"), 5)
	resumed.LastEventID = "2"
	result := func(item string, versions ...uint64) Result {
		return Result{ID: item, State: "completed", Text: eventTexts(item, 3), Versions: versions, Score: "plain-1.score-" + item}
	}
	return History{
		Started: t0, Window: usageWindow, Events: func(string) int { return 3 },
		Calls: []Call{
			{ID: "c1", Path: estate.Lookup + "c1", Key: estate.Key, Host: 1, Sent: at(1), Ended: at(1.1), Status: 200, Body: "answer of plain-1 to /lookup/c1", Stamp: "plain-1.c1"},
			{ID: "c2", Path: estate.Writes + "c2", Key: "key-1", Host: 2, Unsafe: true, Sent: at(1), Ended: at(1.1), Status: 200, Body: "answer of plain-2 to /write/c2", Stamp: "plain-2.c2"},
			{ID: "c3", Path: estate.Writes + "c3", Key: estate.Key, Host: 2, Unsafe: true, Sent: at(1), Ended: at(1.1), Status: 503},
		},
		Jobs: []Job{
			{ID: "j1", Items: []string{"j1-0", "j1-1"}, MinVersion: 4, Statuses: []int{503, 202}, Accepted: at(1)},
			{ID: "j2", Items: []string{"j2-0"}, MinVersion: 4, Statuses: []int{503, 429}},
		},
		Reads: []Read{
			{Job: "j1", Host: 1, At: at(3), Status: 200, Total: 2, Results: []Result{result("j1-0", 4), result("j1-1", 4, 5)}},
			{Job: "j1", Host: 2, At: at(4), Status: 200, After: 1, Total: 2, Results: []Result{result("j1-1", 4, 5)}},
		},
		Runs: []Run{
			run("plain-1", "c1", estate.Lookup+"c1"), run("plain-2", "c2", estate.Writes+"c2"),
			run("engine-1", "j1-0", itemPath("j1-0"), 4, 4, 4), run("engine-1", "j1-1", itemPath("j1-1"), 4, 4), resumed,
			run("plain-1", "score-j1-0", estate.Scores+"j1-0"), run("plain-1", "score-j1-1", estate.Scores+"j1-1"),
		},
		Reports: []estate.Report{
			{Window: 900_000_000, Counts: map[string]int{estate.Tenant: 2}, Holder: "host-1", Fence: 1, At: at(3)},
			{Window: 900_000_001, Counts: map[string]int{estate.Tenant: 0}, Holder: "host-2", Fence: 2, At: at(5)},
		},
		Orders:        map[string][]estate.Order{"engine-1": {{Holder: "host-1", Fence: 1}, {Holder: "host-2", Fence: 2}}},
		WithdrawnKeys: map[string]time.Time{"key-1": at(2)},
		Drains:        []Drain{{Server: "engine-1", From: at(0), To: at(6)}},
		Limits:        []Limit{{Server: "plain-1", PerSecond: 2, From: at(0), To: at(20)}},
		Arrivals:      map[string][]estate.Arrival{"plain-1": arrivals("plain-1", 17, 10)},
	}
}

// arrivals returns a number of arrivals at an instance of a server within a second, after one at the start.
func arrivals(instance string, n int, seconds float64) []estate.Arrival {
	all := []estate.Arrival{{At: at(0.5), Instance: instance}}
	for i := range n {
		all = append(all, estate.Arrival{At: at(seconds + float64(i)/float64(n)), Instance: instance})
	}
	return all
}

// addLinkCalls adds a host without links from second 10 on, and calls at it and at another one, of which some of the first
// host's are served. The calls are sent in a part of that time.
func addLinkCalls(h *History, from, to float64, served int) {
	h.Spans = append(h.Spans, Span{Fault: Fault{Kind: HostNoLinks, Target: 1}, From: at(10), To: at(16)})
	for n := range 20 {
		for host, status := range map[int]int{1: 502, 2: 200} {
			id := fmt.Sprintf("link-%d-%d", host, n)
			c := Call{ID: id, Path: estate.Lookup + id, Key: estate.Key, Host: host, Sent: at(10 + from + (to-from)*float64(n)/20), Status: status}
			if n < served {
				c.Status = 200
			}
			c.Ended = c.Sent.Add(time.Second / 10)
			if c.Status == 200 {
				c.Body, c.Stamp = "answer of plain-1 to "+c.Path, "plain-1."+id
				h.Runs = append(h.Runs, Run{Server: "plain-1", Run: estate.Run{ID: id, Path: c.Path, Tenant: estate.Tenant, At: c.Sent}})
			}
			h.Calls = append(h.Calls, c)
		}
	}
}

// addOtherText adds a run of another software version that begins item j1-1 anew before the item's last run goes on, which is of
// the version that made a number of events fewer than it goes on after.
func addOtherText(h *History, fewer int) {
	other := h.Runs[3]
	other.Software, other.EventVersions = "v2", []uint64{5}
	h.Runs[3].EventVersions = h.Runs[3].EventVersions[:3-fewer]
	h.Runs = slices.Insert(h.Runs, 4, other)
}

// addHarmfulRuns adds the crashes of three servers under a call at second 1, and further runs of the call.
func addHarmfulRuns(h *History, runs int, seconds float64) {
	const path = harmfulPath + "1"
	h.Calls = append(h.Calls, Call{ID: "harmful", Path: path, Key: estate.Key, Host: 1, Sent: at(1), Ended: at(1.1), Status: 502})
	for i := range crashLimit {
		h.Crashes = append(h.Crashes, estate.Crash{At: at(1 + float64(i)/10), Path: path})
	}
	for range runs {
		h.Runs = append(h.Runs, Run{Server: "plain-1", Run: estate.Run{ID: "harmful", Path: path, Tenant: estate.Tenant, At: at(seconds)}})
	}
}

// Each mutation of a valid history causes exactly the expected violations. The unchanged history causes none.
func TestCheckReportsViolations(t *testing.T) {
	cases := map[string]struct {
		mutate func(h *History)
		want   []string // prefixes of the violations
	}{
		"none":                    {func(*History) {}, nil},
		"requests beyond a limit": {func(h *History) { h.Arrivals["plain-1"] = arrivals("plain-1", 18, 10) }, []string{"LIMIT: plain-1 names 2 requests"}},
		"position that was read is empty": {
			func(h *History) {
				h.Reads = append(h.Reads, Read{Job: "j1", Host: 3, At: at(4.1), Status: 200, After: 1, Total: 2})
			},
			[]string{"LOST: host-3 has nothing at position 1 of job j1, which was read 1.1 s before"},
		},
		"position is empty soon after it was read": {
			func(h *History) {
				h.Reads = append(h.Reads, Read{Job: "j1", Host: 3, At: at(3.9), Status: 200, After: 1, Total: 2})
			}, nil,
		},
		"position is empty at a host that was suspended": {
			func(h *History) {
				h.Reads = append(h.Reads, Read{Job: "j1", Host: 3, At: at(4.1), Status: 200, After: 1, Total: 2})
				h.Spans = append(h.Spans, Span{Fault: Fault{Kind: HostFreeze, Target: 3}, From: at(2), To: at(3.5)})
			}, nil,
		},
		"position is empty at a host of the production build": {
			func(h *History) {
				h.Reads = append(h.Reads, Read{Job: "j1", Host: 3, At: at(4.1), Status: 200, After: 1, Total: 2})
				h.Starts = []Start{{Host: 3, At: at(0)}, {Host: 3, At: at(3), Old: true}, {Host: 3, At: at(5)}}
			}, nil,
		},
		"position is empty at a host that was upgraded": {
			func(h *History) {
				h.Reads = append(h.Reads, Read{Job: "j1", Host: 3, At: at(4.1), Status: 200, After: 1, Total: 2})
				h.Starts = []Start{{Host: 3, At: at(0), Old: true}, {Host: 3, At: at(3)}}
			}, []string{"LOST: host-3 has nothing at position 1 of job j1"},
		},
		"requests before the limit binds": {func(h *History) { h.Arrivals["plain-1"] = arrivals("plain-1", 40, 2) }, nil},
		"requests after the limit":        {func(h *History) { h.Arrivals["plain-1"] = arrivals("plain-1", 40, 20) }, nil},
		"requests to a new instance": {func(h *History) {
			h.Arrivals["plain-1"] = append(arrivals("plain-1", 10, 10), arrivals("plain-1.1", 40, 0.6)...)
		}, nil},
		"requests beyond a limit while a host is cut off": {func(h *History) {
			h.Arrivals["plain-1"] = arrivals("plain-1", 40, 10)
			h.Spans = []Span{{Fault: Fault{Kind: HostCut}, From: at(9), To: at(11)}}
		}, nil},
		"a text of two software versions": {func(h *History) { h.Runs[4].Software = "v2" }, []string{"ORDER: " + itemPath("j1-1") + " holds events of two"}},
		"a text begun anew at another version": {func(h *History) {
			h.Runs[4].Software, h.Runs[4].LastEventID, h.Runs[4].EventVersions = "v2", "", []uint64{5, 5, 5}
			h.Reads[0].Results[1].Versions, h.Reads[1].Results[0].Versions = []uint64{5}, []uint64{5}
		}, nil},
		"a text goes on after one of another version was begun": {func(h *History) { addOtherText(h, 1) }, nil},
		"a text goes on from one of another version":            {func(h *History) { addOtherText(h, 2) }, []string{"ORDER: " + itemPath("j1-1") + " holds events of two"}},
		"a listed text of two software versions": {func(h *History) {
			h.Reads[0].Results[0].Text = strings.Replace(h.Reads[0].Results[0].Text, "/3 v1", "/3 v2", 1)
		}, []string{"ORDER: the text of item j1-0 is"}},
		"a stream goes on after one of another version was begun": {func(h *History) {
			addOtherText(h, 1)
			for _, r := range h.Runs[3:6] {
				r.ID, r.Path = "s1", estate.Streams+"s1"
				h.Runs = append(h.Runs, r)
			}
			h.Calls = append(h.Calls, Call{ID: "s1", Path: estate.Streams + "s1", Key: estate.Key, Host: 1, Sent: at(1)})
		}, []string{"ORDER: " + estate.Streams + "s1 holds events of two"}},
		"a host without links serves nobody":     {func(h *History) { addLinkCalls(h, 3, 5, 0) }, []string{"RECOVER: host-1 reached no server and served 0 of 20 calls"}},
		"a host without links serves a part":     {func(h *History) { addLinkCalls(h, 3, 5, 14) }, nil},
		"calls soon after the links were lost":   {func(h *History) { addLinkCalls(h, 0, 2.9, 0) }, nil},
		"a harmful request goes on":              {func(h *History) { addHarmfulRuns(h, 4, 5) }, []string{"BUDGET: /lookup/harmful-1 ran more than 3 times"}},
		"a harmful request goes on three times":  {func(h *History) { addHarmfulRuns(h, 3, 5) }, nil},
		"a harmful request goes on for a while":  {func(h *History) { addHarmfulRuns(h, 9, 3) }, nil},
		"an unsafe request runs twice":           {func(h *History) { h.Runs = append(h.Runs, h.Runs[1]) }, []string{"TWICE: c2 ran 2 times"}},
		"a refused request runs":                 {func(h *History) { h.Calls[1].Status = 503 }, []string{"REFUSED: c2 got status 503"}},
		"a response of another request":          {func(h *History) { h.Calls[0].Body = "answer of plain-1 to /lookup/c9" }, []string{"MIXED: c1 got body"}},
		"a response without its stamp":           {func(h *History) { h.Calls[0].Stamp = "" }, []string{"MIXED: c1 got body"}},
		"a response that no server made":         {func(h *History) { h.Runs[0].Server = "plain-2" }, []string{"MIXED: c1 got body"}},
		"a run that nobody requested":            {func(h *History) { h.Runs[0].ID = "c9" }, []string{"MIXED: c1 got body", "UNASKED: plain-1 ran \"c9\"", "ONE: 2 requests were reported and 1 ran"}},
		"a run under another path":               {func(h *History) { h.Runs[0].Path = "/lookup/x" }, []string{"UNASKED: plain-1 ran \"c1\""}},
		"a key at a server":                      {func(h *History) { h.Runs[2].HasCredential = true }, []string{"UNASKED: engine-1 received an API key"}},
		"another organisation":                   {func(h *History) { h.Runs[2].Tenant = "south" }, []string{"UNASKED: engine-1 ran j1-0 for"}},
		"a withdrawn key is served":              {func(h *History) { h.Calls[1].Sent, h.Calls[1].Ended = at(6), at(6.1) }, []string{"CONFIG: c2 ran via host-2"}},
		"a withdrawn key during a disruption":    {func(h *History) { h.Calls[1].Sent, h.Calls[1].Ended = at(6), at(6.1); h.Spans = cutSpans(5, 7) }, nil},
		"a withdrawn key during planned work":    {func(h *History) { h.Calls[1].Sent, h.Calls[1].Ended = at(6), at(6.1); h.Spans = stopSpans(5, 7) }, []string{"CONFIG: c2 ran via host-2"}},
		"a graceful stop cuts a request":         {func(h *History) { h.Calls[1].Status = 0; h.Spans = stopSpans(0, 3) }, []string{"LOST: c2 ran but got no response"}},
		"an item of a refused job runs":          {func(h *History) { h.Runs[3].ID, h.Runs[3].Path = "j2-0", itemPath("j2-0") }, []string{"REFUSED: item j2-0", "VERSION: item j1-1 lists version 4, under which none", "ORDER: " + itemPath("j1-1") + " holds events of two"}},
		"an accepted job is not known":           {func(h *History) { h.Reads[1] = Read{Job: "j1", Host: 2, At: at(4), Status: 404} }, []string{"LOST: host-2 does not know"}},
		"a wrong total":                          {func(h *History) { h.Reads[1].Total = 3 }, []string{"MIXED: job j1 has 2 items"}},
		"a position changes":                     {func(h *History) { h.Reads[1].Results[0].Score = "plain-1.score-j1-0" }, []string{"TWICE: position 1 of job j1"}},
		"an item is listed at two positions":     {func(h *History) { h.Reads[1].After = 2 }, []string{"TWICE: item j1-1 is listed at positions 1 and 2"}},
		"an item of another job":                 {func(h *History) { h.Reads[0].Results[0].ID = "j2-0" }, []string{"MIXED: job j1 lists \"j2-0\""}},
		"an event is missing":                    {func(h *History) { h.Reads[0].Results[0].Text = eventTexts("j1-0", 2) }, []string{"ORDER: the text of item j1-0"}},
		"a version under which nothing was made": {func(h *History) { h.Reads[0].Results[0].Versions = []uint64{4, 6} }, []string{"VERSION: item j1-0 lists version 6"}},
		"a version is not listed": {func(h *History) {
			h.Reads[0].Results[1].Versions = []uint64{4}
			h.Reads[1].Results[0].Versions = []uint64{4}
		}, []string{"VERSION: item j1-1 does not list version 5"}},
		"no version":                                         {func(h *History) { h.Reads[0].Results[0].Versions = nil }, []string{"VERSION: item j1-0 does not list version 4"}},
		"a version older than allowed":                       {func(h *History) { h.Jobs[0].MinVersion = 5 }, []string{"VERSION: item j1-0 lists version 4, the oldest", "VERSION: item j1-1 lists version 4, the oldest"}},
		"a score of another item":                            {func(h *History) { h.Reads[0].Results[0].Score = "plain-1.score-j1-1" }, []string{"MIXED: the score"}},
		"two counts for a window":                            {func(h *History) { h.Reports[1].Window--; h.Reports[1].Counts = map[string]int{estate.Tenant: 1} }, []string{"ONE: window 900000000 was reported as"}},
		"the same counts again":                              {func(h *History) { h.Reports = append(h.Reports, h.Reports[1]) }, nil},
		"more reported than ran":                             {func(h *History) { h.Reports[1].Counts = map[string]int{estate.Tenant: 1} }, []string{"ONE: 3 requests were reported and 2 ran"}},
		"a window is reported before its end":                {func(h *History) { h.Reports[1].At = at(3) }, []string{"ONE: window 900000001 was reported 1.0 s before"}},
		"two holders of one token":                           {func(h *History) { h.Reports[1].Fence = 1 }, []string{"ONE: host-1 and host-2 reported usage"}},
		"two holders order with one token":                   {func(h *History) { h.Orders["engine-1"][1].Fence = 1 }, []string{"ONE: host-1 and host-2 sent orders to engine-1"}},
		"a token decreases":                                  {func(h *History) { h.Orders["engine-1"][1].Fence = 0 }, []string{"ONE: engine-1 accepted an order with token 0"}},
		"work reaches a draining server":                     {func(h *History) { h.Runs[2].At = at(3.5) }, []string{"DRAIN: j1-0 reached engine-1 3.5 s"}},
		"work reaches a draining server during a disruption": {func(h *History) { h.Runs[2].At = at(3.5); h.Spans = cutSpans(1, 2) }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			c.mutate(&h)
			got := CheckHistory(h)
			want := c.want
			for i := range min(len(got), len(want)) {
				if strings.HasPrefix(got[i], want[i]) {
					got[i] = want[i]
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

func cutSpans(from, to float64) []Span {
	return []Span{{Fault: Fault{Kind: HostCut, Target: 2}, From: at(from), To: at(to)}}
}

func stopSpans(from, to float64) []Span {
	return []Span{{Fault: Fault{Kind: HostStop, Target: 2}, From: at(from), To: at(to)}}
}

// Items of accepted jobs that are not listed and final calls that failed are reported at the end of a run.
func TestMissingItemsAreFound(t *testing.T) {
	h := validHistory()
	if diff := cmp.Diff([]string(nil), CheckCompleteness(h)); diff != "" {
		t.Errorf("valid history (-want +got):\n%s", diff)
	}
	h.Reads[0].Results = h.Reads[0].Results[:1]
	h.Reads = h.Reads[:1]
	if diff := cmp.Diff([]string{"LOST: item j1-1 of the accepted job j1 is not listed"}, CheckCompleteness(h)); diff != "" {
		t.Errorf("an item is missing (-want +got):\n%s", diff)
	}
	h.Calls = append(h.Calls, Call{ID: "last-1-1", Key: estate.Key, Host: 1, Status: 503})
	if diff := cmp.Diff([]string{"RECOVER: last-1-1 got status 503 from host-1 after the faults"}, failedFinalCalls(h)); diff != "" {
		t.Errorf("a final call failed (-want +got):\n%s", diff)
	}
}

// DrawFaults returns the same faults for the same seed, other faults for another seed, keeps within the ranges of each
// kind, and draws every kind in a long run.
func TestDraw(t *testing.T) {
	const hosts, servers, span = 4, 6, 10 * time.Minute
	faults := DrawFaults(7, hosts, servers, span)
	if diff := cmp.Diff(faults, DrawFaults(7, hosts, servers, span)); diff != "" {
		t.Errorf("the same seed again (-want +got):\n%s", diff)
	}
	if cmp.Equal(faults, DrawFaults(8, hosts, servers, span)) {
		t.Error("two seeds draw the same faults")
	}
	drawn := map[FaultKind]bool{}
	last := time.Duration(0)
	for _, f := range faults {
		ranges := faultRanges[f.Kind]
		drawn[f.Kind] = true
		targets := hosts
		if ranges.targetsServer {
			targets = servers
		}
		if f.Start < plannedOnlyTime {
			if !slices.Contains(plannedKinds, f.Kind) {
				t.Errorf("%s is a disruption, but starts in the period with planned work only", f)
			}
			continue
		}
		if f.Target < 1 || f.Target > targets || f.Start < last || f.Start >= span || f.Duration < ranges.minDuration || f.Duration > ranges.maxDuration || f.Amount < ranges.minAmount || f.Amount > ranges.maxAmount {
			t.Errorf("%s is outside the ranges of its kind", f)
		}
		last = f.Start
	}
	if len(drawn) != len(faultRanges) {
		t.Errorf("%d of %d kinds were drawn in %v", len(drawn), len(faultRanges), span)
	}
}
