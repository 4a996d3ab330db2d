package config

import (
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Origin is the place that a setting's value was read from.
type Origin struct {
	File string
	Line int
}

// Loaded is the result of merging the base file and the overlay. Origins is indexed by "section.key" and has no entry
// for a setting that was left at its default.
type Loaded struct {
	Process Process
	Site    *Site
	Origins map[string]Origin
}

// Load reads the base file and then the overlay, whose values take precedence; overlay may be "". It returns all
// problems of the files and of the site's settings together. Process settings are checked here only if a file sets
// them; CheckProcess also reports missing ones. It may be called concurrently.
func Load(base, overlay string) (*Loaded, Problems) {
	l := &Loaded{
		Process: Process{LogLevel: defaultLogLevel},
		Site:    Defaults(),
		Origins: map[string]Origin{},
	}
	problems := l.mergeFile(base)
	if overlay != "" {
		problems = append(problems, l.mergeFile(overlay)...)
	}
	problems = append(problems, l.checkProcessFromFiles()...)
	problems = append(problems, l.addOrigins(l.Site.Problems())...)
	return l, problems
}

// CheckProcess returns the problems of the process settings that a daemon needs, including missing ones.
func (l *Loaded) CheckProcess() Problems {
	return l.addOrigins(checkSection("Host", "Host", reflect.ValueOf(l.Process)))
}

// checkProcessFromFiles checks only those process settings that a file sets, since figctl needs none of them.
func (l *Loaded) checkProcessFromFiles() Problems {
	var problems Problems
	for _, p := range l.CheckProcess() {
		if p.File != "" {
			problems = append(problems, p)
		}
	}
	return problems
}

// addOrigins sets the file and line of each problem whose value came from a file.
func (l *Loaded) addOrigins(problems Problems) Problems {
	for i, p := range problems {
		o := l.Origins[p.Section+"."+p.Key]
		problems[i].File = o.File
		problems[i].Line = o.Line
	}
	return problems
}

func (l *Loaded) mergeFile(file string) Problems {
	settings, problems := readSettings(file)
	for _, s := range settings {
		if p, ok := l.set(s); !ok {
			problems = append(problems, p)
		}
	}
	return problems
}

// set stores one setting, or returns the problem with it and false.
func (l *Loaded) set(s fileSetting) (Problem, bool) {
	p := Problem{File: s.file, Line: s.line, Section: s.section, Key: s.key, Value: s.value}
	kind, target, store := l.openSection(s.section)
	if store == nil {
		p.Key = ""
		p.Allowed = "no such section; " + allowedSections()
		return p, false
	}
	r, known := rules[kind+"."+s.key]
	if !known {
		p.Allowed = "no such key; one of " + strings.Join(sectionKeys(kind), ", ")
		return p, false
	}
	if !setField(target.FieldByName(s.key), s.value) {
		p.Allowed = r.allowed
		return p, false
	}
	store()
	l.Origins[s.section+"."+s.key] = Origin{File: s.file, Line: s.line}
	return Problem{}, true
}

// openSection returns a section's kind, the struct that receives its settings and a function that stores this struct;
// store is nil for an unknown section.
func (l *Loaded) openSection(section string) (kind string, target reflect.Value, store func()) {
	kind, name, hasName := strings.Cut(section, " ")
	site := l.Site
	switch {
	case kind == "Host" && !hasName:
		return kind, reflect.ValueOf(&l.Process).Elem(), func() {}
	case hasName && !namePattern.MatchString(name):
		return kind, target, nil
	case hasName && kind == "Organisation":
		return openNamedSection(kind, site.Organisations, name, defaultOrganisation(name))
	case hasName && kind == "Route":
		return openNamedSection(kind, site.Routes, name, defaultRoute(name, site.Limits))
	case hasName && kind == "Rollout":
		return openNamedSection(kind, site.Rollouts, name, defaultRolloutLimits(name))
	case hasName && kind == "Zone":
		return openNamedSection(kind, site.Zones, name, DefaultZone(name))
	}
	for _, k := range unnamedSections {
		if k == section {
			return k, reflect.ValueOf(site).Elem().FieldByName(k), func() {}
		}
	}
	return kind, target, nil
}

// openNamedSection is openSection for a named section: it takes the existing entry, or initial if there is none.
func openNamedSection[T any](kind string, sections map[string]T, name string, initial T) (string, reflect.Value, func()) {
	e, ok := sections[name]
	if !ok {
		e = initial
	}
	return kind, reflect.ValueOf(&e).Elem(), func() { sections[name] = e }
}

// setField stores text in a field and reports whether the text has the right form; if not, the field is unchanged.
func setField(field reflect.Value, text string) bool {
	switch field.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		return err == nil && assignConverted(field, d)
	case bool:
		return (text == "true" || text == "false") && assignConverted(field, text == "true")
	case int, int64:
		n, err := strconv.ParseInt(text, 10, 64)
		return err == nil && assignConverted(field, n)
	case float64:
		f, err := strconv.ParseFloat(text, 64)
		return err == nil && assignConverted(field, f)
	}
	return assignConverted(field, text)
}

func assignConverted(field reflect.Value, value any) bool {
	field.Set(reflect.ValueOf(value).Convert(field.Type()))
	return true
}

func sectionKeys(kind string) []string {
	var keys []string
	for k := range rules {
		if section, key, _ := strings.Cut(k, "."); section == kind {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func allowedSections() string {
	return "one of Host, " + strings.Join(unnamedSections, ", ") +
		", Organisation NAME, Route NAME, Rollout ORGANISATION, Zone NAME"
}
