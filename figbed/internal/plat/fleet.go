package plat

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// Registration announces an endpoint process. A spare one waits for a start order; the others are live at once.
type Registration struct {
	Endpoint wire.Endpoint
	Spare    bool
}

// entry is one endpoint that is paid for or was.
type entry struct {
	wire.Endpoint
	spare   bool
	started time.Time
	gone    bool
}

type snapshot struct {
	at   time.Time
	list wire.EndpointList
}

// fleet holds the endpoints, the pool of spare processes and the history of lists.
type fleet struct {
	platform *Platform

	mu        sync.Mutex
	pool      []wire.Endpoint
	entries   map[string]*entry
	done      map[string]wire.OrderReply
	epochs    map[string]uint64
	snapshots []snapshot
	spent     float64
	starts    int
	lists     int
}

func (f *fleet) prepare(p *Platform) {
	f.platform = p
	f.entries = map[string]*entry{}
	f.done = map[string]wire.OrderReply{}
	f.epochs = map[string]uint64{}
	f.change(time.Now())
}

func (f *fleet) register(g Registration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g.Spare {
		f.pool = append(f.pool, g.Endpoint)
		return
	}
	if old := f.entries[g.Endpoint.Name]; old != nil && !old.gone {
		f.spent += f.price(old, now)
	}
	g.Endpoint.State = wire.Live
	f.entries[g.Endpoint.Name] = &entry{Endpoint: g.Endpoint, started: now}
	f.change(now)
}

// order carries out an order once and gives the same answer to each repetition of its id.
func (f *fleet) order(o wire.EndpointOrder, none bool, now time.Time) wire.OrderReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply, ok := f.done[o.OrderID]; ok {
		return reply
	}
	if f.platform.RefuseOlderEpochs && o.Epoch < f.epochs[o.Duty] {
		return wire.OrderReply{Kind: "Stale"}
	}
	f.epochs[o.Duty] = max(f.epochs[o.Duty], o.Epoch)
	var reply wire.OrderReply
	switch {
	case o.Action == "Stop":
		reply = f.stop(o, now)
	case none && o.Price == wire.Cheap:
		return wire.OrderReply{Kind: "NoneToBeHad"}
	default:
		reply = f.start(o, now)
	}
	if reply.Accepted {
		f.done[o.OrderID] = reply
	}
	return reply
}

func (f *fleet) start(o wire.EndpointOrder, now time.Time) wire.OrderReply {
	kind := o.Kind
	if kind == "" {
		kind = wire.Engine
	}
	for i, spare := range f.pool {
		if spare.Kind != kind || (spare.Zone != "" && spare.Zone != o.Zone) {
			continue
		}
		f.pool = append(f.pool[:i:i], f.pool[i+1:]...)
		f.starts++
		e := &entry{Endpoint: spare, spare: true, started: now}
		e.Incarnation = spare.Incarnation + "-" + strconv.Itoa(f.starts)
		e.Price, e.State = o.Price, wire.Starting
		e.Zone = o.Zone
		if o.Model != "" {
			e.Model = o.Model
		}
		f.entries[e.Name] = e
		f.change(now)
		time.AfterFunc(f.platform.StartTime, func() { f.live(e, spare) })
		return wire.OrderReply{Accepted: true, Endpoint: e.Name}
	}
	return wire.OrderReply{Kind: "NoneToBeHad"}
}

func (f *fleet) live(e *entry, spare wire.Endpoint) {
	post(spare.Address, PathAssign, e.Endpoint)
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.gone || e.State != wire.Starting {
		return
	}
	e.State = wire.Live
	f.change(time.Now())
}

func (f *fleet) stop(o wire.EndpointOrder, now time.Time) wire.OrderReply {
	e := f.entries[o.Endpoint]
	if e == nil || e.gone {
		return wire.OrderReply{Kind: "NotFound"}
	}
	if e.State != wire.Leaving {
		f.leave(e, f.platform.StopTime, now)
	}
	return wire.OrderReply{Accepted: true, Endpoint: o.Endpoint}
}

func (f *fleet) reclaim(zone string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if e.Zone == zone && e.Price == wire.Cheap && !e.gone && e.State != wire.Leaving {
			f.leave(e, f.platform.ReclaimNotice, now)
		}
	}
}

func (f *fleet) leave(e *entry, notice time.Duration, now time.Time) {
	e.State = wire.Leaving
	f.change(now)
	time.AfterFunc(notice, func() { f.end(e) })
}

func (f *fleet) end(e *entry) {
	post(e.Address, PathHalt, e.Endpoint)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spent += f.price(e, now)
	e.gone = true
	if e.spare {
		spare := e.Endpoint
		spare.Incarnation += "-again"
		f.pool = append(f.pool, spare)
	}
	f.change(now)
}

// post tells an endpoint process of its fate; one that is dead already does not matter.
func post(address, path string, body any) {
	data, _ := json.Marshal(body)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (f *fleet) price(e *entry, now time.Time) float64 {
	price := f.platform.OnDemandPrice
	if e.Price == wire.Cheap {
		price = f.platform.CheapPrice
	}
	return price * now.Sub(e.started).Seconds()
}

func (f *fleet) costAt(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	cost := f.spent
	for _, e := range f.entries {
		if !e.gone {
			cost += f.price(e, now)
		}
	}
	return cost
}

// change records the list as it is now.
func (f *fleet) change(now time.Time) {
	list := wire.EndpointList{Revision: uint64(len(f.snapshots) + 1)}
	for _, e := range f.entries {
		if !e.gone {
			list.Endpoints = append(list.Endpoints, e.Endpoint)
		}
	}
	sortEndpoints(list.Endpoints)
	f.snapshots = append(f.snapshots, snapshot{at: now, list: list})
}

func sortEndpoints(s []wire.Endpoint) {
	sort.Slice(s, func(i, j int) bool { return s[i].Name < s[j].Name })
}

// listAt returns the list as it was lag ago, distorted by the faults.
func (f *fleet) listAt(now time.Time, faults wire.Faults) wire.EndpointList {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	lag := time.Duration(faults.ListLagMS) * time.Millisecond
	list := f.snapshots[0].list
	for _, s := range f.snapshots {
		if s.at.After(now.Add(-lag)) {
			break
		}
		list = s.list
	}
	list.Endpoints = append([]wire.Endpoint(nil), list.Endpoints...)
	flap := faults.Flap && f.lists%2 == 0
	for i := range list.Endpoints {
		if list.Endpoints[i].State == wire.Leaving && (flap || faults.LiveAfterStop) {
			list.Endpoints[i].State = wire.Live
		}
	}
	if faults.LiveAfterStop {
		list.Endpoints = f.withGone(list.Endpoints)
	}
	return list
}

// withGone adds the endpoints that have ended, shown as live.
func (f *fleet) withGone(shown []wire.Endpoint) []wire.Endpoint {
	names := map[string]bool{}
	for _, e := range shown {
		names[e.Name] = true
	}
	for _, e := range f.entries {
		if e.gone && !names[e.Name] {
			ghost := e.Endpoint
			ghost.State = wire.Live
			shown = append(shown, ghost)
		}
	}
	sortEndpoints(shown)
	return shown
}
