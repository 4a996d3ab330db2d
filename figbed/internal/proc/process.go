package proc

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyBound  = 20 * time.Second
	listenBound = 2 * time.Second
	shownBytes  = 16 << 10 // of a process's output after a failure
)

// Process is one program that the test started. Its methods may be called concurrently.
type Process struct {
	Name   string
	Listen string // from the ready line, for the stand-ins

	t    T
	cmd  *exec.Cmd
	out  *output
	done chan struct{}
}

// Start runs a program and ends it with the test. After a failure its output is logged; a data race that it
// reports fails the test.
func Start(t T, name, program string, args ...string) *Process {
	t.Helper()
	return StartWith(t, nil, name, program, args...)
}

// StartWith is Start with more variables of the environment, each NAME=VALUE.
func StartWith(t T, env []string, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, out: &output{}, done: make(chan struct{})}
	p.cmd = exec.Command(Program(t, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	p.cmd.Env = append(append(os.Environ(), "GORACE=halt_on_error=0"), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("starting %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.end)
	return p
}

// StartStandIn runs a stand-in of figbed and waits for its ready line.
func StartStandIn(t T, name string, args ...string) *Process {
	t.Helper()
	p := Start(t, name, "figbed", args...)
	WaitUntil(t, readyBound, name+" is ready", func() bool {
		if p.Exited() {
			t.Fatalf("%s ended:\n%s", name, p.Output())
		}
		return p.readLine()
	})
	return p
}

func (p *Process) readLine() bool {
	_, rest, found := strings.Cut(p.Output(), "Listen=")
	if !found || !strings.Contains(rest, "\n") {
		return false
	}
	p.Listen = strings.Fields(rest)[0]
	return true
}

// URL returns the base URL of a stand-in.
func (p *Process) URL() string { return "http://" + p.Listen }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns what the process has written so far to its standard output and error.
func (p *Process) Output() string { return p.out.String() }

// Signal sends a signal, such as SIGSTOP, SIGCONT, SIGTERM or SIGKILL.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Logf("%s: signal %v: %v", p.Name, s, err)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode waits up to a bound for the end and returns the exit code; it fails the test when the bound passes.
func (p *Process) ExitCode(bound time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(bound):
		p.t.Fatalf("%s still runs after %v", p.Name, bound)
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *Process) end() {
	p.Kill()
	out := p.Output()
	if strings.Contains(out, "WARNING: DATA RACE") {
		p.t.Errorf("%s reported a data race", p.Name)
	}
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Name, out[max(0, len(out)-shownBytes):])
	}
}

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write adds to the output.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// WaitUntil waits for a condition and fails the test when the bound passes first.
func WaitUntil(t T, bound time.Duration, what string, condition func() bool) {
	t.Helper()
	if !Within(bound, condition) {
		t.Fatalf("not within %v: %s", bound, what)
	}
}

// Within waits for a condition and reports whether it came true within the bound.
func Within(bound time.Duration, condition func() bool) bool {
	const pause = 10 * time.Millisecond
	for deadline := time.Now().Add(bound); ; time.Sleep(pause) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}
