package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
)

// Amounts of HostBuild.
const (
	buildOld = iota
	buildNew
)

// Start is one start of a host's process.
type Start struct {
	Host  int
	At    time.Time
	Old   bool   // the process was of the other build, from Soak.OldPrograms
	Build string // as the process told it; "" if it did not
}

// upgradeStream separates the random numbers of DrawUpgrade from those of DrawFaults.
const upgradeStream = 1

// DrawUpgrade returns the faults that replace all hosts one by one by the new build within the first half of span, and by the
// old one within the second half, in random orders, and in each half planned work and a kill while both builds run. The same
// arguments always give the same faults.
func DrawUpgrade(seed uint64, hosts int, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, upgradeStream))
	var faults []Fault
	for half, build := range []int{buildNew, buildOld} {
		start := time.Duration(half) * span / 2
		at := func(share float64) time.Duration { return start + time.Duration(share*float64(span)/2) }
		for i, host := range random.Perm(hosts) {
			faults = append(faults, Fault{Kind: HostBuild, Target: 1 + host, Start: at((float64(i) + 0.3) / float64(hosts)), Amount: build})
		}
		faults = append(
			faults,
			Fault{Kind: KeyChange, Start: at(0.4)},
			Fault{Kind: ServerAnew, Target: plainServerCount + 1 + random.IntN(engineCount), Start: at(0.45)},
			Fault{Kind: HostKill, Target: 1 + random.IntN(hosts), Start: at(0.5)},
			Fault{Kind: ServerDrain, Target: plainServerCount + 1 + random.IntN(engineCount), Start: at(0.55), Duration: 5 * second},
			Fault{Kind: ServerLimit, Target: 1 + random.IntN(plainServerCount), Start: at(0.1), Duration: 7 * second, Amount: 100},
			Fault{Kind: ServerCrash, Start: at(0.2), Duration: 3 * second},
		)
	}
	return merge(faults)
}

// merge returns the faults of several lists, ordered by their start.
func merge(lists ...[]Fault) []Fault {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return all
}

// settleTime is how long a host that is not ready may take to become so before it is replaced.
const settleTime = 5 * time.Second

// replaceHost stops a host gracefully and starts it as the build that the fault names, once the host before it is ready. A
// host that another fault has stopped or restarted meanwhile is replaced when it is ready again.
func (r *runner) replaceHost(f Fault) (violation string) {
	r.replacing.Lock()
	defer r.replacing.Unlock()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		proc.Poll(settleTime, func() bool { return isReady(r.testbed.platform, f.Target) })
		if p := r.testbed.takeProcess(f.Target); p != nil {
			r.testbed.setBuild(f.Target, f.Amount)
			return r.restartHost(f, p)
		}
	}
	return fmt.Sprintf("RECOVER: host-%d is still stopped after %v", f.Target, readyTimeout)
}

// startedHost is a process that the testbed has started.
type startedHost struct {
	at          time.Time
	host, build int
	process     *proc.Process
}

func (b *testbed) setBuild(host, build int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.builds[host] = build
}

// programOf returns the build and the program of a host's next process.
func (b *testbed) programOf(host int) (build int, program string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.oldPrograms == "" {
		return buildNew, "figd"
	}
	if b.builds[host] == buildNew {
		return buildNew, "figd"
	}
	return buildOld, filepath.Join(b.oldPrograms, "figd")
}

var toldBuild = regexp.MustCompile(`Event=Started.* Build=(\S+)`)

// told returns the starts of the hosts and the builds that they have told.
func (b *testbed) told() []Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	var starts []Start
	for _, s := range b.starts {
		start := Start{Host: s.host, At: s.at, Old: s.build == buildOld}
		if m := toldBuild.FindStringSubmatch(s.process.Output()); m != nil {
			start.Build = m[1]
		}
		starts = append(starts, start)
	}
	return starts
}
