package view

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// apply puts changed objects into force. recovered says that the store had just recovered for the host that read them.
func (p *Component) apply(now time.Duration, c *prefixCache, changed []wire.Object, recovered bool, out *event.Batch) {
	if len(changed) == 0 {
		return
	}
	switch c.prefix {
	case PrefixConfig:
		for _, o := range changed {
			p.applySite(o, out)
		}
	case PrefixEndpoints:
		p.applyEndpoints(now, c, changed, recovered, out)
	case PrefixVersions:
		for _, o := range changed {
			p.applyVersion(o, out)
		}
	default:
		for _, o := range changed {
			out.Raise(event.ObjectSeen{Object: o})
		}
	}
}

// applySite puts a configuration into force if it is newer than the current one.
func (p *Component) applySite(o wire.Object, out *event.Batch) {
	if o.Deleted {
		return
	}
	site, entries, err := p.Decoder.Site(o.Value)
	if err != nil {
		reportUndecodable(o.Name, err, out)
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

func (p *Component) applyVersion(o wire.Object, out *event.Batch) {
	if o.Deleted {
		return
	}
	published, err := p.Decoder.Version(o.Value)
	if err != nil {
		reportUndecodable(o.Name, err, out)
		return
	}
	out.Emit(event.Log{Level: "info", Event: "VersionNamed", Fields: []event.Field{
		{Key: "Model", Value: published.Model}, {Key: "Version", Value: strconv.FormatUint(published.Version, 10)},
	}})
	out.Raise(event.VersionPublished(published))
}

// applyEndpoints raises the list of endpoints. An endpoint whose entry was removed during an outage of the store is
// kept for a while, because it may only have been unable to renew the entry. Whether there was an outage is decided by
// the host that read the change: a host that the store refuses learns of changes from the others.
func (p *Component) applyEndpoints(now time.Duration, c *prefixCache, changed []wire.Object, recovered bool, out *event.Batch) {
	for _, o := range changed {
		name := strings.TrimPrefix(o.Name, PrefixEndpoints)
		if !o.Deleted {
			delete(p.expired, name)
			p.decodeEndpoint(name, o, out)
			continue
		}
		previous, known := p.endpoints[name]
		delete(p.endpoints, name)
		delete(p.refused, name)
		if recovered && known && previous.State == wire.Live {
			p.expired[name] = expiredEndpoint{endpoint: previous, removedAt: now}
		}
		out.Emit(event.Log{Level: "info", Event: "EndpointGone", Fields: []event.Field{
			{Key: "Endpoint", Value: name},
			{Key: "Kept", Value: strconv.FormatBool(recovered)},
			{Key: "Revision", Value: strconv.FormatUint(o.Revision, 10)},
		}})
	}
	if p.lastRaise == 0 || now-p.lastRaise >= p.raiseInterval() || slices.ContainsFunc(changed, p.isUrgent) {
		p.raiseEndpoints(now, c, out)
		return
	}
	p.raisePending = true
}

// raiseInterval returns the minimum interval between two endpoint lists.
func (p *Component) raiseInterval() time.Duration {
	interval := time.Duration(len(p.endpoints)) * raiseIntervalPerEndpoint
	if interval < minRaiseInterval {
		return 0
	}
	return interval
}

// isUrgent reports whether a changed entry must take effect at once because its endpoint takes no more work.
func (p *Component) isUrgent(o wire.Object) bool {
	e, ok := p.endpoints[strings.TrimPrefix(o.Name, PrefixEndpoints)]
	return !ok || e.State != wire.Live
}

// raiseDelayed raises a pending endpoint list once the minimum interval has passed.
func (p *Component) raiseDelayed(now time.Duration, out *event.Batch) {
	if p.raisePending && now-p.lastRaise >= p.raiseInterval() {
		p.raiseEndpoints(now, p.prefixCache(PrefixEndpoints), out)
	}
}

// decodeEndpoint decodes one entry. Only changed entries are decoded, because a large fleet has hundreds, of which
// several change each second.
func (p *Component) decodeEndpoint(name string, o wire.Object, out *event.Batch) {
	e, err := p.Decoder.Endpoint(name, o.Value)
	if err != nil {
		delete(p.endpoints, name)
		if len(o.Value) != maxOddBytes || p.refused[name] == "" { // one that was cut here is reported already
			p.refuse(name, err, out)
		}
		return
	}
	delete(p.refused, name)
	p.endpoints[name] = e
}

// refuse reports why an entry can't be decoded, once: its writer may renew it every second.
func (p *Component) refuse(name string, err error, out *event.Batch) {
	if reason := shorten(err.Error()); p.refused[name] != reason {
		p.refused[name] = reason
		reportUndecodable(PrefixEndpoints+name, err, out)
	}
}

// cutOddEntries returns objects read from the store with only the start of long entries that can't be decoded, so that
// their rest is neither kept nor sent to other hosts.
func (p *Component) cutOddEntries(c *prefixCache, objects []wire.Object, out *event.Batch) []wire.Object {
	if c.prefix != PrefixEndpoints {
		return objects
	}
	cloned := false
	for i, o := range objects {
		if o.Deleted || len(o.Value) <= maxOddBytes || o.Revision <= c.objects[o.Name].Revision {
			continue
		}
		name := strings.TrimPrefix(o.Name, PrefixEndpoints)
		_, err := p.Decoder.Endpoint(name, o.Value)
		if err == nil {
			continue
		}
		p.refuse(name, err, out)
		if !cloned {
			objects, cloned = slices.Clone(objects), true
		}
		objects[i].Value = bytes.Clone(o.Value[:maxOddBytes])
	}
	return objects
}

// storeRecentlyRecovered reports whether expired entries may still be renewed after the store's recovery.
func (p *Component) storeRecentlyRecovered(now time.Duration) bool {
	return p.recoveredAt != 0 && now-p.recoveredAt < expiryGrace
}

func (p *Component) raiseEndpoints(now time.Duration, c *prefixCache, out *event.Batch) {
	p.lastRaise, p.raisePending = now, false
	list := wire.EndpointList{Revision: c.newestRevision, Endpoints: make([]wire.Endpoint, 0, len(p.endpoints)+len(p.expired))}
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		list.Endpoints = append(list.Endpoints, p.endpoints[name])
	}
	for _, name := range slices.Sorted(maps.Keys(p.expired)) {
		list.Endpoints = append(list.Endpoints, p.expired[name].endpoint)
	}
	out.Raise(event.EndpointsListed{List: list})
}

// dropExpired removes the expired endpoints whose entries were not renewed in time.
func (p *Component) dropExpired(now time.Duration, out *event.Batch) {
	if len(p.expired) == 0 || p.storeUnavailable() {
		return
	}
	dropped := false
	for name, e := range p.expired {
		if now-max(p.recoveredAt, e.removedAt-expiryGrace) >= expiryGrace {
			delete(p.expired, name)
			dropped = true
		}
	}
	if dropped {
		p.raiseEndpoints(now, p.prefixCache(PrefixEndpoints), out)
	}
}

func reportUndecodable(name string, err error, out *event.Batch) {
	out.Emit(event.Count{Name: "ObjectsRefused", Tags: []event.Field{{Key: "Reason", Value: "Undecodable"}}, N: 1})
	out.Emit(event.Log{Level: "warn", Event: "ObjectRefused", Fields: []event.Field{
		{Key: "Name", Value: shorten(name)}, {Key: "Error", Value: shorten(err.Error())},
	}})
}

// maxLogged is the maximum number of bytes of a name or error in a log line: both may repeat what another writer stored.
const maxLogged = 200

func shorten(text string) string {
	if len(text) <= maxLogged {
		return text
	}
	return strings.ToValidUTF8(text[:maxLogged], "") + "..."
}
