// Package usage accounts the tokens of each organisation in windows of time and reports each window to the platform
// once. Each daemon's Counter sends its counts as deltas to the Holder, which folds them into a stored Ledger, closes
// the windows and reports them.
package usage

import (
	"sort"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// WindowAt returns the number of the window that contains a time since the Unix epoch. Windows are numbered from 0 at
// the epoch.
func WindowAt(unix, length time.Duration) uint64 {
	if unix < 0 || length <= 0 {
		return 0
	}
	return uint64(unix / length)
}

// AddFigure adds f to the figure of its organisation, inserting it if there is none, and returns figures. They stay
// sorted by organisation.
func AddFigure(figures []wire.UsageFigure, f wire.UsageFigure) []wire.UsageFigure {
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

// addAll adds every figure to dst; with late set, their tokens are also counted as late tokens.
func addAll(dst, figures []wire.UsageFigure, late bool) []wire.UsageFigure {
	for _, f := range figures {
		if late {
			f.LateTokens = f.PromptTokens + f.GeneratedTokens
		}
		dst = AddFigure(dst, f)
	}
	return dst
}
