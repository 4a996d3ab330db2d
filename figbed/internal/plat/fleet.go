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

// Registration announces an endpoint process to the platform. A spare one waits for a start order; any other is live at
// once.
type Registration struct {
	Endpoint wire.Endpoint
	Spare    bool
}

// instance is an endpoint that costs money since started, until it has ended.
type instance struct {
	wire.Endpoint
	spare   bool
	started time.Time
	ended   bool
}

type snapshot struct {
	at   time.Time
	list wire.EndpointList
}

// fleet holds the endpoints, the spare processes and all past endpoint lists.
type fleet struct {
	platform *Platform

	mu             sync.Mutex
	spares         []wire.Endpoint
	instances      map[string]*instance
	acceptedOrders map[string]wire.OrderReply
	highestEpochs  map[string]uint64
	snapshots      []snapshot
	endedCost      float64
	starts         int
	listCalls      int
}

func (f *fleet) prepare(p *Platform) {
	f.platform = p
	f.instances = map[string]*instance{}
	f.acceptedOrders = map[string]wire.OrderReply{}
	f.highestEpochs = map[string]uint64{}
	f.recordSnapshot(time.Now())
}

func (f *fleet) register(registration Registration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if registration.Spare {
		f.spares = append(f.spares, registration.Endpoint)
		return
	}
	if old := f.instances[registration.Endpoint.Name]; old != nil && !old.ended {
		f.endedCost += f.costOf(old, now)
	}
	registration.Endpoint.State = wire.Live
	f.instances[registration.Endpoint.Name] = &instance{Endpoint: registration.Endpoint, started: now}
	f.recordSnapshot(now)
}

// execute executes an order. An order whose id was accepted before gets the same reply and is not executed again.
// With noCheap, start orders for cheap endpoints are refused.
func (f *fleet) execute(o wire.EndpointOrder, noCheap bool, now time.Time) wire.OrderReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply, ok := f.acceptedOrders[o.OrderID]; ok {
		return reply
	}
	if f.platform.RefuseOlderEpochs && o.Epoch < f.highestEpochs[o.Duty] {
		return wire.OrderReply{Kind: "Stale"}
	}
	f.highestEpochs[o.Duty] = max(f.highestEpochs[o.Duty], o.Epoch)
	var reply wire.OrderReply
	switch {
	case o.Action == "Stop":
		reply = f.stopEndpoint(o, now)
	case noCheap && o.Price == wire.Cheap:
		return wire.OrderReply{Kind: "NoneToBeHad"}
	default:
		reply = f.startEndpoint(o, now)
	}
	if reply.Accepted {
		f.acceptedOrders[o.OrderID] = reply
	}
	return reply
}

func (f *fleet) startEndpoint(o wire.EndpointOrder, now time.Time) wire.OrderReply {
	kind := o.Kind
	if kind == "" {
		kind = wire.Engine
	}
	for i, spare := range f.spares {
		if spare.Kind != kind || (spare.Zone != "" && spare.Zone != o.Zone) {
			continue
		}
		f.spares = append(f.spares[:i:i], f.spares[i+1:]...)
		f.starts++
		e := &instance{Endpoint: spare, spare: true, started: now}
		e.Incarnation = spare.Incarnation + "-" + strconv.Itoa(f.starts)
		e.Price, e.State = o.Price, wire.Starting
		e.Zone = o.Zone
		if o.Model != "" {
			e.Model = o.Model
		}
		f.instances[e.Name] = e
		f.recordSnapshot(now)
		time.AfterFunc(f.platform.StartTime, func() { f.markLive(e, spare) })
		return wire.OrderReply{Accepted: true, Endpoint: e.Name}
	}
	return wire.OrderReply{Kind: "NoneToBeHad"}
}

func (f *fleet) markLive(e *instance, spare wire.Endpoint) {
	postJSON(spare.Address, PathAssign, e.Endpoint)
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.ended || e.State != wire.Starting {
		return
	}
	e.State = wire.Live
	f.recordSnapshot(time.Now())
}

func (f *fleet) stopEndpoint(o wire.EndpointOrder, now time.Time) wire.OrderReply {
	e := f.instances[o.Endpoint]
	if e == nil || e.ended {
		return wire.OrderReply{Kind: "NotFound"}
	}
	if e.State != wire.Leaving {
		f.markLeaving(e, f.platform.StopTime, now)
	}
	return wire.OrderReply{Accepted: true, Endpoint: o.Endpoint}
}

func (f *fleet) reclaim(zone string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.instances {
		if e.Zone == zone && e.Price == wire.Cheap && !e.ended && e.State != wire.Leaving {
			f.markLeaving(e, f.platform.ReclaimNotice, now)
		}
	}
}

func (f *fleet) markLeaving(e *instance, notice time.Duration, now time.Time) {
	e.State = wire.Leaving
	f.recordSnapshot(now)
	time.AfterFunc(notice, func() { f.endEndpoint(e) })
}

func (f *fleet) endEndpoint(e *instance) {
	postJSON(e.Address, PathHalt, e.Endpoint)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endedCost += f.costOf(e, now)
	e.ended = true
	if e.spare {
		spare := e.Endpoint
		spare.Incarnation += "-again"
		f.spares = append(f.spares, spare)
	}
	f.recordSnapshot(now)
}

// postJSON notifies an endpoint process. Errors are ignored, since the process may have exited already.
func postJSON(address, path string, body any) {
	data, _ := json.Marshal(body)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (f *fleet) costOf(e *instance, now time.Time) float64 {
	price := f.platform.OnDemandPrice
	if e.Price == wire.Cheap {
		price = f.platform.CheapPrice
	}
	return price * now.Sub(e.started).Seconds()
}

func (f *fleet) totalCost(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	cost := f.endedCost
	for _, e := range f.instances {
		if !e.ended {
			cost += f.costOf(e, now)
		}
	}
	return cost
}

// recordSnapshot appends the current endpoint list to the history, with the next revision.
func (f *fleet) recordSnapshot(now time.Time) {
	list := wire.EndpointList{Revision: uint64(len(f.snapshots) + 1)}
	for _, e := range f.instances {
		if !e.ended {
			list.Endpoints = append(list.Endpoints, e.Endpoint)
		}
	}
	sortEndpoints(list.Endpoints)
	f.snapshots = append(f.snapshots, snapshot{at: now, list: list})
}

func sortEndpoints(s []wire.Endpoint) {
	sort.Slice(s, func(i, j int) bool { return s[i].Name < s[j].Name })
}

// listAt returns the endpoint list as it was faults.ListLagMS before now, with the other faults applied to it.
func (f *fleet) listAt(now time.Time, faults wire.Faults) wire.EndpointList {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listCalls++
	lag := time.Duration(faults.ListLagMS) * time.Millisecond
	list := f.snapshots[0].list
	for _, s := range f.snapshots {
		if s.at.After(now.Add(-lag)) {
			break
		}
		list = s.list
	}
	list.Endpoints = append([]wire.Endpoint(nil), list.Endpoints...)
	flap := faults.Flap && f.listCalls%2 == 0
	for i := range list.Endpoints {
		if list.Endpoints[i].State == wire.Leaving && (flap || faults.LiveAfterStop) {
			list.Endpoints[i].State = wire.Live
		}
	}
	if faults.LiveAfterStop {
		list.Endpoints = f.withEnded(list.Endpoints)
	}
	return list
}

// withEnded adds the endpoints that have ended to a list and reports them as live.
func (f *fleet) withEnded(listed []wire.Endpoint) []wire.Endpoint {
	names := map[string]bool{}
	for _, e := range listed {
		names[e.Name] = true
	}
	for _, e := range f.instances {
		if e.ended && !names[e.Name] {
			copied := e.Endpoint
			copied.State = wire.Live
			listed = append(listed, copied)
		}
	}
	sortEndpoints(listed)
	return listed
}
