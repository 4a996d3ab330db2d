// Package loadr is an open-loop load generator: it sends each request at its scheduled time, even while earlier requests
// are outstanding, and measures latency from the scheduled time.
package loadr

import (
	"time"

	"github.com/pkg/errors"
)

// Source is a stream of similar requests of one organisation.
type Source struct {
	Name         string // name of the Result; Organisation when empty
	Organisation string
	Key          string // "" for none
	Path         string
	Rate         float64       // mean requests per second; the intervals are exponentially distributed
	From         time.Duration // start, from the start of the run
	Until        time.Duration // end, from the start of the run; 0 means the end of the run
	Model        string        // generations only
	MaxTokens    int           // tokens of a generation; 0 makes the requests plain calls
	Prefixes     int           // number of prefixes that the prompts share; with 0 each prompt has its own prefix
	PromptWords  int           // minimum number of words in the prefix of a prompt
	TimeoutMS    int           // deadline in ms that the caller sets; 0 for none
	Body         string        // plain calls only
}

// Plan describes a run. Set Targets, Sources and Duration; the zero values of the other fields are usable.
type Plan struct {
	Targets        []string // base URLs, used in turn
	Sources        []Source
	Duration       time.Duration // time in which requests are sent
	Grace          time.Duration // time after Duration to wait for outstanding responses; 0 waits for all
	MaxRequests    int           // maximum number of requests of all sources, including dropped ones; 0 for the built-in maximum
	MaxOutstanding int           // maximum number of outstanding requests; further ones are counted as Dropped
	Seed           uint64        // of the intervals and the prompts
	Direct         bool          // Targets are endpoints: send the headers that a daemon would add
}

// Limits and defaults of a run.
const (
	maxDuration           = 10 * time.Minute
	maxRequests           = 2_000_000
	defaultMaxOutstanding = 4096
)

// validate returns an error for a plan that cannot be run, and fills in the defaults.
func (p *Plan) validate() error {
	if len(p.Targets) == 0 || len(p.Sources) == 0 {
		return errors.New("the plan has no targets or no sources")
	}
	if p.Duration <= 0 || p.Duration > maxDuration {
		return errors.Errorf("duration %v must be positive and at most %v", p.Duration, maxDuration)
	}
	for _, s := range p.Sources {
		if s.Rate <= 0 || s.Path == "" {
			return errors.Errorf("source %s has no rate or no path", s.Name)
		}
	}
	if p.MaxRequests == 0 || p.MaxRequests > maxRequests {
		p.MaxRequests = maxRequests
	}
	if p.MaxOutstanding == 0 {
		p.MaxOutstanding = defaultMaxOutstanding
	}
	return nil
}
