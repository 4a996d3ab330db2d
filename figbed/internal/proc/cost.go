package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Cost holds the resources that a process has used since its start.
type Cost struct {
	CPU       time.Duration // user and system time
	Bytes     uint64        // read from and written to sockets and files
	PeakBytes uint64        // peak resident memory
}

// Cost reads the process's resource usage from /proc.
func (p *Process) Cost() Cost {
	p.t.Helper()
	stat := p.readProcFile("stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	ticks := parseCount(fields[11]) + parseCount(fields[12])
	ioStats := p.readProcFile("io")
	return Cost{
		CPU:       time.Duration(ticks) * clockTick,
		Bytes:     procValue(ioStats, "rchar:") + procValue(ioStats, "wchar:"),
		PeakBytes: procValue(p.readProcFile("status"), "VmHWM:") << 10,
	}
}

// Held is what a process holds.
type Held struct {
	PeakBytes uint64 // peak resident memory
	FDs       int    // open descriptors
}

// Held returns what the process holds, false when it has ended.
func (p *Process) Held() (held Held, ok bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return held, false
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return held, false
	}
	return Held{PeakBytes: procValue(string(status), "VmHWM:") << 10, FDs: len(fds)}, true
}

func (p *Process) readProcFile(name string) string {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.PID(), name))
	if err != nil {
		p.t.Fatalf("%s: %v", p.Name, err)
	}
	return string(data)
}

// procValue returns the number that follows name in the text of a file of /proc, 0 when there is none.
func procValue(text, name string) uint64 {
	_, rest, _ := strings.Cut(text, name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	return parseCount(fields[0])
}

func parseCount(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}
