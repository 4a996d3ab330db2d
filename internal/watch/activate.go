package watch

import (
	"encoding/json"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// activate puts changed objects into force.
func (p *Component) activate(f *feed, changed []wire.Object, out *event.Batch) {
	if len(changed) == 0 {
		return
	}
	switch f.prefix {
	case PrefixConfig:
		p.activateSite(changed, out)
	case keys.Prefix:
		p.activateKeys(f, changed, out)
	default:
		for _, o := range changed {
			out.Raise(event.ObjectSeen{Object: o})
		}
	}
}

// activateSite puts the configuration into force if its revision is higher than that of the one in force.
func (p *Component) activateSite(changed []wire.Object, out *event.Batch) {
	for _, o := range changed {
		if o.Name != SiteObjectName || o.Deleted {
			continue
		}
		site := &config.Site{}
		if err := json.Unmarshal(o.Value, site); err != nil {
			reportRefused(o.Name, err, out)
			continue
		}
		if p.site != nil && site.Revision <= p.site.Revision {
			continue
		}
		if problems := site.Problems(); len(problems) > 0 {
			reportRefused(o.Name, problems, out)
			continue
		}
		p.site = site
		p.trust = site.Trust
		out.Raise(event.ConfigInForce{Site: site})
	}
}

func (p *Component) activateKeys(f *feed, changed []wire.Object, out *event.Batch) {
	for _, o := range changed {
		if o.Deleted {
			p.Keys.RemoveShard(o.Name)
			continue
		}
		shard := keys.Shard{}
		if err := json.Unmarshal(o.Value, &shard); err != nil {
			reportRefused(o.Name, err, out)
			continue
		}
		p.Keys.SetShard(o.Name, shard)
	}
	out.Raise(event.KeysInForce{Revision: f.knownRevision})
}

func reportRefused(name string, err error, out *event.Batch) {
	out.Emit(event.Count{Name: "ObjectsRefused", Tags: []event.Field{{Key: "Reason", Value: "Undecodable"}}, N: 1})
	out.Emit(event.Log{Level: "error", Event: "ObjectRefused", Fields: []event.Field{
		{Key: "Name", Value: name},
		{Key: "Error", Value: err.Error()},
	}})
}

// endpoints holds the platform's endpoint list and the state of the calls that fetch it.
type endpoints struct {
	list        wire.EndpointList
	callPending bool
	callSeq     uint64
	nextCallAt  time.Duration
}

func (p *Component) listEndpoints(now time.Duration, out *event.Batch) {
	if p.endpoints.callPending || now < p.endpoints.nextCallAt {
		return
	}
	p.endpoints.callPending = true
	p.endpoints.nextCallAt = now + listInterval
	p.callSeq++
	p.endpoints.callSeq = p.callSeq
	out.Emit(event.ListEndpoints{Call: event.ObjectCall{Owner: callOwner, Seq: p.callSeq}})
}

func (p *Component) endpointsDone(now time.Duration, e event.EndpointsDone, out *event.Batch) {
	if e.Call.Owner != callOwner || e.Call.Seq != p.endpoints.callSeq {
		return
	}
	p.endpoints.callPending = false
	if e.Kind != "" {
		out.Emit(event.Count{Name: "WatchRetries", Tags: []event.Field{{Key: "Reason", Value: string(kinds.StoreUnavailable)}}, N: 1})
		return
	}
	if !p.updateEndpoints(e.List, out) {
		return
	}
	p.sendEndpoints(now, wire.EndpointSet(e.List), "", out)
}

// sendEndpoints sends the list to every host that is alive except the one from which it came.
func (p *Component) sendEndpoints(now time.Duration, set wire.EndpointSet, from string, out *event.Batch) {
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self.Name && h.Name != from {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Endpoints: &set}})
		}
	}
}

// updateEndpoints replaces the known list by a newer one. It reports whether list was newer.
func (p *Component) updateEndpoints(list wire.EndpointList, out *event.Batch) bool {
	if list.Revision <= p.endpoints.list.Revision {
		return false
	}
	p.endpoints.list = list
	out.Raise(event.EndpointsListed{List: list})
	return true
}
