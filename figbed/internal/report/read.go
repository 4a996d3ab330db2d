// Package report plots what runs measured: the bench's journal entries and run reports, and the logs of hosts.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Series is what was read from the files of one side of a comparison.
type Series struct {
	Days   []Day
	Hosts  []Load
	Events []float64 // ms from the sending of an item to its first event
	Jobs   []float64 // ms from a job's acceptance to the listing of its last item
	Calls  []float64 // ms from the sending of a call to its answer
}

// Day is one played day of a journal entry.
type Day struct {
	Site   string
	Name   string
	Worth  float64
	Served float64
}

// Load is what the hosts of a role used on a day.
type Load struct {
	Role    string
	CPUMean float64 // processor seconds of a host
	CPUMost float64
	MBMean  float64 // greatest memory of a host
	MBMost  float64
}

// entry is the part of a journal entry that is plotted; a day's worth is called G there.
type entry struct {
	Site string `json:"site"`
	Days []struct {
		Name   string  `json:"name"`
		Worth  float64 `json:"G"`
		Served float64 `json:"served"`
	} `json:"days"`
}

// runReport is the part of a run's report that is plotted. Of holds pairs of mean and most: processor seconds first,
// then megabytes.
type runReport struct {
	Load map[string]struct {
		Of [][]float64 `json:"of"`
	} `json:"load"`
}

// The places of a runReport's pairs.
const (
	pairCPU    = 0
	pairMemory = 1
)

// soakFigures is the part of a soak's line of figures that is plotted.
type soakFigures struct {
	Seed   uint64
	CallMS []float64
	JobMS  []float64
}

// Read adds up files: journal entries, run reports, figures of soaks and logs are told apart by what they hold.
func Read(files []string) (Series, error) {
	var s Series
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return Series{}, errors.Wrap(err, "reading a file to plot")
		}
		if err := s.add(data); err != nil {
			return Series{}, errors.Wrap(err, file)
		}
	}
	return s, nil
}

func (s *Series) add(data []byte) error {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return s.addLog(data)
	}
	if bytes.HasPrefix(data, []byte(`{"Seed":`)) {
		return s.addSoaks(data)
	}
	var e entry
	var r runReport
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrap(err, "neither a journal entry nor a run's report")
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "neither a journal entry nor a run's report")
	}
	if len(e.Days) == 0 && len(r.Load) == 0 {
		return errors.New("neither a journal entry with days nor a run's report")
	}
	for _, d := range e.Days {
		s.Days = append(s.Days, Day{Site: e.Site, Name: d.Name, Worth: d.Worth, Served: d.Served})
	}
	for role, l := range r.Load {
		if len(l.Of) <= pairMemory || len(l.Of[pairCPU]) < 2 || len(l.Of[pairMemory]) < 2 {
			return errors.Errorf("role %s has no pairs of processor time and memory", role)
		}
		cpu, memory := l.Of[pairCPU], l.Of[pairMemory]
		s.Hosts = append(s.Hosts, Load{Role: role, CPUMean: cpu[0], CPUMost: cpu[1], MBMean: memory[0], MBMost: memory[1]})
	}
	return nil
}

// addSoaks reads the figures of soaks, one JSON object a line.
func (s *Series) addSoaks(data []byte) error {
	lines := json.NewDecoder(bytes.NewReader(data))
	for {
		var f soakFigures
		if err := lines.Decode(&f); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Wrap(err, "reading a soak's figures")
		}
		s.Calls = append(s.Calls, f.CallMS...)
		s.Jobs = append(s.Jobs, f.JobMS...)
	}
}

// addLog reads the lines of hosts; text before Time= is passed over.
func (s *Series) addLog(data []byte) error {
	kept := map[string]time.Time{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, len(data)+1)
	found := false
	for lines.Scan() {
		_, line, ok := strings.Cut(lines.Text(), "Time=")
		if !ok {
			continue
		}
		found = true
		fields := fieldsOf(line)
		stamp, _, _ := strings.Cut(line, " ")
		now, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil {
			return errors.Wrapf(err, "line %q", lines.Text())
		}
		switch {
		case fields["Event"] == "ItemEnded" && fields["Events"] != "0" && fields["FirstMS"] != "":
			ms, err := strconv.ParseFloat(fields["FirstMS"], 64)
			if err != nil {
				return errors.Wrapf(err, "line %q", lines.Text())
			}
			s.Events = append(s.Events, ms)
		case fields["Event"] == "JobKept" && fields["Kind"] == "":
			kept[fields["Job"]] = now
		case fields["Event"] == "Listed" && fields["Left"] == "0":
			if from, ok := kept[fields["Job"]]; ok {
				s.Jobs = append(s.Jobs, float64(now.Sub(from).Milliseconds()))
				delete(kept, fields["Job"])
			}
		}
	}
	if !found {
		return errors.New("no JSON and no line of a host's log")
	}
	return errors.Wrap(lines.Err(), "reading lines")
}

func fieldsOf(line string) map[string]string {
	fields := map[string]string{}
	for _, word := range strings.Fields(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			fields[key] = value
		}
	}
	return fields
}
