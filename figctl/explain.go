package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/kinds"
)

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// contextEvents are the events about a host's view of the store and of the other hosts. They name no request, but may
// explain what happened to one.
var contextEvents = map[string]bool{
	"StoreLost": true, "StoreBack": true, "StoreWay": true, "HostLost": true, "Readiness": true, "Started": true, "StopAsked": true,
	"DutyGained": true, "DutyLost": true, "EndpointGone": true, "ConfigInForce": true, "VersionNamed": true, "VersionOrdered": true,
	"VersionRefused": true, "ListAgain": true, "LinesDropped": true, "DrainCut": true,
}

func explainCommand(o output, stdin io.Reader) *command {
	explain := explainFlags{}
	return &command{
		output:   o,
		name:     "explain",
		synopsis: "print the log lines of a request, a batch job or an item from all hosts in order of time, and how it ended",
		example:  "figctl explain --id 9c41d07be2a35f68 --files host1.log,host2.log",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&explain.id, "id", "", "the `id` of the request, job or item")
			f.BoolVar(&explain.steps, "steps", false, "instead of an id: for each batch job, when parts of it were done and what its time was spent on")
			f.StringVar(&explain.paths, "files", "", "log `files`, separated by commas; default standard input")
		},
		run: func(_ context.Context, _ []string) error { return explain.run(o, stdin) },
	}
}

type explainFlags struct {
	id, paths string
	steps     bool
}

func (f *explainFlags) run(o output, stdin io.Reader) error {
	if f.steps == (f.id != "") {
		return kinds.New(kinds.BadRequest, "either --id or --steps is required")
	}
	if !f.steps {
		return f.printTimeline(o.out, stdin)
	}
	lines, err := f.readLogs(stdin)
	if err != nil {
		return err
	}
	if len(collectSteps(lines)) == 0 {
		return kinds.New(kinds.NotFound, "no log line tells of an item that was sent")
	}
	printSteps(o, lines)
	return nil
}

func (f *explainFlags) printTimeline(out io.Writer, stdin io.Reader) error {
	if f.id == "" {
		return kinds.New(kinds.BadRequest, "--id is required")
	}
	lines, err := f.readLogs(stdin)
	if err != nil {
		return err
	}
	matched := newTimeline(f.id, lines)
	if len(matched.matches) == 0 {
		return kinds.New(kinds.NotFound, "no log line has the id %s; a host may have suppressed lines (Held=, Event=LinesDropped)", f.id)
	}
	matched.print(out)
	return nil
}

func (f *explainFlags) readLogs(stdin io.Reader) ([]logLine, error) {
	if f.paths == "" {
		return readLines(stdin)
	}
	var merged []logLine
	for path := range strings.SplitSeq(f.paths, ",") {
		file, err := os.Open(path)
		if err != nil {
			return nil, kinds.New(kinds.BadRequest, "%v", err)
		}
		lines, err := readLines(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		merged = append(merged, lines...)
	}
	return merged, nil
}

// logLine is one line of a daemon's log.
type logLine struct {
	timestamp time.Time
	event     string
	host      string
	fields    []string // key=value, in the order of the line
}

// readLines parses the log lines of a daemon. It skips other lines and any text before Time=.
func readLines(r io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, kinds.New(kinds.BadRequest, "reading the log: %v", err)
	}
	return lines, nil
}

func parseLine(text string) (logLine, bool) {
	_, text, found := strings.Cut(text, "Time=")
	if !found {
		return logLine{}, false
	}
	var l logLine
	stamp, rest, _ := strings.Cut(text, " ")
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", stamp)
	if err != nil {
		return l, false
	}
	l.timestamp = at
	for field := range strings.FieldsSeq(rest) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "Level":
		case "Event":
			l.event = value
		case "Daemon":
			l.host = value
		default:
			l.fields = append(l.fields, field)
		}
	}
	return l, l.event != ""
}

func (l *logLine) field(key string) string {
	for _, f := range l.fields {
		if k, v, _ := strings.Cut(f, "="); k == key {
			return v
		}
	}
	return ""
}

// concerns reports whether the line belongs to the request, job, item or order with the given id.
func (l *logLine) concerns(id string) bool {
	return l.field("Request") == id || l.field("Job") == id || l.field("Item") == id || l.field("Order") == id
}

// timeline holds the log lines of an id, in order of time.
type timeline struct {
	id      string
	matches []logLine
	context []logLine // context events of the same hosts around that time
}

func newTimeline(id string, lines []logLine) timeline {
	t := timeline{id: id}
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.concerns(id) {
			t.matches = append(t.matches, l)
			hosts[l.host] = true
		}
	}
	byTime := func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) }
	slices.SortStableFunc(t.matches, byTime)
	if len(t.matches) == 0 {
		return t
	}
	const leadTime = 5 * time.Second // an event shortly before the first line may explain it
	from, to := t.matches[0].timestamp.Add(-leadTime), t.matches[len(t.matches)-1].timestamp.Add(time.Second)
	for _, l := range lines {
		if hosts[l.host] && contextEvents[l.event] && !l.timestamp.Before(from) && !l.timestamp.After(to) {
			t.context = append(t.context, l)
		}
	}
	slices.SortStableFunc(t.context, byTime)
	return t
}

func (t timeline) print(out io.Writer) {
	start := t.matches[0].timestamp
	printLines(out, "lines", start, t.matches)
	printLines(out, "meanwhile", start, t.context)
	fmt.Fprintf(out, "story: %s\n", t.summary())
}

func printLines(out io.Writer, title string, start time.Time, lines []logLine) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(out, "%s:\n", title)
	for _, l := range lines {
		fmt.Fprintf(out, "  %+8.3fs %s %s %s\n", l.timestamp.Sub(start).Seconds(), l.host, l.event, strings.Join(l.fields, " "))
	}
}

// summary returns one line with the last event of the id and the number of failures of each sort before it.
func (t timeline) summary() string {
	counts := map[string]int{}
	var failures []string
	last := t.matches[len(t.matches)-1]
	for _, l := range t.matches {
		failure := failureOf(l)
		if failure == "" {
			continue
		}
		if counts[failure] == 0 {
			failures = append(failures, failure)
		}
		counts[failure]++
	}
	text := fmt.Sprintf("%s ended %.3f s after its first line with %s", t.id, last.timestamp.Sub(t.matches[0].timestamp).Seconds(), last.event)
	if kind := last.field("Kind"); kind != "" {
		text += " (" + kind + ")"
	}
	if len(failures) == 0 {
		return text + "; nothing failed"
	}
	for i, failure := range failures {
		failures[i] = fmt.Sprintf("%s %d times", failure, counts[failure])
	}
	return text + "; before it: " + strings.Join(failures, ", ")
}

// failureOf describes the failure that a line reports, "" when it reports none.
func failureOf(l logLine) string {
	reason := l.field("Reason")
	if reason == "" {
		reason = l.field("Kind")
	}
	if reason == "" || l.event == "Listed" {
		return ""
	}
	if endpoint := l.field("Endpoint"); endpoint != "" {
		return l.event + " " + reason + " at " + endpoint
	}
	return l.event + " " + reason
}
