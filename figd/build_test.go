package main

import (
	"bytes"
	"net/http/httptest"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/stats"
	"github.com/figshift/figshift/internal/trace"
)

func TestBuildName(t *testing.T) {
	const revision = "668a085748b466114fe461d4be50994cb75439fe"
	info := func(revision, modified string) *debug.BuildInfo {
		return &debug.BuildInfo{Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: modified}}}
	}
	cases := map[string]struct {
		linked string
		info   *debug.BuildInfo
		want   string
	}{
		"revision":          {info: info(revision, "false"), want: "668a085748b4"},
		"changed source":    {info: info(revision, "true"), want: "668a085748b4_changed"},
		"set by the linker": {linked: "old", info: info(revision, "true"), want: "old"},
		"no revision":       {info: &debug.BuildInfo{}, want: "unknown"},
		"no information":    {want: "unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := buildName(c.linked, c.info); got != c.want {
				t.Errorf("buildName() = %q, want %q", got, c.want)
			}
		})
	}
}

func TestBuildIsAGauge(t *testing.T) {
	scope, metrics, closer := stats.New(func(err error) { t.Error(err) })
	gaugeBuild(scope, "668a085748b4_changed")
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	answer := httptest.NewRecorder()
	metrics.ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	if want := `{Build="668a085748b4_changed"} 1`; !strings.Contains(answer.Body.String(), want) {
		t.Errorf("no %q in the metrics:\n%s", want, answer.Body.String())
	}
}

// A build that steps through the recording of another one registers under the recorded build, as its effects are compared.
func TestReplayKeepsTheRecordedBuild(t *testing.T) {
	want := identity{incarnation: "i", seed: 1, build: "old"}
	var file bytes.Buffer
	if err := (&trace.Writer{Out: &file}).Begin(want.header(daemonFactory(t)(t.Fatal).process)); err != nil {
		t.Fatal(err)
	}
	header, _, err := trace.Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, recordedIdentity(header), cmp.AllowUnexported(identity{})); diff != "" {
		t.Errorf("identity (-want +got):\n%s", diff)
	}
	if d, err := newDaemon(header.Process, recordedIdentity(header), &bytes.Buffer{}); err != nil {
		t.Error(err)
	} else if d.close(); d.members.Self.Build != want.build {
		t.Errorf("the replay registers build %q, want %q", d.members.Self.Build, want.build)
	}
}
