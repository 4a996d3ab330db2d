package proc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

// BuildName is the build that the programs under test tell.
const BuildName = "under-test"

var built struct {
	once     sync.Once
	dir      string
	provided bool // dir was set by UseProgramDir and is not removed
	err      error
}

// Main runs the process tests of a package, where m is its testing.M, removes the built programs and exits.
func Main(m interface{ Run() int }) {
	code := m.Run()
	if built.dir != "" && !built.provided {
		_ = os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

// UseProgramDir uses the programs in a directory instead of building them.
func UseProgramDir(dir string) {
	built.once.Do(func() { built.dir, built.provided = dir, true })
}

// Program returns the path of a program of the workspace (figd, figctl or figbed). The programs are built once for each
// test binary, with the race detector when the test itself is built with it, and tell BuildName as their build. An absolute
// path is returned as it is.
func Program(t T, name string) string {
	t.Helper()
	if filepath.IsAbs(name) {
		return name
	}
	built.once.Do(func() { built.err = buildPrograms() })
	if built.err != nil {
		t.Fatal(built.err)
	}
	return filepath.Join(built.dir, name)
}

func buildPrograms() error {
	root, err := workspaceRoot()
	if err != nil {
		return err
	}
	built.dir, err = os.MkdirTemp("", "figbed")
	if err != nil {
		return err
	}
	args := []string{"build", "-tags", "skew", "-ldflags", "-X main.linkedBuild=" + BuildName, "-o", built.dir + "/"}
	if RaceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./figd", "./figctl", "./figbed")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return errors.Errorf("building the programs: %v\n%s", err, out)
	}
	return nil
}

// workspaceRoot returns the directory of go.work, which is the working directory or one of its parents.
func workspaceRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for dir != "/" {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		dir = filepath.Dir(dir)
	}
	return "", fmt.Errorf("no go.work in the working directory or its parents")
}
