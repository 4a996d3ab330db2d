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
	readyTimeout    = 20 * time.Second
	listenTimeout   = 2 * time.Second
	maxLoggedOutput = 16 << 10 // bytes of a process's output that are logged after a failure
)

// Process is a program that the test has started. Its methods may be called concurrently.
type Process struct {
	Name   string
	Listen string // programs of figbed only: the address in the ready line

	t    T
	cmd  *exec.Cmd
	out  *output
	done chan struct{}
}

// Start starts a program and kills it at the end of the test. Its output is logged when the test fails. The test fails
// when the program reports a data race.
func Start(t T, name, program string, args ...string) *Process {
	t.Helper()
	return StartWith(t, nil, name, program, args...)
}

// StartWith is like Start, with additional environment variables of the form NAME=VALUE.
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
	t.Cleanup(p.stop)
	return p
}

// StartStandIn starts one of the simulated programs of figbed and waits for its ready line.
func StartStandIn(t T, name string, args ...string) *Process {
	t.Helper()
	p := Start(t, name, "figbed", args...)
	WaitUntil(t, readyTimeout, name+" is ready", func() bool {
		if p.Exited() {
			t.Fatalf("%s exited before it was ready:\n%s", name, p.Output())
		}
		return p.parseListenAddress()
	})
	return p
}

// parseListenAddress sets Listen from the ready line and returns false when that line is not complete yet.
func (p *Process) parseListenAddress() bool {
	_, rest, found := strings.Cut(p.Output(), "Listen=")
	if !found || !strings.Contains(rest, "\n") {
		return false
	}
	p.Listen = strings.Fields(rest)[0]
	return true
}

// URL returns the base URL of a program that StartStandIn started.
func (p *Process) URL() string { return "http://" + p.Listen }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns the standard output and standard error of the process so far.
func (p *Process) Output() string { return p.out.String() }

// Signal sends a signal, such as SIGSTOP, SIGCONT, SIGTERM or SIGKILL.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Logf("%s: signal %v: %v", p.Name, s, err)
	}
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode waits for the process to exit and returns its exit code. The test fails when that takes longer than timeout.
func (p *Process) ExitCode(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.t.Fatalf("%s still runs after %v", p.Name, timeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *Process) stop() {
	p.Kill()
	out := p.Output()
	if strings.Contains(out, "WARNING: DATA RACE") {
		p.t.Errorf("%s reported a data race", p.Name)
	}
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Name, out[max(0, len(out)-maxLoggedOutput):])
	}
}

// output collects the output of a process. Its methods may be called concurrently.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends to the output.
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

// WaitUntil polls a condition until it is true. The test fails when that takes longer than timeout.
func WaitUntil(t T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	if !Poll(timeout, condition) {
		t.Fatalf("not within %v: %s", timeout, what)
	}
}

// Poll polls a condition until it is true and reports whether that happened within timeout.
func Poll(timeout time.Duration, condition func() bool) bool {
	const pollInterval = 10 * time.Millisecond
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}
