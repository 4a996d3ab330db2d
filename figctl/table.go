package main

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table prints rows in columns, the first row as their heads, and nothing when there are no other rows.
func (o output) table(rows [][]string) {
	if len(rows) < 2 {
		return
	}
	w := tabwriter.NewWriter(o.out, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(dashed(row), "\t"))
	}
	_ = w.Flush()
	o.printf("\n")
}

// dashed shows empty cells, so that each row has as many words as the head.
func dashed(row []string) []string {
	cells := make([]string, len(row))
	for i, cell := range row {
		cells[i] = cell
		if cell == "" {
			cells[i] = "-"
		}
	}
	return cells
}

func number[T int | int64 | uint64](n T) string { return fmt.Sprint(n) }

func sorted[T any](all map[string]T) []string {
	names := make([]string, 0, len(all))
	for n := range all {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
