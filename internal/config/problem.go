package config

import (
	"fmt"
	"strings"
)

// Problem is one rejected setting. File and Line are empty for a value that did not come from a file.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	Value   string
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	at := "default"
	if p.File != "" {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", at, p.Section, p.Allowed)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", at, p.Section, p.Key, p.Value, p.Allowed)
}

// Problems lists the problems of a configuration in the order of its sections. It is empty for a valid configuration.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "\n")
}
