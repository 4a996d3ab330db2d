package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Cost is what a process has used since its start.
type Cost struct {
	CPU       time.Duration
	Bytes     uint64 // read and written, by sockets and files
	PeakBytes uint64 // greatest resident memory
}

// Cost reads what the process has used.
func (p *Process) Cost() Cost {
	p.t.Helper()
	stat := p.read("stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	ticks := number(fields[11]) + number(fields[12])
	io := p.read("io")
	return Cost{
		CPU:       time.Duration(ticks) * clockTick,
		Bytes:     valueOf(io, "rchar:") + valueOf(io, "wchar:"),
		PeakBytes: valueOf(p.read("status"), "VmHWM:") << 10,
	}
}

func (p *Process) read(name string) string {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.PID(), name))
	if err != nil {
		p.t.Fatalf("%s: %v", p.Name, err)
	}
	return string(data)
}

func valueOf(text, name string) uint64 {
	_, rest, _ := strings.Cut(text, name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	return number(fields[0])
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}
