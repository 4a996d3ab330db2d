package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

// inject applies a fault from its start to its end and records its span.
func (r *runner) inject(f Fault) {
	start := time.Now()
	index := -1
	r.recorder.update(func(h *History) {
		index = len(h.Spans)
		h.Spans = append(h.Spans, Span{Fault: f, From: start, To: start.Add(time.Hour)}) // placeholder until the fault has ended
	})
	r.t.Logf("%s", f)
	if violation := r.apply(f); violation != "" {
		r.report([]string{violation})
	}
	r.recorder.update(func(h *History) { h.Spans[index].To = time.Now() })
}

func (r *runner) apply(f Fault) (violation string) {
	b := r.testbed
	store := &b.platform.Store
	switch f.Kind {
	case HostKill, HostStop:
		return r.restartHost(f, r.testbed.takeProcess(f.Target))
	case HostBuild:
		return r.replaceHost(f)
	case HostFreeze:
		p := b.process(f.Target)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(f.Duration)
		p.Signal(syscall.SIGCONT)
	case HostCrowd:
		r.sendCrowd(f)
	case HostReset:
		resetRepeatedly(f.Duration, b.hostProxies[f.Target]...)
	case ClockJump:
		r.jumpClock(f)
	case StoreRefuse:
		r.applyStoreFault(f, store.SetUnavailable)
	case StoreSilent:
		r.applyStoreFault(f, store.SetUnresponsive)
	case StoreSlow:
		store.SetDelay(time.Duration(f.Amount) * time.Millisecond)
		time.Sleep(f.Duration)
		store.SetDelay(0)
	case StoreLose:
		store.DropResponses(f.Amount)
	case StoreLate:
		store.DelayWrites(f.Amount, f.Duration)
		time.Sleep(f.Duration)
	case StoreForget:
		store.Compact()
	case ServerReset:
		resetRepeatedly(f.Duration, b.serverProxies[f.Target-1])
	case ServerGrey:
		b.platform.Servers[(f.Target-1)%plainServerCount].FailRequests(f.Amount)
	case ServerDrain:
		r.drainServer(f)
	case ServerLimit:
		r.limitServer(f)
	case ServerAnew:
		r.restartServer(f)
	case ServerCrash:
		r.sendHarmfulCalls(f)
	case KeyChange:
		r.rotateKey()
	default: // proxies look up the active faults
		b.setFaultActive(f, true)
		time.Sleep(f.Duration)
		b.setFaultActive(f, false)
	}
	return ""
}

// resetInterval is the time between two resets of one fault.
const resetInterval = 150 * time.Millisecond

// resetRepeatedly resets the connections of proxies at intervals until duration has passed, but at least once.
func resetRepeatedly(duration time.Duration, proxies ...*ImpairedProxy) {
	for deadline := time.Now().Add(duration); ; time.Sleep(resetInterval) {
		for _, p := range proxies {
			p.Reset()
		}
		if time.Now().After(deadline) {
			return
		}
	}
}

// applyStoreFault keeps a fault mode of the store on for the duration of a fault. While faults of one kind overlap, the mode
// stays on until the last of them ends.
func (r *runner) applyStoreFault(f Fault, set func(on bool)) {
	r.countStoreFault(f.Kind, 1, set)
	time.Sleep(f.Duration)
	r.countStoreFault(f.Kind, -1, set)
}

func (r *runner) countStoreFault(kind FaultKind, by int, set func(on bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCounts[kind] += by
	set(r.faultCounts[kind] > 0)
}

// restartHost kills or gracefully stops a host's process p and starts a new one. It does nothing when p is nil.
func (r *runner) restartHost(f Fault, p *proc.Process) (violation string) {
	if p == nil {
		return ""
	}
	if slices.Contains(stopKinds, f.Kind) {
		violation = r.testbed.stopProcess(f.Target, p)
	} else {
		p.Kill()
	}
	time.Sleep(f.Duration)
	r.testbed.startHost(f.Target)
	if !proc.Poll(readyTimeout, func() bool { return isReady(r.testbed.platform, f.Target) || r.otherFaultActive() }) {
		return fmt.Sprintf("RECOVER: host-%d is not ready %v after its start", f.Target, readyTimeout)
	}
	return violation
}

// otherFaultActive reports whether more than one fault is active. A restarted host need not become ready then.
func (r *runner) otherFaultActive() bool {
	h := r.recorder.clone()
	activeSpans := 0
	for _, s := range h.Spans {
		if s.To.After(time.Now()) {
			activeSpans++
		}
	}
	return activeSpans > 1
}

// jumpClock shifts a host's wall clock, unless another host's clock is shifted already, since figd relies on most clocks
// being correct. Two of three amounts shift the clock of the host that reports usage, whose clock matters most: it decides
// when a usage window has ended.
func (r *runner) jumpClock(f Fault) {
	if reports := r.testbed.platform.Reports(); f.Amount%3 != 0 && len(reports) > 0 {
		if _, err := fmt.Sscanf(reports[len(reports)-1].Holder, "host-%d", &f.Target); err != nil {
			r.t.Errorf("usage duty holder %q is not a host of the soak", reports[len(reports)-1].Holder)
			return
		}
	}
	r.mu.Lock()
	alreadyJumped := r.faultCounts[ClockJump] > 0
	if !alreadyJumped {
		r.faultCounts[ClockJump]++
	}
	r.mu.Unlock()
	if alreadyJumped {
		return
	}
	r.testbed.setClockSkew(f.Target, f.Amount)
	time.Sleep(f.Duration)
	r.testbed.setClockSkew(f.Target, 0)
	r.mu.Lock()
	r.faultCounts[ClockJump]--
	r.mu.Unlock()
}

// drainServer makes a server register as draining for the duration of the fault, and as another incarnation afterwards.
func (r *runner) drainServer(f Fault) {
	server := r.testbed.platform.Servers[f.Target-1]
	server.SetDraining(true)
	index := 0
	r.recorder.update(func(h *History) {
		index = len(h.Drains)
		now := time.Now()
		h.Drains = append(h.Drains, Drain{Server: server.Name, From: now, To: now.Add(f.Duration)})
	})
	time.Sleep(f.Duration)
	r.recorder.update(func(h *History) { h.Drains[index].To = time.Now() })
	server.StartAnew()
}

// softwareVersions are the versions of the engines' software.
var softwareVersions = []string{"v1", "v2"}

// restartServer starts an engine again under its name, with the next version of its software.
func (r *runner) restartServer(f Fault) {
	server := r.testbed.platform.Servers[plainServerCount+(f.Target-1)%engineCount]
	r.mu.Lock()
	r.restarts[server.Name]++
	version := softwareVersions[r.restarts[server.Name]%len(softwareVersions)]
	r.mu.Unlock()
	server.Restart(version)
	time.Sleep(f.Duration)
}

// limitServer makes a server name a limit for the duration of the fault, unless it names one already.
func (r *runner) limitServer(f Fault) {
	server, perSecond := r.testbed.platform.Servers[f.Target-1], float64(f.Amount)/10
	r.mu.Lock()
	limited := r.limited[server.Name]
	r.limited[server.Name] = true
	r.mu.Unlock()
	if limited {
		return
	}
	server.SetLimit(perSecond)
	index := 0
	r.recorder.update(func(h *History) {
		index = len(h.Limits)
		now := time.Now()
		h.Limits = append(h.Limits, Limit{Server: server.Name, PerSecond: perSecond, From: now, To: now.Add(f.Duration)})
	})
	time.Sleep(f.Duration)
	r.recorder.update(func(h *History) { h.Limits[index].To = time.Now() })
	server.SetLimit(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.limited, server.Name)
}

// harmfulInterval is the time between two calls that crash servers.
const harmfulInterval = 250 * time.Millisecond

// sendHarmfulCalls calls all hosts in turn, always with the same request, which crashes the servers that run it.
func (r *runner) sendHarmfulCalls(f Fault) {
	path := fmt.Sprintf("%s%d", harmfulPath, f.Start.Milliseconds())
	client := newClient()
	for n, end := 0, time.Now().Add(f.Duration); time.Now().Before(end); n++ {
		c := &caller{runner: r, host: 1 + n%r.soak.Hosts, client: client}
		c.record(Call{ID: fmt.Sprintf("harmful-%d-%d", f.Start.Milliseconds(), n), Path: path, Key: estate.Key, Host: c.host})
		time.Sleep(harmfulInterval)
	}
}

// rotateKey withdraws the rotating key and adds the next one.
func (r *runner) rotateKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldKey := r.rotatingKey()
	r.configVersion++
	r.testbed.platform.Configure(r.configVersion, estate.Key, r.rotatingKey())
	r.recorder.update(func(h *History) { h.WithdrawnKeys[oldKey] = time.Now() })
}

// rotatingKey returns the valid API key besides the permanent one. The caller must hold r.mu.
func (r *runner) rotatingKey() string { return fmt.Sprintf("key-%d", r.configVersion) }
