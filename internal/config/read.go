package config

import (
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// options keep values as written: no continuation lines, and a comment behind a value starts after a space.
var options = ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}

// setting is one key of one file with its place.
type setting struct {
	file    string
	line    int
	section string
	key     string
	value   string
}

// read returns a file's settings in order.
func read(file string) ([]setting, Problems) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{{File: file, Section: "file", Allowed: err.Error()}}
	}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, Problems{{File: file, Section: "file", Allowed: err.Error()}}
	}
	lines, problems := index(file, string(text))
	var settings []setting
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if len(s.Keys()) == 0 {
			settings, problems = noKeys(settings, problems, file, lines, s.Name())
		}
		for _, k := range s.Keys() {
			line := lines[s.Name()+"."+k.Name()]
			settings = append(settings, setting{file: file, line: line, section: s.Name(), key: k.Name(), value: k.Value()})
		}
	}
	return settings, problems
}

// noKeys refuses a section that sets nothing, which is a slip more often than a wish.
func noKeys(settings []setting, problems Problems, file string, lines map[string]int, section string) ([]setting, Problems) {
	p := Problem{File: file, Line: lines[section], Section: section, Allowed: "at least one key"}
	return settings, append(problems, p)
}

// index returns the line of each section and of each "section.key", and the keys that are given twice.
func index(file, text string) (map[string]int, Problems) {
	lines := map[string]int{}
	var problems Problems
	section := ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		if end := strings.LastIndexByte(line, ']'); line[0] == '[' && end > 0 {
			section = strings.TrimSpace(line[1:end])
			lines[section] = i + 1
			continue
		}
		key, value, _ := strings.Cut(line, "=")
		at := section + "." + strings.TrimSpace(key)
		if lines[at] > 0 {
			problems = append(problems, Problem{
				File: file, Line: i + 1, Section: section, Key: strings.TrimSpace(key),
				Value: strings.TrimSpace(value), Allowed: "each key once in a file",
			})
		}
		lines[at] = i + 1
	}
	return lines, problems
}
