package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

// cause carries out a fault from its beginning to its end.
func (r *runner) cause(f Fault) {
	from := time.Now()
	at := -1
	r.book.add(func(h *History) {
		at = len(h.Spans)
		h.Spans = append(h.Spans, Span{Fault: f, From: from, To: from.Add(time.Hour)}) // until its end is known
	})
	r.t.Logf("%s", f)
	if problem := r.carryOut(f); problem != "" {
		r.tell([]string{problem})
	}
	r.book.add(func(h *History) { h.Spans[at].To = time.Now() })
}

func (r *runner) carryOut(f Fault) (problem string) {
	w := r.world
	store := &w.estate.Store
	switch f.Kind {
	case HostKill, HostStop:
		return r.replace(f)
	case HostFreeze:
		p := w.process(f.Target)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		p.Signal(syscall.SIGCONT)
	case HostReset:
		reset(f.For, w.links[f.Target]...)
	case ClockJump:
		r.jump(f)
	case StoreRefuse:
		r.during(f, store.Refuse)
	case StoreSilent:
		r.during(f, store.Silence)
	case StoreSlow:
		store.Slow(time.Duration(f.Amount) * time.Millisecond)
		time.Sleep(f.For)
		store.Slow(0)
	case StoreLose:
		store.Lose(f.Amount)
	case StoreLate:
		store.Late(f.Amount, f.For)
		time.Sleep(f.For)
	case StoreForget:
		store.Compact()
	case ServerReset:
		reset(f.For, w.serving[f.Target-1])
	case ServerGrey:
		w.estate.Servers[(f.Target-1)%plainServers].Break(f.Amount)
	case ServerDrain:
		r.drain(f)
	case KeyChange:
		r.changeKey()
	default: // links look at the active faults
		w.set(f, true)
		time.Sleep(f.For)
		w.set(f, false)
	}
	return ""
}

// resetEvery is the interval of the resets of one fault.
const resetEvery = 150 * time.Millisecond

// reset resets the connections of links for a time, once at least.
func reset(span time.Duration, links ...*Link) {
	for until := time.Now().Add(span); ; time.Sleep(resetEvery) {
		for _, l := range links {
			l.Reset()
		}
		if time.Now().After(until) {
			return
		}
	}
}

// during sets a state of the store for the time of a fault. It ends with the last of the faults that overlap.
func (r *runner) during(f Fault, set func(on bool)) {
	r.change(f.Kind, 1, set)
	time.Sleep(f.For)
	r.change(f.Kind, -1, set)
}

func (r *runner) change(kind Kind, by int, set func(on bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind] += by
	set(r.counts[kind] > 0)
}

// replace ends a host's process and starts another one.
func (r *runner) replace(f Fault) (problem string) {
	p := r.world.take(f.Target)
	if p == nil {
		return ""
	}
	if f.Kind == HostStop {
		problem = r.world.stop(f.Target, p)
	} else {
		p.Kill()
	}
	time.Sleep(f.For)
	r.world.run(f.Target)
	if !proc.Within(readyBound, func() bool { return isReady(r.world.estate, f.Target) || r.disturbed() }) {
		return fmt.Sprintf("RECOVER: host-%d is not ready %v after its start", f.Target, readyBound)
	}
	return problem
}

// disturbed reports whether another disruption is under way, so that a host need not become ready.
func (r *runner) disturbed() bool {
	h := r.book.copyOf()
	open := 0
	for _, s := range h.Spans {
		if s.To.After(time.Now()) {
			open++
		}
	}
	return open > 1
}

// jump sets a host's time of day off, if no other is: most clocks are taken to be right. Two of three amounts hit
// the host that reports usage, whose clock matters most.
func (r *runner) jump(f Fault) {
	if reports := r.world.estate.Reports(); f.Amount%3 != 0 && len(reports) > 0 {
		if _, err := fmt.Sscanf(reports[len(reports)-1].Holder, "host-%d", &f.Target); err != nil {
			r.t.Errorf("holder %q is no host of the soak", reports[len(reports)-1].Holder)
			return
		}
	}
	r.mu.Lock()
	jumped := r.counts[ClockJump] > 0
	if !jumped {
		r.counts[ClockJump]++
	}
	r.mu.Unlock()
	if jumped {
		return
	}
	r.world.skew(f.Target, f.Amount)
	time.Sleep(f.For)
	r.world.skew(f.Target, 0)
	r.mu.Lock()
	r.counts[ClockJump]--
	r.mu.Unlock()
}

// drain has a server tell that it leaves, and later that it stays.
func (r *runner) drain(f Fault) {
	server := r.world.estate.Servers[f.Target-1]
	server.Drain(true)
	at := 0
	r.book.add(func(h *History) {
		at = len(h.Drained)
		now := time.Now()
		h.Drained = append(h.Drained, Drain{Server: server.Name, From: now, To: now.Add(f.For)})
	})
	time.Sleep(f.For)
	r.book.add(func(h *History) { h.Drained[at].To = time.Now() })
	server.Drain(false)
}

// changeKey withdraws the extra key and gives another one.
func (r *runner) changeKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.extraKey()
	r.version++
	r.world.estate.Configure(r.version, estate.Key, r.extraKey())
	r.book.add(func(h *History) { h.Gone[old] = time.Now() })
}

// extraKey returns the key beside the permanent one. The caller holds the mutex.
func (r *runner) extraKey() string { return fmt.Sprintf("key-%d", r.version) }
