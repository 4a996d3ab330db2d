package crash

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// memory is the time after its last crash for which a request is remembered.
	memory = 10 * time.Minute
	// maxRecords is the number of requests that are remembered. Beyond it, the one whose last crash is the longest ago is
	// forgotten, and first one that is not given up.
	maxRecords = 1024
	// maxNews is the number of crashes in one heartbeat, and newsTime the time for which heartbeats tell of a crash whose
	// request is not given up.
	maxNews  = 16
	newsTime = 10 * time.Second
	// tombstoneTime is the time for which it is remembered that a request was answered or that an endpoint lives, since
	// news of an older crash may still arrive.
	tombstoneTime = time.Minute
	pruneInterval = time.Second
)

// Membership provides the hosts that are alive.
type Membership interface {
	// Alive returns the hosts that are alive at time now, sorted by name and including this one.
	Alive(now time.Duration) []event.Host
}

// Component is the component of the reducer that remembers under which requests endpoints crashed, and shares it with the
// other hosts. A closed connection counts as a crash until the endpoint answers anything that was sent to it afterwards.
// Its exported fields are set before the first Step. It must not be used concurrently.
type Component struct {
	Self       string // name of this host
	Membership Membership

	records   map[ID]*record
	endpoints map[wire.LeaveMark]int           // number of crashes in the records
	alive     map[wire.LeaveMark]time.Duration // when something was sent to which the endpoint has answered
	hubs      []string
	nextPrune time.Duration
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.lazyInit()
	switch e := ev.(type) {
	case event.EndpointAnswered:
		p.handleAnswered(now, e, out)
	case event.HostsChanged:
		p.hubs = e.Hubs
	case event.PeerReceived:
		p.handleNews(now, e.Host, e.Message.Crashes, out)
	case event.BeatSeen:
		p.handleNews(now, e.Host, e.Beat.Crashes, out)
	case event.Tick:
		p.prune(now)
	}
}

func (p *Component) lazyInit() {
	if p.records == nil {
		p.records = map[ID]*record{}
		p.endpoints = map[wire.LeaveMark]int{}
		p.alive = map[wire.LeaveMark]time.Duration{}
	}
}

// Verdict returns what is known of a request at time now.
func (p *Component) Verdict(now time.Duration, id ID) Verdict {
	r := p.records[id]
	if r == nil || now-r.lastCrash() > memory {
		return Clear
	}
	return r.verdict()
}

// Closed takes that an endpoint closed the connection on which it ran a request that was sent at the time sent.
func (p *Component) Closed(now time.Duration, id ID, endpoint wire.LeaveMark, sent time.Duration, out *event.Batch) {
	p.lazyInit()
	if id.Digest == "" || !p.addCrash(now, id, crashed{endpoint: endpoint, sent: sent, at: now}, out) {
		return
	}
	p.send(p.others(now), []wire.CrashNews{crashNews(now, id, p.records[id].crashes[len(p.records[id].crashes)-1])}, out)
}

// addCrash adds a crash to the record of a request, logs what follows and reports whether the crash is new.
func (p *Component) addCrash(now time.Duration, id ID, c crashed, out *event.Batch) bool {
	if alive, ok := p.alive[c.endpoint]; ok && c.at < alive { // both may be before the start of this process, thus below 0
		return false
	}
	r := p.records[id]
	if r == nil {
		p.makeRoom(out)
		r = &record{}
		p.records[id] = r
	}
	before := r.verdict()
	if !r.add(c) {
		return false
	}
	p.endpoints[c.endpoint]++
	fields := []event.Field{
		{Key: "Organisation", Value: id.Organisation},
		{Key: "Digest", Value: id.Digest},
		{Key: "Endpoint", Value: c.endpoint.Endpoint},
		{Key: "RanMS", Value: strconv.FormatInt((c.at - c.sent).Milliseconds(), 10)},
		{Key: "AgeMS", Value: strconv.FormatInt((now - c.at).Milliseconds(), 10)},
		{Key: "Crashes", Value: strconv.Itoa(len(r.crashes))},
		{Key: "Rounds", Value: strconv.Itoa(r.rounds())},
	}
	out.Emit(event.Log{Level: "info", Event: "CrashSuspected", Fields: fields})
	if before != GivenUp && r.verdict() == GivenUp {
		out.Emit(event.Count{Name: "RequestsGivenUp", N: 1})
		out.Emit(event.Log{Level: "warn", Event: "RequestGivenUp", Fields: fields})
	}
	return true
}

// makeRoom forgets a request when the component remembers maxRecords.
func (p *Component) makeRoom(out *event.Batch) {
	if len(p.records) < maxRecords {
		return
	}
	var oldest ID
	for id, r := range p.records {
		o := p.records[oldest]
		if o == nil || cmp.Or(
			cmp.Compare(r.verdict(), o.verdict()), cmp.Compare(r.lastCrash(), o.lastCrash()),
			cmp.Compare(id.Organisation, oldest.Organisation), cmp.Compare(id.Digest, oldest.Digest),
		) < 0 {
			oldest = id
		}
	}
	p.forget(oldest)
	out.Emit(event.Count{Name: "CrashRecordsDropped", N: 1})
	out.Emit(event.Log{Level: "warn", Event: "CrashRecordDropped", Fields: []event.Field{
		{Key: "Organisation", Value: oldest.Organisation}, {Key: "Digest", Value: oldest.Digest},
	}})
}

func (p *Component) forget(id ID) {
	p.dropCrashes(p.records[id], func(crashed) bool { return true })
	delete(p.records, id)
}

// dropCrashes drops the crashes of a record that match, and reports whether there were any.
func (p *Component) dropCrashes(r *record, match func(crashed) bool) bool {
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c crashed) bool {
		if !match(c) {
			return false
		}
		if p.endpoints[c.endpoint]--; p.endpoints[c.endpoint] == 0 {
			delete(p.endpoints, c.endpoint)
		}
		return true
	})
	return len(r.crashes) < before
}

// Completed takes that an endpoint answered a request in full, which one that crashes endpoints never is.
func (p *Component) Completed(now time.Duration, id ID, out *event.Batch) {
	if p.records[id] == nil || len(p.records[id].crashes) == 0 {
		return
	}
	p.clear(id, now, out)
	p.send(p.others(now), []wire.CrashNews{{Organisation: id.Organisation, Digest: id.Digest, Answered: true}}, out)
}

// clear drops the crashes of a request up to the time at, when it was answered, and reports whether there were any.
func (p *Component) clear(id ID, at time.Duration, out *event.Batch) bool {
	r := p.records[id]
	if r == nil || at <= r.clearedAt {
		return false
	}
	r.clearedAt = at
	if !p.dropCrashes(r, func(c crashed) bool { return c.at <= at }) {
		return false
	}
	out.Emit(event.Log{Level: "info", Event: "CrashSuspicionCleared", Fields: []event.Field{
		{Key: "Organisation", Value: id.Organisation}, {Key: "Digest", Value: id.Digest},
	}})
	return true
}

// handleAnswered drops the crashes of an endpoint that has answered something that was sent to it afterwards.
func (p *Component) handleAnswered(now time.Duration, e event.EndpointAnswered, out *event.Batch) {
	endpoint := wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}
	if p.endpoints[endpoint] > 0 && p.markAlive(endpoint, e.Sent) {
		news := wire.CrashNews{Endpoint: e.Endpoint, Incarnation: e.Incarnation, Answered: true, AgeMS: (now - e.Sent).Milliseconds()}
		p.send(p.others(now), []wire.CrashNews{news}, out)
	}
}

// markAlive drops the crashes of an endpoint before a time at which it lived, and reports whether there were any.
func (p *Component) markAlive(endpoint wire.LeaveMark, at time.Duration) bool {
	if alive, ok := p.alive[endpoint]; !ok || at > alive {
		p.alive[endpoint] = at
	}
	dropped := false
	for _, r := range p.records {
		dropped = p.dropCrashes(r, func(c crashed) bool { return c.endpoint == endpoint && c.at < at }) || dropped
	}
	return dropped
}

// prune forgets what is too old.
func (p *Component) prune(now time.Duration) {
	if now < p.nextPrune {
		return
	}
	p.nextPrune = now + pruneInterval
	for id, r := range p.records {
		switch {
		case len(r.crashes) > 0 && now-r.lastCrash() > memory:
			p.forget(id)
		case len(r.crashes) == 0 && now-r.clearedAt > tombstoneTime:
			delete(p.records, id)
		}
	}
	for endpoint, at := range p.alive {
		if now-at > tombstoneTime {
			delete(p.alive, endpoint)
		}
	}
}

// others returns the names of the other hosts that are alive.
func (p *Component) others(now time.Duration) []string {
	var names []string
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self {
			names = append(names, h.Name)
		}
	}
	return names
}

func (p *Component) send(hosts []string, news []wire.CrashNews, out *event.Batch) {
	for _, h := range hosts {
		out.Emit(event.SendPeer{Host: h, Message: wire.Message{Crashes: news}})
	}
}

func crashNews(now time.Duration, id ID, c crashed) wire.CrashNews {
	return wire.CrashNews{
		Organisation: id.Organisation, Digest: id.Digest, Endpoint: c.endpoint.Endpoint, Incarnation: c.endpoint.Incarnation,
		RanMS: (c.at - c.sent).Milliseconds(), AgeMS: (now - c.at).Milliseconds(),
	}
}

// FillBeat adds crashes to a heartbeat, for hosts that missed the news of them or have started since: first those of requests
// that are given up, then the last ones.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) {
	type entry struct {
		id      ID
		verdict Verdict
		crashed
	}
	var all []entry
	for id, r := range p.records {
		for _, c := range r.crashes {
			if verdict := r.verdict(); verdict == GivenUp || now-c.at <= newsTime {
				all = append(all, entry{id, verdict, c})
			}
		}
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(b.verdict, a.verdict), cmp.Compare(b.at, a.at), cmp.Compare(a.id.Digest, b.id.Digest), cmp.Compare(a.id.Organisation, b.id.Organisation),
			cmp.Compare(a.endpoint.Endpoint, b.endpoint.Endpoint),
		)
	})
	for _, e := range all[:min(len(all), maxNews)] {
		heartbeat.Crashes = append(heartbeat.Crashes, crashNews(now, e.id, e.crashed))
	}
}

// handleNews applies news from another host. In a large fleet a hub forwards what is new to it.
func (p *Component) handleNews(now time.Duration, from string, news []wire.CrashNews, out *event.Batch) {
	var fresh []wire.CrashNews
	for _, n := range news {
		if p.applyNews(now, n, out) {
			fresh = append(fresh, n)
		}
	}
	if len(fresh) > 0 && len(p.hubs) > 0 {
		p.send(ranks.ForwardTargets(p.Self, p.hubs, event.ZonesOf(p.Membership.Alive(now)), from), fresh, out)
	}
}

// applyNews applies news from another host and reports whether it is new.
func (p *Component) applyNews(now time.Duration, n wire.CrashNews, out *event.Batch) bool {
	id := ID{Organisation: n.Organisation, Digest: n.Digest}
	endpoint := wire.LeaveMark{Endpoint: n.Endpoint, Incarnation: n.Incarnation}
	at := now - time.Duration(n.AgeMS)*time.Millisecond
	switch {
	case n.Answered && n.Digest == "":
		return p.markAlive(endpoint, at)
	case n.Answered:
		return p.clear(id, at, out)
	case n.Digest == "" || now-at > memory:
		return false
	default:
		return p.addCrash(now, id, crashed{endpoint: endpoint, sent: at - time.Duration(n.RanMS)*time.Millisecond, at: at}, out)
	}
}
