package proc

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Console implements T outside of a test and prints its log to Out. Set Out before use. Its methods may be called
// concurrently.
type Console struct {
	Out io.Writer

	mu       sync.Mutex
	start    time.Time // of the first line
	cleanups []func()
	failures []string
}

// abort is the value of the panic with which Fatal ends Run, so that the cleanups still run.
type abort struct{ reason string }

// Run calls f and then the cleanups. It returns an error when f called Fatal or Fatalf, with its text, or when Errorf was
// called before f returned.
func (c *Console) Run(f func()) (err error) {
	defer c.runCleanups()
	defer func() {
		switch end := recover().(type) {
		case nil:
		case abort:
			err = errors.New(end.reason)
		default:
			panic(end)
		}
	}()
	f()
	if c.Failed() {
		return errors.Errorf("%d checks failed", len(c.failures))
	}
	return nil
}

// Helper does nothing; T requires it.
func (c *Console) Helper() {}

// Cleanup registers f to be called at the end of Run. The functions are called in reverse order of registration.
func (c *Console) Cleanup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanups = append(c.cleanups, f)
}

// TempDir returns a new directory that is removed at the end of Run.
func (c *Console) TempDir() string {
	dir, err := os.MkdirTemp("", "figbed")
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// Failed reports whether Errorf was called.
func (c *Console) Failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.failures) > 0
}

// Fatal ends Run with an error. A call from a goroutine other than that of Run ends the process.
func (c *Console) Fatal(args ...any) { panic(abort{reason: fmt.Sprint(args...)}) }

// Fatalf ends Run with an error, like Fatal.
func (c *Console) Fatalf(format string, args ...any) { c.Fatal(fmt.Sprintf(format, args...)) }

// Errorf records and prints a failed check; Run continues.
func (c *Console) Errorf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.mu.Lock()
	c.failures = append(c.failures, text)
	c.mu.Unlock()
	c.Logf("FAILED: %s", text)
}

// Logf prints a line with the time in seconds since the first line.
func (c *Console) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start.IsZero() {
		c.start = time.Now()
	}
	fmt.Fprintf(c.Out, "%5.1fs  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// runCleanups calls the registered functions, including those that are registered meanwhile.
func (c *Console) runCleanups() {
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
