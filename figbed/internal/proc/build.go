package proc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

var built struct {
	once   sync.Once
	folder string
	kept   bool // the folder is not ours
	err    error
}

// Main runs a package's process tests, m being its testing.M, and removes the built programs.
func Main(m interface{ Run() int }) {
	code := m.Run()
	if built.folder != "" && !built.kept {
		_ = os.RemoveAll(built.folder)
	}
	os.Exit(code)
}

// UseFolder takes the programs from a folder in place of building them.
func UseFolder(folder string) {
	built.once.Do(func() { built.folder, built.kept = folder, true })
}

// Program returns the path of a program of the workspace (figd, figctl, figbed), built once for the test binary,
// with the race detector when the test has it.
func Program(t T, name string) string {
	t.Helper()
	built.once.Do(func() { built.err = build() })
	if built.err != nil {
		t.Fatal(built.err)
	}
	return filepath.Join(built.folder, name)
}

func build() error {
	root, err := workspace()
	if err != nil {
		return err
	}
	built.folder, err = os.MkdirTemp("", "figbed")
	if err != nil {
		return err
	}
	args := []string{"build", "-tags", "skew", "-o", built.folder + "/"}
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

// workspace returns the folder of go.work at or above the working folder.
func workspace() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for folder != "/" {
		if _, err := os.Stat(filepath.Join(folder, "go.work")); err == nil {
			return folder, nil
		}
		folder = filepath.Dir(folder)
	}
	return "", fmt.Errorf("no go.work above the working folder")
}
