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

// lineMost bounds one line of a log in bytes.
const lineMost = 1 << 20

// contextEvents are what a host believes of the others; they explain a request's lines without naming it.
var contextEvents = map[string]bool{
	"StoreLost": true, "StoreBack": true, "StoreWay": true, "HostLost": true, "Readiness": true, "Started": true, "StopAsked": true,
	"DutyGained": true, "DutyLost": true, "EndpointGone": true, "ConfigInForce": true, "VersionNamed": true, "VersionOrdered": true,
	"VersionRefused": true, "ListAgain": true, "LinesDropped": true, "DrainCut": true,
}

func explainCommand(o output, stdin io.Reader) *command {
	files := filesFlag{}
	return &command{
		output:   o,
		name:     "explain",
		synopsis: "print all hosts' log lines of a request, a batch job or an item in order of time, and what ended it",
		example:  "figctl explain --id 9c41d07be2a35f68 --files host1.log,host2.log",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&files.id, "id", "", "the `id` of the request, job or item")
			f.StringVar(&files.names, "files", "", "log `files`, separated by commas; standard input when empty")
		},
		run: func(_ context.Context, _ []string) error { return files.explain(o.out, stdin) },
	}
}

type filesFlag struct{ id, names string }

func (f *filesFlag) explain(out io.Writer, stdin io.Reader) error {
	if f.id == "" {
		return kinds.New(kinds.BadRequest, "name an --id")
	}
	lines, err := f.read(stdin)
	if err != nil {
		return err
	}
	story := tell(f.id, lines)
	if len(story.own) == 0 {
		return kinds.New(kinds.NotFound, "no line has the id %s; a host may have held lines back (Held=, Event=LinesDropped)", f.id)
	}
	story.print(out)
	return nil
}

func (f *filesFlag) read(stdin io.Reader) ([]logLine, error) {
	if f.names == "" {
		return readLines(stdin)
	}
	var all []logLine
	for name := range strings.SplitSeq(f.names, ",") {
		file, err := os.Open(name)
		if err != nil {
			return nil, kinds.New(kinds.BadRequest, "%v", err)
		}
		lines, err := readLines(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// logLine is one line of a daemon's log.
type logLine struct {
	at     time.Time
	event  string
	host   string
	fields []string // key=value, in the line's order
}

// readLines returns the lines that are a daemon's; text before Time= is passed over.
func readLines(r io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineMost)
	var all []logLine
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			all = append(all, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, kinds.New(kinds.BadRequest, "reading the log: %v", err)
	}
	return all, nil
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
	l.at = at
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

func (l *logLine) get(key string) string {
	for _, f := range l.fields {
		if k, v, _ := strings.Cut(f, "="); k == key {
			return v
		}
	}
	return ""
}

// names reports whether the line is of an id.
func (l *logLine) names(id string) bool {
	return l.get("Request") == id || l.get("Job") == id || l.get("Item") == id || l.get("Order") == id
}

// story is what the lines tell of an id.
type story struct {
	id      string
	own     []logLine
	context []logLine // what the same hosts believed meanwhile
}

func tell(id string, lines []logLine) story {
	s := story{id: id}
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.names(id) {
			s.own = append(s.own, l)
			hosts[l.host] = true
		}
	}
	byTime := func(a, b logLine) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(s.own, byTime)
	if len(s.own) == 0 {
		return s
	}
	const around = 5 * time.Second // what happened shortly before may explain the first line
	from, to := s.own[0].at.Add(-around), s.own[len(s.own)-1].at.Add(time.Second)
	for _, l := range lines {
		if hosts[l.host] && contextEvents[l.event] && !l.at.Before(from) && !l.at.After(to) {
			s.context = append(s.context, l)
		}
	}
	slices.SortStableFunc(s.context, byTime)
	return s
}

func (s story) print(out io.Writer) {
	began := s.own[0].at
	printLines(out, "lines", began, s.own)
	printLines(out, "meanwhile", began, s.context)
	fmt.Fprintf(out, "story: %s\n", s.cause())
}

func printLines(out io.Writer, title string, began time.Time, lines []logLine) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(out, "%s:\n", title)
	for _, l := range lines {
		fmt.Fprintf(out, "  %+8.3fs %s %s %s\n", l.at.Sub(began).Seconds(), l.host, l.event, strings.Join(l.fields, " "))
	}
}

// cause says in one line how the id ended and what came before.
func (s story) cause() string {
	counts := map[string]int{}
	var order []string
	last := s.own[len(s.own)-1]
	for _, l := range s.own {
		why := reasonOf(l)
		if why == "" {
			continue
		}
		if counts[why] == 0 {
			order = append(order, why)
		}
		counts[why]++
	}
	text := fmt.Sprintf("%s ended %.3f s after its first line with %s", s.id, last.at.Sub(s.own[0].at).Seconds(), last.event)
	if kind := last.get("Kind"); kind != "" {
		text += " (" + kind + ")"
	}
	if len(order) == 0 {
		return text + "; nothing failed"
	}
	for i, why := range order {
		order[i] = fmt.Sprintf("%s %d times", why, counts[why])
	}
	return text + "; before it: " + strings.Join(order, ", ")
}

// reasonOf returns what a line tells of a failure, "" for none.
func reasonOf(l logLine) string {
	reason := l.get("Reason")
	if reason == "" {
		reason = l.get("Kind")
	}
	if reason == "" || l.event == "Listed" {
		return ""
	}
	if endpoint := l.get("Endpoint"); endpoint != "" {
		return l.event + " " + reason + " at " + endpoint
	}
	return l.event + " " + reason
}
