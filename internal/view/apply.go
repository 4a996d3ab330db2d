package view

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// apply puts changed objects into force. returned says that the store had just returned where they were read.
func (p *Part) apply(now time.Duration, f *feed, changed []wire.Object, returned bool, out *event.Batch) {
	if len(changed) == 0 {
		return
	}
	switch f.prefix {
	case PrefixConfig:
		for _, o := range changed {
			p.takeSite(o, out)
		}
	case PrefixEndpoints:
		p.takeEndpoints(now, f, changed, returned, out)
	case PrefixVersions:
		for _, o := range changed {
			p.takeVersion(o, out)
		}
	default:
		for _, o := range changed {
			out.Raise(event.ObjectSeen{Object: o})
		}
	}
}

// takeSite puts a configuration into force that is newer than the one in force.
func (p *Part) takeSite(o wire.Object, out *event.Batch) {
	if o.Deleted {
		return
	}
	site, entries, err := p.Decode.Site(o.Value)
	if err != nil {
		refuse(o.Name, err, out)
		return
	}
	if p.site != nil && site.Revision <= p.site.Revision {
		return
	}
	p.site = site
	p.Keys.Entries = entries
	out.Emit(event.Log{Level: "info", Event: "ConfigInForce", Fields: []event.Field{
		{Key: "Version", Value: strconv.FormatUint(site.Revision, 10)},
		{Key: "Revision", Value: strconv.FormatUint(o.Revision, 10)},
		{Key: "Routes", Value: strconv.Itoa(len(site.Routes))},
		{Key: "Keys", Value: strconv.Itoa(len(entries))},
	}})
	out.Raise(event.ConfigInForce{Site: site})
	out.Raise(event.KeysInForce{Revision: site.Revision})
}

func (p *Part) takeVersion(o wire.Object, out *event.Batch) {
	if o.Deleted {
		return
	}
	named, err := p.Decode.Version(o.Value)
	if err != nil {
		refuse(o.Name, err, out)
		return
	}
	out.Emit(event.Log{Level: "info", Event: "VersionNamed", Fields: []event.Field{
		{Key: "Model", Value: named.Model}, {Key: "Version", Value: strconv.FormatUint(named.Version, 10)},
	}})
	out.Raise(event.VersionPublished(named))
}

// takeEndpoints raises the list of endpoints. An entry that went while the store was away is kept for a while, since
// its endpoint may only have been unable to renew it. Whether it was away is known where the change was read: a host that
// the store turns away hears of changes from others.
func (p *Part) takeEndpoints(now time.Duration, f *feed, changed []wire.Object, returned bool, out *event.Batch) {
	for _, o := range changed {
		name := strings.TrimPrefix(o.Name, PrefixEndpoints)
		if !o.Deleted {
			delete(p.lapsed, name)
			p.decodeEndpoint(name, o, out)
			continue
		}
		gone, known := p.endpoints[name]
		delete(p.endpoints, name)
		if returned && known && gone.State == wire.Live {
			p.lapsed[name] = lapse{endpoint: gone, since: now}
		}
		out.Emit(event.Log{Level: "info", Event: "EndpointGone", Fields: []event.Field{
			{Key: "Endpoint", Value: name},
			{Key: "Kept", Value: strconv.FormatBool(returned)},
			{Key: "Revision", Value: strconv.FormatUint(o.Revision, 10)},
		}})
	}
	if p.raisedAt == 0 || now-p.raisedAt >= p.raiseWait() || slices.ContainsFunc(changed, p.isUrgent) {
		p.raiseEndpoints(now, f, out)
		return
	}
	p.raiseDue = true
}

// raiseWait returns the least time between two lists.
func (p *Part) raiseWait() time.Duration {
	wait := time.Duration(len(p.endpoints)) * raisePerEndpoint
	if wait < leastRaiseWait {
		return 0
	}
	return wait
}

// isUrgent reports whether a changed entry must be known at once: its endpoint takes no more work.
func (p *Part) isUrgent(o wire.Object) bool {
	e, ok := p.endpoints[strings.TrimPrefix(o.Name, PrefixEndpoints)]
	return !ok || e.State != wire.Live
}

// raiseWaiting raises a list that waited.
func (p *Part) raiseWaiting(now time.Duration, out *event.Batch) {
	if p.raiseDue && now-p.raisedAt >= p.raiseWait() {
		p.raiseEndpoints(now, p.feed(PrefixEndpoints), out)
	}
}

// decodeEndpoint reads one entry. Only those that change are read: a large fleet has hundreds, of which several change in
// each second.
func (p *Part) decodeEndpoint(name string, o wire.Object, out *event.Batch) {
	e, err := p.Decode.Endpoint(name, o.Value)
	if err != nil {
		delete(p.endpoints, name)
		refuse(o.Name, err, out)
		return
	}
	p.endpoints[name] = e
}

// justReturned reports whether lapsed entries may still come back after the store's return.
func (p *Part) justReturned(now time.Duration) bool {
	return p.returned != 0 && now-p.returned < lapseGrace
}

func (p *Part) raiseEndpoints(now time.Duration, f *feed, out *event.Batch) {
	p.raisedAt, p.raiseDue = now, false
	list := wire.EndpointList{Revision: f.newest, Endpoints: make([]wire.Endpoint, 0, len(p.endpoints)+len(p.lapsed))}
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		list.Endpoints = append(list.Endpoints, p.endpoints[name])
	}
	for _, name := range slices.Sorted(maps.Keys(p.lapsed)) {
		list.Endpoints = append(list.Endpoints, p.lapsed[name].endpoint)
	}
	out.Raise(event.EndpointsListed{List: list})
}

// dropLapsed gives up the kept entries that have not come back in time.
func (p *Part) dropLapsed(now time.Duration, out *event.Batch) {
	if len(p.lapsed) == 0 || p.away() {
		return
	}
	dropped := false
	for name, l := range p.lapsed {
		if now-max(p.returned, l.since-lapseGrace) >= lapseGrace {
			delete(p.lapsed, name)
			dropped = true
		}
	}
	if dropped {
		p.raiseEndpoints(now, p.feed(PrefixEndpoints), out)
	}
}

func refuse(name string, err error, out *event.Batch) {
	out.Emit(event.Count{Name: "ObjectsRefused", Tags: []event.Field{{Key: "Reason", Value: "Undecodable"}}, N: 1})
	out.Emit(event.Log{Level: "warn", Event: "ObjectRefused", Fields: []event.Field{
		{Key: "Name", Value: name}, {Key: "Error", Value: err.Error()},
	}})
}
