// Package loadr is an open-loop load generator: requests start at their times whether or not earlier ones have ended,
// and latency counts from the time at which a request was due.
package loadr

import (
	"time"

	"github.com/pkg/errors"
)

// Source is one stream of like requests of one organisation.
type Source struct {
	Name         string // of the result, the organisation when empty
	Organisation string
	Key          string // "" for none
	Path         string
	Rate         float64       // requests a second
	From         time.Duration // start within the run
	Until        time.Duration // end within the run, 0 is the run's
	Model        string        // generations only
	MaxTokens    int           // a generation when over 0, else a plain call
	Prefixes     int           // prompts share one of so many heads; 0 shares none
	PromptWords  int           // words of a prompt's head
	TimeoutMS    int           // deadline that the caller gives, 0 for none
	Body         string        // plain calls only
}

// Plan is one run. Set Targets, Sources and Duration; the zero values of the rest are sound.
type Plan struct {
	Targets        []string // base URLs, used in turn
	Sources        []Source
	Duration       time.Duration
	Grace          time.Duration // after Duration, for the answers under way; 0 waits for all
	MaxRequests    int           // of all sources, 0 for the built-in bound
	MaxOutstanding int           // requests under way at once; one that is due beyond it is counted as Dropped
	Seed           uint64
	Direct         bool // Targets are endpoints: the headers that a daemon sets are set here
}

// The bounds of a run.
const (
	mostDuration       = 10 * time.Minute
	mostRequests       = 2_000_000
	defaultOutstanding = 4096
)

// check returns an error for a plan that cannot be run, and fills in the defaults.
func (p *Plan) check() error {
	if len(p.Targets) == 0 || len(p.Sources) == 0 {
		return errors.New("the plan names no target or no source")
	}
	if p.Duration <= 0 || p.Duration > mostDuration {
		return errors.Errorf("duration %v is not within %v", p.Duration, mostDuration)
	}
	for _, s := range p.Sources {
		if s.Rate <= 0 || s.Path == "" {
			return errors.Errorf("source %s has no rate or no path", s.Name)
		}
	}
	if p.MaxRequests == 0 || p.MaxRequests > mostRequests {
		p.MaxRequests = mostRequests
	}
	if p.MaxOutstanding == 0 {
		p.MaxOutstanding = defaultOutstanding
	}
	return nil
}
