package main

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
)

const columnGap = 2 // spaces

// printTable prints rows as aligned columns. The first row is the header; a header alone prints nothing.
func (o output) printTable(rows [][]string) {
	if len(rows) < 2 {
		return
	}
	w := tabwriter.NewWriter(o.out, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(fillEmptyCells(row), "\t"))
	}
	_ = w.Flush()
	o.printf("\n")
}

// fillEmptyCells replaces empty cells by "-", so that each row has as many fields as the header.
func fillEmptyCells(row []string) []string {
	filled := make([]string, len(row))
	for i, cell := range row {
		filled[i] = cell
		if cell == "" {
			filled[i] = "-"
		}
	}
	return filled
}

func formatNumber[T int | int64 | uint64](n T) string { return fmt.Sprint(n) }

func sortedKeys[T any](values map[string]T) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
