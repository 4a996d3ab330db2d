package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["turns"] = takeTurns }

const (
	leaseTime   = 3 * time.Second // lease_ms
	lateFrom    = 8 * time.Second
	lateTime    = 5500 * time.Millisecond // for_s of the site file
	lateShare   = 0.35                    // x of the site file: of the orders to servers while it lasts
	lateBy      = 4 * time.Second         // within 2 to 12 s
	killsInTurn = 2
)

// takeTurns: engines that check no fencing token leave some orders unanswered, and the process that gave the last order is
// killed, again and again. No engine may get orders from holders in the order A, B, A within leaseTime.
func takeTurns(r *rig) (verdict int, why string) {
	st, err := r.startStore()
	if err != nil {
		return unable, err.Error()
	}
	st.configure(1)
	late := &lateOrders{r: r}
	var engines []*server
	for n := range 6 {
		e := &server{
			ID: fmt.Sprintf("i-engine%d", n+1), Service: "engines", Zone: fmt.Sprintf("zone-%d", n%3+1), Model: modelName, Slots: 8, Events: 4,
			EventGap: 20 * time.Millisecond, LoadTime: 900 * time.Millisecond,
		}
		if r.trouble {
			e.Unanswered = late.isLate
		}
		engines = append(engines, e)
	}
	for _, s := range append(engines, &server{ID: "i-plain1", Service: "plain", Zone: "zone-1", Slots: 40}) {
		if err := r.startServer(s, st); err != nil {
			return unable, err.Error()
		}
	}
	if err := r.startDaemons(2, st, false); err != nil {
		return unable, err.Error()
	}
	name := func(version int) {
		r.record("version %d is named", version)
		st.put("versions", modelName, map[string]any{"model": modelName, "version": version})
	}
	time.Sleep(max(0, 4*time.Second-r.now()))
	name(2)
	time.Sleep(max(0, lateFrom+100*time.Millisecond-r.now()))
	name(3)
	if r.trouble {
		r.killGivers(engines)
	}
	time.Sleep(max(0, lateFrom+lateTime+6*time.Second-r.now()))
	if !late.withinDose() {
		return unable, "too many orders were left unanswered"
	}
	return judgeTurns(engines)
}

// lateOrders decides which orders get no answer: the first two to the engine that gets the second order. Two of all orders
// in lateTime are no more than lateShare.
type lateOrders struct {
	r *rig

	mu                 sync.Mutex
	orders, unanswered int
	chosen             string
}

func (l *lateOrders) isLate(engine string) (later time.Duration, unanswered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.r.now(); now < lateFrom || now > lateFrom+lateTime {
		return 0, false
	}
	if l.orders++; l.orders == 2 {
		l.chosen = engine
	}
	if engine != l.chosen || l.unanswered == 2 {
		return 0, false
	}
	l.unanswered++
	return lateBy, true
}

// withinDose reports whether no more than lateShare of the orders were left unanswered.
func (l *lateOrders) withinDose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.unanswered) <= lateShare*float64(l.orders)
}

// killGivers kills the process that gave the last order, as soon as another one than before has given one.
func (r *rig) killGivers(engines []*server) {
	last := ""
	for range killsInTurn {
		for giver := ""; r.now() < lateFrom+lateTime; time.Sleep(5 * time.Millisecond) {
			if giver = lastGiver(engines); giver != last && giver != "" && r.now() > lateFrom {
				last = giver
				break
			}
		}
		for _, d := range r.daemons {
			if d.name == last {
				time.Sleep(60 * time.Millisecond)
				d.killAndRestart()
			}
		}
	}
}

// lastGiver returns the holder that gave the last order since lateFrom.
func lastGiver(engines []*server) string {
	last := arrivedOrder{At: lateFrom}
	for _, e := range engines {
		e.mu.Lock()
		for _, o := range e.orders {
			if o.At > last.At {
				last = o
			}
		}
		e.mu.Unlock()
	}
	return last.Holder
}

// judgeTurns checks the orders to each engine: ONE is broken by holders in the order A, B, A within leaseTime, by a lower
// fencing token after a higher one, and by two holders with one token.
func judgeTurns(engines []*server) (verdict int, why string) {
	count := 0
	for _, e := range engines {
		e.mu.Lock()
		orders := slices.Clone(e.orders)
		e.mu.Unlock()
		count += len(orders)
		for i, first := range orders {
			for j, second := range orders[i+1:] {
				if second.Holder == first.Holder {
					continue
				}
				if second.Fence <= first.Fence {
					return broken, fmt.Sprintf("%s gets fence %d of %s after fence %d of %s", e.ID, second.Fence, second.Holder, first.Fence, first.Holder)
				}
				for _, third := range orders[i+1+j+1:] {
					if third.Holder == first.Holder && third.At-first.At < leaseTime {
						return broken, fmt.Sprintf("%s gets orders of %s (%.3f s), %s (%.3f s), %s (%.3f s)", e.ID, first.Holder, first.At.Seconds(), second.Holder, second.At.Seconds(), third.Holder, third.At.Seconds())
					}
				}
			}
		}
	}
	return held, fmt.Sprintf("%d orders", count)
}
