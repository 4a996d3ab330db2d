package reach

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// quietTime is the time without a word from any endpoint after which one is probed.
	quietTime = 700 * time.Millisecond
	// probeTimeout bounds a probe. An endpoint answers within milliseconds, and a probe needs no slot.
	probeTimeout = 250 * time.Millisecond
	// roundPause is the time from the start of a round of probes to the next one while the links are in doubt, and
	// cutPause the one while this host is cut off.
	roundPause = 300 * time.Millisecond
	cutPause   = 500 * time.Millisecond
	// roundSize is the number of endpoints that are probed at once while the links are in doubt, of each service one at least,
	// and trialSize the number while this host is cut off.
	roundSize = 5
	trialSize = 2
	// doubtedEndpoints is the number of endpoints to which connections must fail within doubtMemory for a round of probes.
	doubtedEndpoints = 2
	doubtMemory      = time.Second
	// healedRounds is the number of rounds with an answer in a row after which a host is no longer cut off.
	healedRounds = 2
	// relayContact is the age up to which another host's last word from an endpoint counts.
	relayContact = 2500 * time.Millisecond
)

// Membership provides the hosts that are alive.
type Membership interface {
	// Alive returns the hosts that are alive at time now, sorted by name and including this one.
	Alive(now time.Duration) []event.Host
}

// Component is the component of the reducer that finds out whether this host is cut off from the endpoints. It probes one
// when it has heard of none for quietTime, and several when that fails or a connection does. Only probes, which use
// connections of their own, decide: a connection that lives says nothing of new ones. Its exported fields are set before the
// first Step. It must not be used concurrently.
type Component struct {
	Self       string // name of this host
	Membership Membership
	Limits     limit.Gate // nil for limit.Unlimited

	services  [][]wire.Endpoint                // endpoints that may be probed, by service
	kept      *wire.Endpoint                   // that is probed on a kept connection
	rounds    int                              // on new connections so far, in which the endpoints of each service take turns
	contactAt time.Duration                    // last word from an endpoint, 0 for none
	failed    map[wire.LeaveMark]time.Duration // when a connection to an endpoint last failed
	waiting   time.Duration                    // when something was sent that is late to be answered, 0 for none
	alarmed   bool                             // several endpoints are to be probed
	round     round
	roundAt   time.Duration // start of the last round
	cutOff    bool
	healed    int // whole rounds in a row while cut off
	hosts     map[string]hostLinks
}

// hostLinks is what another host says of its links.
type hostLinks struct {
	cutOff    bool
	stopping  bool          // it takes no calls of others
	heard     bool          // it has heard of an endpoint
	contactAt time.Duration // on this host's clock, below 0 before its start
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.EndpointsListed:
		p.setEndpoints(e.List.Endpoints)
	case event.EndpointAnswered, event.EnginePace:
		p.contactAt = now
	case event.EndpointIdentified:
		if !e.Reused {
			p.contactAt = now
		}
	case event.EndpointProbed:
		p.handleProbed(now, e, out)
	case event.BeatSeen:
		p.setHost(now, e.Host, e.Beat.Links)
		p.setStopping(e.Host, e.Beat.Stopping)
	case event.PeerReceived:
		if e.Message.Links != nil {
			p.setHost(now, e.Host, e.Message.Links)
		}
	case event.HostLost:
		delete(p.hosts, e.Host)
	case event.Tick:
		p.tick(now, out)
	}
}

// setEndpoints takes the endpoints that may be probed, by service. Their order differs between hosts. The kept connection goes
// to an engine if there is any, which answers probes without a slot.
func (p *Component) setEndpoints(list []wire.Endpoint) {
	byName, names := map[string]wire.Endpoint{}, map[string][]string{}
	for _, e := range list {
		if e.State == wire.Live {
			byName[e.Name] = e
			names[e.Service] = append(names[e.Service], e.Name)
		}
	}
	p.services, p.kept = nil, nil
	for _, service := range slices.Sorted(maps.Keys(names)) {
		var endpoints []wire.Endpoint
		for _, name := range ranks.Order(p.Self, names[service]) {
			endpoints = append(endpoints, byName[name])
		}
		p.services = append(p.services, endpoints)
		if e := &endpoints[0]; p.kept == nil || len(p.kept.Weights) == 0 && len(e.Weights) > 0 {
			p.kept = e
		}
	}
}

func (p *Component) setCutOff(now time.Duration, cutOff bool, by round, out *event.Batch) {
	p.cutOff, p.healed = cutOff, 0
	name := "LinksBack"
	if cutOff {
		name = "LinksLost"
	}
	out.Emit(event.Log{Level: "warn", Event: name, Fields: []event.Field{
		{Key: "Asked", Value: strconv.Itoa(by.asked)},
		{Key: "Answered", Value: strconv.Itoa(by.answered)},
		{Key: "TookMS", Value: strconv.FormatInt((now - by.startedAt).Milliseconds(), 10)},
		{Key: "SilentMS", Value: strconv.FormatInt((now - p.contactAt).Milliseconds(), 10)},
		{Key: "Relays", Value: strconv.Itoa(len(p.Relays(now)))},
	}})
	out.Emit(event.Count{Name: name, N: 1})
	links := p.links(now)
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Links: links}})
		}
	}
	out.Raise(event.LinksChanged{CutOff: cutOff})
}

func (p *Component) links(now time.Duration) *wire.Links {
	links := &wire.Links{CutOff: p.cutOff, ContactMS: -1}
	if p.contactAt > 0 {
		links.ContactMS = (now - p.contactAt).Milliseconds()
	}
	return links
}

// FillBeat adds the state of this host's links to a heartbeat.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) { heartbeat.Links = p.links(now) }

func (p *Component) setHost(now time.Duration, host string, links *wire.Links) {
	if p.hosts == nil {
		p.hosts = map[string]hostLinks{}
	}
	known := hostLinks{cutOff: links != nil && links.CutOff, stopping: p.hosts[host].stopping}
	if links != nil && links.ContactMS >= 0 {
		known.heard, known.contactAt = true, now-time.Duration(links.ContactMS)*time.Millisecond
	}
	p.hosts[host] = known
}

func (p *Component) setStopping(host string, stopping bool) {
	known := p.hosts[host]
	known.stopping = stopping
	p.hosts[host] = known
}

// CutOff reports whether this host reaches hardly any endpoint although other hosts do.
func (p *Component) CutOff(now time.Duration) bool { return p.cutOff && len(p.Relays(now)) > 0 }

// Relays returns the names of the other hosts that reach endpoints, sorted.
func (p *Component) Relays(now time.Duration) []string {
	var names []string
	for _, h := range p.Membership.Alive(now) {
		links, ok := p.hosts[h.Name]
		if ok && h.Name != p.Self && !links.cutOff && !links.stopping && links.heard && now-links.contactAt < relayContact {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	return names
}

// HostCutOff reports whether another host says that it reaches hardly any endpoint.
func (p *Component) HostCutOff(host string) bool { return p.hosts[host].cutOff }
