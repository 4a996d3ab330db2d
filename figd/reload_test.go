package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/logs"
	"github.com/figshift/figshift/platform"
)

const settingsText = `[Host]
Host = h1
Zone = a
Class = store
IP = 127.0.0.1
Ports = 1,9
Store = 127.0.0.1:1
Cloud = 127.0.0.1:2
MetricsPort = 3
MemoryMB = 200
CPUShare = 0.5
Cores = 1
FirstStart = true
GraceS = 8
LeaseMS = 3000
UsageWindowS = 5
UsageLateS = 10
KeepResultsS = 120
LogLevel = info
LogPerSecond = 60
`

// TestReload covers the disruption hup: settings change with and without a signal, also to an invalid file.
func TestReload(t *testing.T) {
	cases := map[string]struct {
		from, to string
		want     string
		debug    bool // a debug line is written after it
	}{
		"Same":        {"", "", "Event=SettingsRead Daemon=h1 Reason=SIGHUP InForce= AtNextStart=", false},
		"Level":       {"LogLevel = info", "LogLevel = debug", "Event=SettingsRead Daemon=h1 Reason=SIGHUP InForce=LogLevel AtNextStart=", true},
		"Store":       {"Store = 127.0.0.1:1", "Store = 127.0.0.1:7", "Event=SettingsRead Daemon=h1 Reason=SIGHUP InForce= AtNextStart=Store", false},
		"Grace":       {"GraceS = 8\nLeaseMS = 3000", "GraceS = 9\nLeaseMS = 3000\n", "Event=SettingsRead Daemon=h1 Reason=SIGHUP InForce= AtNextStart=Grace", false},
		"NotValid":    {"Store = 127.0.0.1:1", "Store = nowhere", "Event=SettingsInvalid Daemon=h1 Reason=SIGHUP", false},
		"Unreadable":  {"[Host]", "[Host", "Event=SettingsInvalid Daemon=h1 Reason=SIGHUP", false},
		"UnknownKeys": {"FirstStart", "New = 1\nFirstStart", "Event=SettingsRead Daemon=h1 Reason=SIGHUP InForce= AtNextStart=", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "figd.ini")
			write := func(text string) {
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			write(settingsText)
			settings, err := platform.LoadSettings(file)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			r := &settingsReloader{file: file, settings: settings, logs: logs.NewSettings(settings.LogLevel, uint64(settings.LogPerSecond))}
			r.log = logs.NewWithSettings(r.logs, "h1", &out)
			if r.fileChanged() {
				t.Error("the first check reported a change")
			}
			text := strings.Replace(settingsText, c.from, c.to, 1)
			write(text)
			if len(text) != len(settingsText) && !r.fileChanged() {
				t.Error("a change of the file's size was not reported")
			}
			r.apply("SIGHUP")
			r.log.Debug("Next")
			if !strings.Contains(out.String(), c.want) {
				t.Errorf("log %q does not contain %q", out.String(), c.want)
			}
			if diff := cmp.Diff(c.debug, strings.Contains(out.String(), "Event=Next")); diff != "" {
				t.Errorf("debug line written (-want +got):\n%s", diff)
			}
		})
	}
}
