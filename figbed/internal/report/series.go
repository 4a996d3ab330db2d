// Package report plots the measurements of runs: the bench's journal entries and run reports, the figures of soaks, and the
// logs of hosts.
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

// Series holds the measurements read from the files of one side of a comparison.
type Series struct {
	Days         []Day
	Hosts        []HostLoad
	FirstEventMS []float64 // milliseconds from sending an item to its first event
	JobMS        []float64 // milliseconds from accepting a job to listing its last item
	CallMS       []float64 // milliseconds from sending a call to its response
}

// Day is the result of one simulated day in a journal entry.
type Day struct {
	Site   string
	Name   string
	Worth  float64
	Served float64
}

// HostLoad is the resource use of the hosts of a role, as the mean and the maximum over the hosts.
type HostLoad struct {
	Role    string
	CPUMean float64 // CPU time in seconds
	CPUMax  float64
	MBMean  float64 // peak memory in megabytes
	MBMax   float64
}

// entry is the part of a journal entry that is plotted. Its JSON field for a day's worth is G.
type entry struct {
	Site string `json:"site"`
	Days []struct {
		Name   string  `json:"name"`
		Worth  float64 `json:"G"`
		Served float64 `json:"served"`
	} `json:"days"`
}

// runReport is the part of a run report that is plotted, by role. Of holds pairs of mean and maximum, first of the CPU
// seconds, then of the megabytes of memory.
type runReport struct {
	Load map[string]struct {
		Of [][]float64 `json:"of"`
	} `json:"load"`
}

// Indexes of the pairs in a runReport's Of.
const (
	cpuIndex    = 0
	memoryIndex = 1
)

// soakFigures is the part of a line of soak figures that is plotted.
type soakFigures struct {
	Seed   uint64
	CallMS []float64
	JobMS  []float64
}

// Read reads the measurements of all files into one Series. It detects by content whether a file is a journal entry, a run
// report, soak figures or a host log, and returns an error for any other file.
func Read(files []string) (Series, error) {
	var s Series
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return Series{}, errors.Wrap(err, "reading an input file")
		}
		if err := s.addFile(data); err != nil {
			return Series{}, errors.Wrap(err, file)
		}
	}
	return s, nil
}

func (s *Series) addFile(data []byte) error {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return s.addLog(data)
	}
	if bytes.HasPrefix(data, []byte(`{"Seed":`)) {
		return s.addSoakFigures(data)
	}
	var e entry
	var r runReport
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrap(err, "decoding JSON as a journal entry")
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "decoding JSON as a run report")
	}
	if len(e.Days) == 0 && len(r.Load) == 0 {
		return errors.New("neither a journal entry with days nor a run report")
	}
	for _, d := range e.Days {
		s.Days = append(s.Days, Day{Site: e.Site, Name: d.Name, Worth: d.Worth, Served: d.Served})
	}
	for role, l := range r.Load {
		if len(l.Of) <= memoryIndex || len(l.Of[cpuIndex]) < 2 || len(l.Of[memoryIndex]) < 2 {
			return errors.Errorf("role %s has no pairs of CPU time and memory", role)
		}
		cpu, memory := l.Of[cpuIndex], l.Of[memoryIndex]
		s.Hosts = append(s.Hosts, HostLoad{Role: role, CPUMean: cpu[0], CPUMax: cpu[1], MBMean: memory[0], MBMax: memory[1]})
	}
	return nil
}

// addSoakFigures reads soak figures, one JSON object per line.
func (s *Series) addSoakFigures(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var f soakFigures
		if err := decoder.Decode(&f); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Wrap(err, "reading soak figures")
		}
		s.CallMS = append(s.CallMS, f.CallMS...)
		s.JobMS = append(s.JobMS, f.JobMS...)
	}
}

// addLog reads host logs. It ignores the text before Time= in each line, and lines without Time=.
func (s *Series) addLog(data []byte) error {
	acceptedAt := map[string]time.Time{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	hasLogLine := false
	for scanner.Scan() {
		_, line, ok := strings.Cut(scanner.Text(), "Time=")
		if !ok {
			continue
		}
		hasLogLine = true
		fields := parseFields(line)
		timestamp, _, _ := strings.Cut(line, " ")
		now, err := time.Parse(time.RFC3339Nano, timestamp)
		if err != nil {
			return errors.Wrapf(err, "line %q", scanner.Text())
		}
		switch {
		case fields["Event"] == "ItemEnded" && fields["Events"] != "0" && fields["FirstMS"] != "":
			ms, err := strconv.ParseFloat(fields["FirstMS"], 64)
			if err != nil {
				return errors.Wrapf(err, "line %q", scanner.Text())
			}
			s.FirstEventMS = append(s.FirstEventMS, ms)
		case fields["Event"] == "JobKept" && fields["Kind"] == "":
			acceptedAt[fields["Job"]] = now
		case fields["Event"] == "Listed" && fields["Left"] == "0":
			if accepted, ok := acceptedAt[fields["Job"]]; ok {
				s.JobMS = append(s.JobMS, float64(now.Sub(accepted).Milliseconds()))
				delete(acceptedAt, fields["Job"])
			}
		}
	}
	if !hasLogLine {
		return errors.New("neither JSON nor a host log")
	}
	return errors.Wrap(scanner.Err(), "reading a host log")
}

func parseFields(line string) map[string]string {
	fields := map[string]string{}
	for _, word := range strings.Fields(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			fields[key] = value
		}
	}
	return fields
}
