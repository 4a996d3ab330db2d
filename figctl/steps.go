package main

import (
	"slices"
	"strconv"
	"time"
)

// minPacedEvents is the number of events from which on a run tells how fast an engine generates.
const minPacedEvents = 30

// cause names a part of the time between a job's submission and its end.
type cause string

const (
	causeStore    cause = "Store"    // until the job was stored
	causeSlot     cause = "Slot"     // until the closing item was first sent to an engine
	causeRun      cause = "Run"      // generation at the pace of the fastest engines
	causeSlow     cause = "Slow"     // generation beyond that: slow or crowded engines, and prompts that were read again
	causeRefused  cause = "Refused"  // from a run that an engine refused to the next one
	causeMoved    cause = "Moved"    // from a run that was stopped, cut or silent to the next one
	causeTakeover cause = "Takeover" // the same, while another host took the job over
	causeList     cause = "List"     // until the closing result was scored and listed
	causeRead     cause = "Read"     // until the caller ended the job
)

var causes = []cause{causeStore, causeSlot, causeRun, causeSlow, causeRefused, causeMoved, causeTakeover, causeList, causeRead}

// stepRun is one run of an item on an engine.
type stepRun struct {
	sent, ended time.Time // ended is zero for a run whose end is not logged
	engine      string
	others      string // runs that the engine had besides this one, "" when not logged
	from        int    // events held before the run
	events      int    // events held after it
	reason      string // "" for a whole text
}

type stepItem struct {
	id    string
	group string
	runs  []stepRun
	done  time.Time // when its text was whole, zero if it never was
}

// step is a batch job as the logs of all hosts show it.
type step struct {
	job       string
	submitted time.Time
	kept      time.Time
	ended     time.Time
	target    int             // groups that the caller waits for, 0 when unknown
	again     map[string]bool // groups with an item of an earlier job, which the caller waits for in any case
	items     map[string]*stepItem
	order     []*stepItem // in the order in which they were first sent
	listed    []time.Time
	taken     []time.Time
}

// collectSteps returns the jobs of which an item was sent, in the order of their submission.
func collectSteps(lines []logLine) []*step {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	byJob := map[string]*step{}
	firstJob := map[string]string{} // of an item
	var steps []*step
	for _, l := range sorted {
		id := l.field("Job")
		if id == "" {
			continue
		}
		s := byJob[id]
		if s == nil {
			s = &step{job: id, items: map[string]*stepItem{}, again: map[string]bool{}}
			byJob[id] = s
			steps = append(steps, s)
		}
		s.add(l)
		if item := l.field("Item"); l.event == "ItemSent" && firstJob[item] == "" {
			firstJob[item] = id
		} else if l.event == "ItemSent" && firstJob[item] != id {
			s.again[l.field("Group")] = true
		}
	}
	return slices.DeleteFunc(steps, func(s *step) bool { return len(s.order) == 0 })
}

func (s *step) add(l logLine) {
	switch l.event {
	case "JobKept":
		if s.kept.IsZero() && l.field("Kind") == "" {
			s.kept = l.timestamp
			s.submitted = l.timestamp.Add(-time.Duration(l.number("TookMS")) * time.Millisecond)
			s.target = l.number("Target")
		}
	case "ItemSent":
		it := s.item(l)
		it.runs = append(it.runs, stepRun{sent: l.timestamp, engine: l.field("Endpoint"), others: l.field("Others"), from: l.number("From")})
	case "ItemEnded":
		s.endRun(l)
	case "Listed":
		s.listed = append(s.listed, l.timestamp)
	case "JobTaken":
		if l.field("Kind") == "" {
			s.taken = append(s.taken, l.timestamp)
		}
	case "JobEnd":
		if s.ended.IsZero() && l.field("Kind") == "" {
			s.ended = l.timestamp
		}
	}
}

func (s *step) item(l logLine) *stepItem {
	id := l.field("Item")
	it := s.items[id]
	if it == nil {
		it = &stepItem{id: id, group: l.field("Group")}
		s.items[id] = it
		s.order = append(s.order, it)
	}
	return it
}

// endRun ends the last run of an item on the engine that the line names. Only the first whole text of an item counts.
func (s *step) endRun(l logLine) {
	it := s.items[l.field("Item")]
	if it == nil || !it.done.IsZero() {
		return
	}
	for i := len(it.runs) - 1; i >= 0; i-- {
		r := &it.runs[i]
		if !r.ended.IsZero() || r.engine != l.field("Endpoint") {
			continue
		}
		r.ended, r.events, r.reason = l.timestamp, l.number("Events"), l.field("Reason")
		if r.reason == "" {
			it.done = l.timestamp
		}
		return
	}
}

// start is when the job was submitted, or when its first item was sent if the logs do not tell.
func (s *step) start() time.Time {
	if s.submitted.IsZero() {
		return s.order[0].runs[0].sent
	}
	return s.submitted
}

// closing returns the item that let the caller go on: the one that completed as many groups as the caller waits for,
// and all that come again. It returns the last item that was whole before the job ended when the logs tell of fewer whole groups, since they lack
// lines that a host suppressed, and nil when no item was whole.
func (s *step) closing() *stepItem {
	whole := s.itemsByEnd()
	if len(whole) == 0 {
		return nil
	}
	last := whole[len(whole)-1]
	if s.target == 0 || last.group == "" {
		return last
	}
	open := map[string]int{}
	for _, it := range s.order {
		open[it.group]++
	}
	groups, againLeft := 0, len(s.again)
	for _, it := range whole {
		if open[it.group]--; open[it.group] > 0 {
			continue
		}
		groups++
		if s.again[it.group] {
			againLeft--
		}
		if groups >= s.target && againLeft == 0 {
			return it
		}
	}
	return last
}

// itemsByEnd returns the items whose texts were whole before the job ended, in that order.
func (s *step) itemsByEnd() []*stepItem {
	var whole []*stepItem
	for _, it := range s.order {
		if !it.done.IsZero() && (s.ended.IsZero() || !it.done.After(s.ended)) {
			whole = append(whole, it)
		}
	}
	slices.SortStableFunc(whole, func(a, b *stepItem) int { return a.done.Compare(b.done) })
	return whole
}

// chain divides the time from the job's submission to its end by cause, along the runs of its closing item. gap is the
// time between two events on a fast engine, 0 when unknown.
func (s *step) chain(it *stepItem, gap time.Duration) map[cause]time.Duration {
	spent := map[cause]time.Duration{}
	at := s.start()
	pass := func(c cause, until time.Time) {
		if until.After(at) {
			spent[c] += until.Sub(at)
			at = until
		}
	}
	pass(causeStore, earlier(s.kept, it.runs[0].sent))
	why := causeSlot
	for i, r := range it.runs {
		if s.takenBetween(at, r.sent) {
			why = causeTakeover
		}
		pass(why, r.sent)
		if r.ended.IsZero() { // its host ended; the next run tells which events it had generated
			if i+1 < len(it.runs) {
				pass(causeRun, r.sent.Add(gap*time.Duration(max(0, it.runs[i+1].from-r.from))))
			}
			why = causeMoved
			continue
		}
		if r.reason == "Refused" {
			why = causeRefused
			pass(why, r.ended)
			continue
		}
		pass(causeRun, earlier(r.ended, r.sent.Add(gap*time.Duration(max(0, r.events-r.from)))))
		pass(causeSlow, r.ended)
		why = causeMoved
	}
	for _, t := range s.listed {
		if !t.Before(it.done) {
			pass(causeList, t)
			break
		}
	}
	pass(causeRead, s.ended)
	return spent
}

// earlier returns the earlier of two times, b when a is unknown.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (s *step) takenBetween(from, to time.Time) bool {
	return slices.ContainsFunc(s.taken, func(t time.Time) bool { return t.After(from) && !t.After(to) })
}

// fastGap returns the time between two events that a twentieth of the runs do not exceed, 0 when no run is long enough.
func fastGap(steps []*step) time.Duration {
	var gaps []time.Duration
	for _, s := range steps {
		for _, it := range s.order {
			for _, r := range it.runs {
				if n := r.events - r.from; !r.ended.IsZero() && n >= minPacedEvents {
					gaps = append(gaps, r.ended.Sub(r.sent)/time.Duration(n))
				}
			}
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/20]
}

// number returns a field as a number, 0 when it is missing or none.
func (l *logLine) number(key string) int {
	n, err := strconv.Atoi(l.field(key))
	if err != nil {
		return 0
	}
	return n
}
