package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// keepTime is the time after its last use for which a stream is remembered, and maxStreams the number of streams beyond
	// which those that were not used for the longest time are forgotten.
	keepTime   = 2 * time.Minute
	maxStreams = 1 << 17
	// seekTimeout bounds the wait for the answers of other hosts. A host that is suspended or cut off gives none.
	seekTimeout = 150 * time.Millisecond
)

// Membership provides the hosts that are alive.
type Membership interface {
	// Alive returns the hosts that are alive at time now, sorted by name and including this one.
	Alive(now time.Duration) []event.Host
}

// Component is the component of the reducer that remembers the origins of streams and shares them with the other hosts. In
// a fully connected fleet each host tells all others of the streams that begin at it. In a large fleet it tells the hubs of
// its zone, and the hubs ask those of the other zones. Its exported fields are set before the first Step. It must not be
// used concurrently.
type Component struct {
	Self       event.Host
	Membership Membership

	streams map[Stream]*record
	uses    []use // in order of time; a stream's last one is that in its record
	sought  map[Stream]*search
	zones   map[string]string // by host
	hubs    []string
}

type record struct {
	origin Origin
	usedAt time.Duration
}

type use struct {
	stream Stream
	at     time.Duration
}

// search is a question to other hosts that is not answered yet.
type search struct {
	until   time.Duration
	waiting map[string]bool // hosts that have not answered
	askers  map[string]bool // hosts that asked this one
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.lazyInit()
	switch e := ev.(type) {
	case event.HostsChanged:
		p.hubs, p.zones = e.Hubs, event.ZonesOf(e.Hosts)
	case event.PeerReceived:
		for _, news := range e.Message.Streams {
			p.handleNews(now, e.Host, news, out)
		}
	case event.Tick:
		p.expireSearches(now, out)
		p.forgetOld(now)
	}
}

func (p *Component) lazyInit() {
	if p.streams == nil {
		p.streams, p.sought = map[Stream]*record{}, map[Stream]*search{}
	}
}

// Began takes that the first event of a stream, or of a part of it that was taken up again, is passed on.
func (p *Component) Began(now time.Duration, stream Stream, at Origin, out *event.Batch) {
	p.lazyInit()
	p.keep(now, stream, at)
	for _, host := range p.keepers(now) {
		p.send(host, newsOf(stream, at), out)
	}
}

// Lookup returns the origin of a stream; ok is false when it is not known on this host.
func (p *Component) Lookup(_ time.Duration, stream Stream) (at Origin, ok bool) {
	r := p.streams[stream]
	if r == nil {
		return at, false
	}
	return r.origin, true
}

// Seek asks other hosts for a stream's origin. It returns false when there is nobody to ask; else event.StreamSought
// follows, once Lookup knows the origin or no host does.
func (p *Component) Seek(now time.Duration, stream Stream, out *event.Batch) bool {
	return p.seek(now, stream, p.askable(now), "", out)
}

// Alone reports whether this is the only host that there is. It isn't known to be before the hosts are.
func (p *Component) Alone() bool {
	_, known := p.zones[p.Self.Name]
	return known && len(p.zones) == 1
}

// seek asks hosts for a stream's origin, on behalf of this host when asker is "".
func (p *Component) seek(now time.Duration, stream Stream, hosts []string, asker string, out *event.Batch) bool {
	p.lazyInit()
	s := p.sought[stream]
	if s == nil {
		if len(hosts) == 0 {
			return false
		}
		s = &search{until: now + seekTimeout, waiting: map[string]bool{}, askers: map[string]bool{}}
		p.sought[stream] = s
		for _, host := range hosts {
			s.waiting[host] = true
			p.send(host, wire.StreamNews{Organisation: stream.Organisation, ID: stream.ID, Asked: true}, out)
		}
	}
	if asker != "" {
		s.askers[asker] = true
	}
	return true
}

// keepers returns the hosts that are told of the streams that begin here.
func (p *Component) keepers(now time.Duration) []string {
	return p.others(now, func(host string) bool {
		return len(p.hubs) == 0 || p.isHub(host) && p.zones[host] == p.Self.Zone
	})
}

// askable returns the hosts that may know a stream that began elsewhere.
func (p *Component) askable(now time.Duration) []string {
	if p.isHub(p.Self.Name) {
		return p.others(now, p.isHub)
	}
	return p.keepers(now)
}

func (p *Component) isHub(host string) bool { return slices.Contains(p.hubs, host) }

// others returns the names of the other hosts that are alive and match.
func (p *Component) others(now time.Duration, match func(host string) bool) []string {
	var names []string
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self.Name && match(h.Name) {
			names = append(names, h.Name)
		}
	}
	return names
}

// handleNews takes what another host tells of a stream, or asks.
func (p *Component) handleNews(now time.Duration, from string, news wire.StreamNews, out *event.Batch) {
	stream := Stream{Organisation: news.Organisation, ID: news.ID}
	if news.Asked {
		p.handleQuestion(now, from, stream, out)
		return
	}
	if !news.Unknown {
		p.keep(now, stream, Origin{Service: news.Service, Software: news.Software})
		p.endSearch(stream, out)
		return
	}
	if s := p.sought[stream]; s != nil {
		delete(s.waiting, from)
		if len(s.waiting) == 0 {
			p.endSearch(stream, out)
		}
	}
}

// handleQuestion answers another host. A hub that doesn't know the stream asks the hubs of the other zones first.
func (p *Component) handleQuestion(now time.Duration, from string, stream Stream, out *event.Batch) {
	if at, ok := p.Lookup(now, stream); ok {
		p.send(from, newsOf(stream, at), out)
		return
	}
	if p.isHub(p.Self.Name) && !p.isHub(from) && p.seek(now, stream, p.others(now, p.isHub), from, out) {
		return
	}
	p.send(from, unknown(stream), out)
}

// endSearch reports the end of a search to those who wait for it.
func (p *Component) endSearch(stream Stream, out *event.Batch) {
	s := p.sought[stream]
	if s == nil {
		return
	}
	delete(p.sought, stream)
	news := unknown(stream)
	if r := p.streams[stream]; r != nil {
		news = newsOf(stream, r.origin)
	}
	unsure := news.Unknown && len(s.waiting) > 0
	for _, host := range slices.Sorted(maps.Keys(s.askers)) {
		if !unsure {
			p.send(host, news, out)
		}
	}
	out.Raise(event.StreamSought{Organisation: stream.Organisation, ID: stream.ID, Unsure: unsure})
}

func (p *Component) expireSearches(now time.Duration, out *event.Batch) {
	var late []Stream
	for stream, s := range p.sought {
		if now >= s.until {
			late = append(late, stream)
		}
	}
	slices.SortFunc(late, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.ID, b.ID))
	})
	for _, stream := range late {
		p.endSearch(stream, out)
	}
}

// keep remembers the origin of a stream. The first one stays: a stream never changes its version.
func (p *Component) keep(now time.Duration, stream Stream, at Origin) {
	r := p.streams[stream]
	if r == nil {
		r = &record{origin: at}
		p.streams[stream] = r
	}
	r.usedAt = now
	p.uses = append(p.uses, use{stream, now})
	for len(p.streams) > maxStreams {
		p.forgetFirst()
	}
}

func (p *Component) forgetOld(now time.Duration) {
	for len(p.uses) > 0 && now-p.uses[0].at > keepTime {
		p.forgetFirst()
	}
}

// forgetFirst drops the earliest use, and the stream when it was not used since.
func (p *Component) forgetFirst() {
	first := p.uses[0]
	p.uses = p.uses[1:]
	if r := p.streams[first.stream]; r != nil && r.usedAt == first.at {
		delete(p.streams, first.stream)
	}
}

func (p *Component) send(host string, news wire.StreamNews, out *event.Batch) {
	out.Emit(event.SendPeer{Host: host, Message: wire.Message{Streams: []wire.StreamNews{news}}})
}

func newsOf(stream Stream, at Origin) wire.StreamNews {
	return wire.StreamNews{Organisation: stream.Organisation, ID: stream.ID, Service: at.Service, Software: at.Software}
}

func unknown(stream Stream) wire.StreamNews {
	return wire.StreamNews{Organisation: stream.Organisation, ID: stream.ID, Unknown: true}
}
