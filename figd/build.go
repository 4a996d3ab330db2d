package main

import (
	"runtime/debug"

	"github.com/uber-go/tally/v4"
)

const (
	unknownBuild       = "unknown"
	buildRevisionBytes = 12
)

// linkedBuild is set by the linker, with -X main.linkedBuild=NAME, where the programs are built outside of the repository.
var linkedBuild string

// currentBuild returns the name of the running build: the one that the linker set or the revision of its source, with
// "_changed" when the source was changed after it; "unknown" when neither is there.
func currentBuild() string {
	info, _ := debug.ReadBuildInfo()
	return buildName(linkedBuild, info)
}

func buildName(linked string, info *debug.BuildInfo) string {
	if linked != "" {
		return linked
	}
	if info == nil {
		return unknownBuild
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	revision := settings["vcs.revision"]
	if len(revision) < buildRevisionBytes {
		return unknownBuild
	}
	name := revision[:buildRevisionBytes]
	if settings["vcs.modified"] == "true" {
		name += "_changed"
	}
	return name
}

// gaugeBuild sets the gauge Build, whose tag names the build, to 1.
func gaugeBuild(scope tally.Scope, build string) {
	scope.Tagged(map[string]string{"Build": build}).Gauge("Build").Update(1)
}
