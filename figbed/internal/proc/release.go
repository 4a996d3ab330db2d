package proc

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

var productionLine = regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"`)

// ProductionCommit returns the commit that deploy/system.toml names as the release in production.
func ProductionCommit(t T) string {
	t.Helper()
	root, err := workspaceRoot()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m := productionLine.FindStringSubmatch(string(text))
	if m == nil {
		t.Fatalf("deploy/system.toml names no production commit")
	}
	return m[1]
}

// BuildRelease builds figd of a commit from the repository's history and returns the folder that holds it. The modules that
// the commit needs must be in the module cache. It fails the test when the history lacks the commit.
func BuildRelease(t T, commit string) (dir string) {
	t.Helper()
	root, err := workspaceRoot()
	if err != nil {
		t.Fatal(err)
	}
	source := t.TempDir()
	archive := exec.Command("sh", "-c", `git archive "$1" >"$2.tar" && tar -xf "$2.tar" -C "$2" && rm "$2.tar"`, "sh", commit, source)
	archive.Dir = root
	if out, err := archive.CombinedOutput(); err != nil {
		t.Fatalf("the repository's history has no commit %s, which is to run beside the working copy; a clone must be whole (git fetch --unshallow): %v\n%s", commit, err, strings.TrimSpace(string(out)))
	}
	dir = t.TempDir()
	build := exec.Command("go", "build", "-tags", "skew", "-buildvcs=false", "-o", dir+"/", "./figd")
	build.Dir, build.Env = source, append(os.Environ(), "GOPROXY=off")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building figd of commit %s: %v\n%s", commit, err, out)
	}
	return dir
}
