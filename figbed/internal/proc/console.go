package proc

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Console prints what happens and stands in for a test towards the harness. Out is set before use; its methods may be
// called concurrently.
type Console struct {
	Out io.Writer

	mu       sync.Mutex
	start    time.Time // of the first line
	cleanups []func()
	problems []string
}

// fatal ends a run by panic, so that the cleanups run.
type fatal struct{ reason string }

// Run calls f, runs the cleanups and returns what ended f early, or an error when anything was untrue.
func (c *Console) Run(f func()) (err error) {
	defer c.finish()
	defer func() {
		switch end := recover().(type) {
		case nil:
		case fatal:
			err = errors.New(end.reason)
		default:
			panic(end)
		}
	}()
	f()
	if c.Failed() {
		return errors.Errorf("%d statements were untrue", len(c.problems))
	}
	return nil
}

// Helper does nothing.
func (c *Console) Helper() {}

// Cleanup has f called at the end, the last one first.
func (c *Console) Cleanup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanups = append(c.cleanups, f)
}

// TempDir returns a folder that is removed at the end.
func (c *Console) TempDir() string {
	folder, err := os.MkdirTemp("", "figbed")
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

// Failed reports whether anything untrue was found.
func (c *Console) Failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.problems) > 0
}

// Fatal ends the run.
func (c *Console) Fatal(args ...any) { panic(fatal{reason: fmt.Sprint(args...)}) }

// Fatalf ends the run.
func (c *Console) Fatalf(format string, args ...any) { c.Fatal(fmt.Sprintf(format, args...)) }

// Errorf records something untrue.
func (c *Console) Errorf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.mu.Lock()
	c.problems = append(c.problems, text)
	c.mu.Unlock()
	c.Logf("UNTRUE: %s", text)
}

// Logf prints a line with the time since the start.
func (c *Console) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start.IsZero() {
		c.start = time.Now()
	}
	fmt.Fprintf(c.Out, "%5.1fs  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// finish runs the cleanups.
func (c *Console) finish() {
	for {
		c.mu.Lock()
		last := len(c.cleanups) - 1
		if last < 0 {
			c.mu.Unlock()
			return
		}
		f := c.cleanups[last]
		c.cleanups = c.cleanups[:last]
		c.mu.Unlock()
		f()
	}
}
