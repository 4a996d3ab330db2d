package config

import (
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Origin says where a setting's value came from.
type Origin struct {
	File string
	Line int
}

// Loaded is what the base file and the overlay give together. Origins is indexed by "section.key"
// and has no entry for a setting that was left at its default.
type Loaded struct {
	Process Process
	Site    *Site
	Origins map[string]Origin
}

// Load reads the base file and then the overlay, whose values win; overlay may be "".
// It returns every problem of the site's settings and of the files at once. The settings of the
// process are checked for their form here and for their presence by CheckProcess.
// It may be called concurrently.
func Load(base, overlay string) (*Loaded, Problems) {
	l := &Loaded{
		Process: Process{LogLevel: defaultLogLevel},
		Site:    Defaults(),
		Origins: map[string]Origin{},
	}
	problems := l.readFile(base)
	if overlay != "" {
		problems = append(problems, l.readFile(overlay)...)
	}
	problems = append(problems, l.checkGiven()...)
	problems = append(problems, l.locate(l.Site.Problems())...)
	return l, problems
}

// CheckProcess returns the problems of the settings that a daemon needs, missing ones included.
func (l *Loaded) CheckProcess() Problems {
	return l.locate(check("Host", "Host", reflect.ValueOf(l.Process)))
}

// checkGiven checks only those process settings that some file gives, since figctl needs none.
func (l *Loaded) checkGiven() Problems {
	var given Problems
	for _, p := range l.CheckProcess() {
		if p.File != "" {
			given = append(given, p)
		}
	}
	return given
}

// locate adds the files and lines of the refused values.
func (l *Loaded) locate(problems Problems) Problems {
	for i, p := range problems {
		o := l.Origins[p.Section+"."+p.Key]
		problems[i].File = o.File
		problems[i].Line = o.Line
	}
	return problems
}

func (l *Loaded) readFile(file string) Problems {
	settings, problems := read(file)
	for _, s := range settings {
		if p, ok := l.set(s); !ok {
			problems = append(problems, p)
		}
	}
	return problems
}

// set stores one setting, or returns the problem with it.
func (l *Loaded) set(s setting) (Problem, bool) {
	p := Problem{File: s.file, Line: s.line, Section: s.section, Key: s.key, Value: s.value}
	kind, target, store := l.target(s.section)
	if store == nil {
		p.Key = ""
		p.Allowed = "no such section; " + sectionsAllowed()
		return p, false
	}
	r, known := rules[kind+"."+s.key]
	if !known {
		p.Allowed = "no such key; one of " + strings.Join(keysOf(kind), ", ")
		return p, false
	}
	if !parse(target.FieldByName(s.key), s.value) {
		p.Allowed = r.allowed
		return p, false
	}
	store()
	l.Origins[s.section+"."+s.key] = Origin{File: s.file, Line: s.line}
	return Problem{}, true
}

// target returns a section's kind, the struct to set and what stores it; store is nil for an unknown section.
func (l *Loaded) target(section string) (kind string, target reflect.Value, store func()) {
	kind, title, titled := strings.Cut(section, " ")
	site := l.Site
	switch {
	case kind == "Host" && !titled:
		return kind, reflect.ValueOf(&l.Process).Elem(), func() {}
	case titled && !name.MatchString(title):
		return kind, target, nil
	case titled && kind == "Organisation":
		return entry(kind, site.Organisations, title, freshOrganisation(title))
	case titled && kind == "Route":
		return entry(kind, site.Routes, title, freshRoute(title, site.Limits))
	case titled && kind == "Rollout":
		return entry(kind, site.Rollouts, title, freshRollout(title))
	case titled && kind == "Zone":
		return entry(kind, site.Zones, title, DefaultZone(title))
	}
	for _, k := range plainSections {
		if k == section {
			return k, reflect.ValueOf(site).Elem().FieldByName(k), func() {}
		}
	}
	return kind, target, nil
}

// entry finds or makes the entry of a named section.
func entry[T any](kind string, all map[string]T, title string, fresh T) (string, reflect.Value, func()) {
	e, ok := all[title]
	if !ok {
		e = fresh
	}
	return kind, reflect.ValueOf(&e).Elem(), func() { all[title] = e }
}

// parse stores text in a field and reports whether it has the field's form; else the field keeps its value.
func parse(field reflect.Value, text string) bool {
	switch field.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		return err == nil && assign(field, d)
	case bool:
		return (text == "true" || text == "false") && assign(field, text == "true")
	case int, int64:
		n, err := strconv.ParseInt(text, 10, 64)
		return err == nil && assign(field, n)
	case float64:
		f, err := strconv.ParseFloat(text, 64)
		return err == nil && assign(field, f)
	}
	return assign(field, text)
}

func assign(field reflect.Value, value any) bool {
	field.Set(reflect.ValueOf(value).Convert(field.Type()))
	return true
}

func keysOf(kind string) []string {
	var keys []string
	for k := range rules {
		if section, key, _ := strings.Cut(k, "."); section == kind {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func sectionsAllowed() string {
	return "one of Host, " + strings.Join(plainSections, ", ") +
		", Organisation NAME, Route NAME, Rollout ORGANISATION, Zone NAME"
}
