package config

import (
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// iniOptions keep values as written: no continuation lines, and a comment after a value must follow a space.
var iniOptions = ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}

// fileSetting is one key of one file, with its position.
type fileSetting struct {
	file    string
	line    int
	section string
	key     string
	value   string
}

// readSettings returns a file's settings in order.
func readSettings(file string) ([]fileSetting, Problems) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{{File: file, Section: "file", Allowed: err.Error()}}
	}
	parsed, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return nil, Problems{{File: file, Section: "file", Allowed: err.Error()}}
	}
	lines, problems := indexLines(file, string(text))
	var settings []fileSetting
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if len(s.Keys()) == 0 {
			settings, problems = refuseEmptySection(settings, problems, file, lines, s.Name())
		}
		for _, k := range s.Keys() {
			line := lines[s.Name()+"."+k.Name()]
			settings = append(settings, fileSetting{file: file, line: line, section: s.Name(), key: k.Name(), value: k.Value()})
		}
	}
	return settings, problems
}

// refuseEmptySection adds a problem for a section without keys, which is more likely a mistake than intended.
func refuseEmptySection(settings []fileSetting, problems Problems, file string, lines map[string]int, section string) ([]fileSetting, Problems) {
	p := Problem{File: file, Line: lines[section], Section: section, Allowed: "at least one key"}
	return settings, append(problems, p)
}

// indexLines returns the line of each section and of each "section.key", and a problem for each duplicate key.
func indexLines(file, text string) (map[string]int, Problems) {
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
