package soak

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// Figures are the results of one run that a report shows.
type Figures struct {
	Seed    uint64
	Kept    bool // whether no violation was found
	Faults  int
	Calls   int
	Served  int
	CallMS  []float64 // latency of each served call in milliseconds
	JobMS   []float64 // milliseconds from each job's acceptance to the read that returned its last missing result
	Reports int
}

// FiguresOf computes the figures of a run from its history.
func FiguresOf(s Soak, h History, kept bool) Figures {
	f := Figures{Seed: s.Seed, Kept: kept, Faults: len(h.Spans), Calls: len(h.Calls), Reports: len(h.Reports)}
	for _, c := range h.Calls {
		if c.Status == http.StatusOK {
			f.Served++
			f.CallMS = append(f.CallMS, float64(c.Ended.Sub(c.Sent).Milliseconds()))
		}
	}
	for _, j := range h.Jobs {
		if ms, ok := jobLatencyMS(h, j); ok {
			f.JobMS = append(f.JobMS, ms)
		}
	}
	return f
}

// jobLatencyMS returns the milliseconds from a job's acceptance to the read that returned its last missing result. It
// returns false if the job was not accepted or results are missing.
func jobLatencyMS(h History, j Job) (float64, bool) {
	seen := map[string]bool{}
	for _, r := range h.Reads {
		if r.Job != j.ID {
			continue
		}
		for _, result := range r.Results {
			seen[result.ID] = true
		}
		if len(seen) == len(j.Items) {
			return float64(r.At.Sub(j.Accepted).Milliseconds()), !j.Accepted.IsZero()
		}
	}
	return 0, false
}

// AppendFigures appends the figures of a run to a file as one line of JSON. With an empty file name it does nothing.
func AppendFigures(file string, s Soak, h History, kept bool) error {
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
		_ = f.Close() // the write's error matters more
		return errors.Wrap(err, "writing the figures")
	}
	return errors.Wrap(f.Close(), "closing the file of figures")
}
