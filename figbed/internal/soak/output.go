package soak

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// Figures are what a report shows of a seed.
type Figures struct {
	Seed    uint64
	Kept    bool // every promise was kept
	Faults  int
	Calls   int
	Served  int
	CallMS  []float64 // of the calls that were served
	JobMS   []float64 // from a job's acceptance to the reading of its last result
	Reports int
}

// FiguresOf sums a history up.
func FiguresOf(s Soak, h History, kept bool) Figures {
	f := Figures{Seed: s.Seed, Kept: kept, Faults: len(h.Spans), Calls: len(h.Calls), Reports: len(h.Reports)}
	for _, c := range h.Calls {
		if c.Status == http.StatusOK {
			f.Served++
			f.CallMS = append(f.CallMS, float64(c.Ended.Sub(c.Sent).Milliseconds()))
		}
	}
	for _, j := range h.Jobs {
		if ms, ok := wholeAfter(h, j); ok {
			f.JobMS = append(f.JobMS, ms)
		}
	}
	return f
}

// wholeAfter returns the milliseconds from a job's acceptance to the reading in which its last result was first seen.
func wholeAfter(h History, j Job) (float64, bool) {
	seen := map[string]bool{}
	for _, r := range h.Reads {
		if r.Job != j.ID {
			continue
		}
		for _, one := range r.Results {
			seen[one.ID] = true
		}
		if len(seen) == len(j.Items) {
			return float64(r.At.Sub(j.Accepted).Milliseconds()), !j.Accepted.IsZero()
		}
	}
	return 0, false
}

// Append adds the figures of a run to a file, one JSON object a line; an empty name adds nothing.
func Append(file string, s Soak, h History, kept bool) error {
	if file == "" {
		return nil
	}
	line, err := json.Marshal(FiguresOf(s, h, kept))
	if err != nil {
		return errors.Wrap(err, "encoding the figures")
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the file of figures")
	}
	if _, err := f.Write(append(line, '\n')); err != nil {
		_ = f.Close() // the write's error says more
		return errors.Wrap(err, "writing the figures")
	}
	return errors.Wrap(f.Close(), "closing the file of figures")
}
