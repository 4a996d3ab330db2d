// Package usage counts the tokens of each organisation by window and reports each window once.
package usage

import (
	"sort"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// WindowAt returns the number of the window that holds a wall-clock time, counted from the Unix epoch.
func WindowAt(unix, length time.Duration) uint64 {
	if unix < 0 || length <= 0 {
		return 0
	}
	return uint64(unix / length)
}

// Add adds a figure to the one of its organisation in figures, which stay sorted by organisation.
func Add(figures []wire.UsageFigure, f wire.UsageFigure) []wire.UsageFigure {
	i := sort.Search(len(figures), func(i int) bool { return figures[i].Organisation >= f.Organisation })
	if i == len(figures) || figures[i].Organisation != f.Organisation {
		figures = append(figures, wire.UsageFigure{})
		copy(figures[i+1:], figures[i:])
		figures[i] = f
		return figures
	}
	figures[i].Requests += f.Requests
	figures[i].PromptTokens += f.PromptTokens
	figures[i].CachedTokens += f.CachedTokens
	figures[i].GeneratedTokens += f.GeneratedTokens
	figures[i].LateTokens += f.LateTokens
	return figures
}

// addAll adds every figure, as late ones when late is set.
func addAll(into, figures []wire.UsageFigure, late bool) []wire.UsageFigure {
	for _, f := range figures {
		if late {
			f.LateTokens = f.PromptTokens + f.GeneratedTokens
		}
		into = Add(into, f)
	}
	return into
}
