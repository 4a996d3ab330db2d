package demo

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// console prints what happens and stands in for a test towards the harness.
type console struct {
	out   io.Writer
	start time.Time

	mu       sync.Mutex
	cleanups []func()
	problems []string
}

// fatal ends the demo by panic, so that the cleanups run.
type fatal struct{ reason string }

// Helper does nothing.
func (c *console) Helper() {}

// Cleanup has f called at the end, the last one first.
func (c *console) Cleanup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanups = append(c.cleanups, f)
}

// TempDir returns a folder that is removed at the end.
func (c *console) TempDir() string {
	folder, err := os.MkdirTemp("", "figbed-demo")
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

// Failed reports whether anything untrue was found.
func (c *console) Failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.problems) > 0
}

// Fatal ends the demo.
func (c *console) Fatal(args ...any) { panic(fatal{reason: fmt.Sprint(args...)}) }

// Fatalf ends the demo.
func (c *console) Fatalf(format string, args ...any) { c.Fatal(fmt.Sprintf(format, args...)) }

// Errorf records something untrue.
func (c *console) Errorf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.mu.Lock()
	c.problems = append(c.problems, text)
	c.mu.Unlock()
	c.Logf("UNTRUE: %s", text)
}

// Logf prints a line with the time since the start.
func (c *console) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%5.1fs  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// finish runs the cleanups.
func (c *console) finish() {
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
