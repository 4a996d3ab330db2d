package config

import (
	"fmt"
	"strings"
)

// Problem is one setting that is refused. File and Line are empty for a value that came from no file.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	Value   string
	Allowed string
}

// String returns the problem on one line.
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

// Problems is every problem of a configuration in the order of its sections; it is empty for a valid one.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "\n")
}
