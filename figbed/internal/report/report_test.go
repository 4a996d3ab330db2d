package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	journal         = `{"site":"a","days":[{"name":"quiet-1","G":0.7,"served":0.9},{"name":"trouble-1","G":0.5,"served":0.8}]}`
	earlierJournal  = `{"site":"a","days":[{"name":"quiet-1","G":0.4,"served":0.9},{"name":"quiet-1","G":0.6,"served":0.9}]}`
	runReportJSON   = `{"load":{"front":{"of":[[5.5,15.2],[25.2,35.3],[767,1931]]}}}`
	soakFiguresJSON = `{"Seed":1,"CallMS":[7,8],"JobMS":[600]}
{"Seed":2,"CallMS":[9],"JobMS":[700]}
`
	hostLog = `1.0 h1 Time=2026-12-04T01:00:00.000Z Level=info Event=JobKept Daemon=h1 Job=j1 Kind= Items=2
1.1 h2 Time=2026-12-04T01:00:00.100Z Level=info Event=JobKept Daemon=h2 Job=j1 Kind=Conflict Items=2
1.2 h1 Time=2026-12-04T01:00:00.200Z Level=info Event=ItemEnded Daemon=h1 Job=j1 Item=i1 Events=3 FirstMS=12 TookMS=40
1.3 h1 Time=2026-12-04T01:00:00.300Z Level=info Event=ItemEnded Daemon=h1 Job=j1 Item=i2 Events=0 FirstMS=0 TookMS=4
1.4 h1 Time=2026-12-04T01:00:00.400Z Level=info Event=Listed Daemon=h1 Job=j1 Chunk=0 Items=1 Left=1 Kind=
1.5 h1 Time=2026-12-04T01:00:00.500Z Level=info Event=Listed Daemon=h1 Job=j1 Chunk=1 Items=1 Left=0 Kind=
`
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestRead(t *testing.T) {
	cases := map[string]struct {
		text string
		want Series
		err  string
	}{
		"journal entry":     {text: journal, want: Series{Days: []Day{{"a", "quiet-1", 0.7, 0.9}, {"a", "trouble-1", 0.5, 0.8}}}},
		"run report":        {text: runReportJSON, want: Series{Hosts: []HostLoad{{"front", 5.5, 15.2, 25.2, 35.3}}}},
		"log":               {text: hostLog, want: Series{FirstEventMS: []float64{12}, JobMS: []float64{500}}},
		"soak figures":      {text: soakFiguresJSON, want: Series{CallMS: []float64{7, 8, 9}, JobMS: []float64{600, 700}}},
		"truncated figures": {text: soakFiguresJSON + "{", err: "reading soak figures"},
		"other JSON":        {text: `{"a":1}`, err: "neither a journal entry with days nor a run report"},
		"no pairs":          {text: `{"load":{"front":{"of":[[1,2]]}}}`, err: "role front has no pairs"},
		"other text":        {text: "hello", err: "neither JSON nor a host log"},
		"invalid timestamp": {text: "Time=now Event=x", err: "line \"Time=now"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Read([]string{writeFile(t, c.text)})
			if c.err != "" {
				if err == nil || !strings.Contains(err.Error(), c.err) {
					t.Errorf("error %v, want %q", err, c.err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("series (-want +got):\n%s", diff)
			}
		})
	}
}

// The bars of a day show the mean of its runs on each side. A day that one side lacks has no bars.
func TestWorth(t *testing.T) {
	before, err := Read([]string{writeFile(t, earlierJournal)})
	if err != nil {
		t.Fatal(err)
	}
	after, err := Read([]string{writeFile(t, journal), writeFile(t, journal)})
	if err != nil {
		t.Fatal(err)
	}
	got := Report{Before: before, After: after}.worthChart()
	if diff := cmp.Diff([]string{"a quiet-1"}, got.names); diff != "" {
		t.Errorf("names (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([][]float64{{0.5}, {0.7}}, [][]float64{got.before, got.after}); diff != "" {
		t.Errorf("bars (-want +got):\n%s", diff)
	}
}

func TestWrite(t *testing.T) {
	cases := map[string]struct {
		files []string
		plots []string
	}{
		"all":     {[]string{journal, runReportJSON, hostLog, soakFiguresJSON}, []string{"calls.svg", "first-event.svg", "jobs.svg", "memory.svg", "processor.svg", "worth.svg"}},
		"days":    {[]string{journal}, []string{"worth.svg"}},
		"nothing": {nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var files []string
			for _, text := range c.files {
				files = append(files, writeFile(t, text))
			}
			after, err := Read(files)
			if err != nil {
				t.Fatal(err)
			}
			folder := t.TempDir()
			got, err := Report{After: after, Folder: folder, Format: "svg"}.Write()
			if (err != nil) != (c.plots == nil) {
				t.Fatalf("error %v", err)
			}
			var want []string
			for _, plot := range c.plots {
				want = append(want, filepath.Join(folder, plot))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("files (-want +got):\n%s", diff)
			}
			for _, file := range got {
				if data, err := os.ReadFile(file); err != nil || !strings.Contains(string(data), "<svg") {
					t.Errorf("%s is no SVG file (%v)", file, err)
				}
			}
		})
	}
}

// An axis is logarithmic only if its values span several powers of ten, since only those are labelled.
func TestAxis(t *testing.T) {
	cases := map[string]struct {
		values []float64
		want   bool
	}{
		"narrow":         {[]float64{3000, 8000}, false},
		"wide":           {[]float64{2, 1000}, true},
		"wide, with 0":   {[]float64{0, 1000}, true},
		"narrow, with 0": {[]float64{0, 50}, false},
	}
	for name, c := range cases {
		if diff := cmp.Diff(c.want, needsLogScale(c.values)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
