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

// take puts changed objects into force.
func (p *Part) take(f *feed, changed []wire.Object, out *event.Batch) {
	if len(changed) == 0 {
		return
	}
	switch f.prefix {
	case PrefixConfig:
		p.takeSite(changed, out)
	case keys.Prefix:
		p.takeKeys(f, changed, out)
	default:
		for _, o := range changed {
			out.Raise(event.ObjectSeen{Object: o})
		}
	}
}

// takeSite puts a configuration into force whose revision is higher than that in force.
func (p *Part) takeSite(changed []wire.Object, out *event.Batch) {
	for _, o := range changed {
		if o.Name != SiteObject || o.Deleted {
			continue
		}
		site := &config.Site{}
		if err := json.Unmarshal(o.Value, site); err != nil {
			refuse(o.Name, err, out)
			continue
		}
		if p.site != nil && site.Revision <= p.site.Revision {
			continue
		}
		if problems := site.Problems(); len(problems) > 0 {
			refuse(o.Name, problems, out)
			continue
		}
		p.site = site
		p.trust = site.Trust
		out.Raise(event.ConfigInForce{Site: site})
	}
}

func (p *Part) takeKeys(f *feed, changed []wire.Object, out *event.Batch) {
	for _, o := range changed {
		if o.Deleted {
			p.Keys.RemoveShard(o.Name)
			continue
		}
		shard := keys.Shard{}
		if err := json.Unmarshal(o.Value, &shard); err != nil {
			refuse(o.Name, err, out)
			continue
		}
		p.Keys.SetShard(o.Name, shard)
	}
	out.Raise(event.KeysInForce{Revision: f.upTo})
}

func refuse(name string, err error, out *event.Batch) {
	out.Emit(event.Count{Name: "ObjectsRefused", Tags: []event.Field{{Key: "Reason", Value: "Undecodable"}}, N: 1})
	out.Emit(event.Log{Level: "error", Event: "ObjectRefused", Fields: []event.Field{
		{Key: "Name", Value: name},
		{Key: "Error", Value: err.Error()},
	}})
}

// endpoints holds the platform's endpoint list and the call for it.
type endpoints struct {
	list wire.EndpointList
	busy bool
	seq  uint64
	next time.Duration
}

func (p *Part) listEndpoints(now time.Duration, out *event.Batch) {
	if p.endpoints.busy || now < p.endpoints.next {
		return
	}
	p.endpoints.busy = true
	p.endpoints.next = now + listEvery
	p.seq++
	p.endpoints.seq = p.seq
	out.Emit(event.ListEndpoints{Call: event.ObjectCall{Owner: owner, Seq: p.seq}})
}

func (p *Part) endpointsDone(now time.Duration, e event.EndpointsDone, out *event.Batch) {
	if e.Call.Owner != owner || e.Call.Seq != p.endpoints.seq {
		return
	}
	p.endpoints.busy = false
	if e.Kind != "" {
		out.Emit(event.Count{Name: "WatchRetries", Tags: []event.Field{{Key: "Reason", Value: string(kinds.StoreUnavailable)}}, N: 1})
		return
	}
	if !p.takeEndpoints(e.List, out) {
		return
	}
	p.pushEndpoints(now, wire.EndpointSet(e.List), "", out)
}

// pushEndpoints sends the list to every heard host but the one that it came from.
func (p *Part) pushEndpoints(now time.Duration, set wire.EndpointSet, from string, out *event.Batch) {
	for _, h := range p.Roster.Alive(now) {
		if h.Name != p.Self.Name && h.Name != from {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Endpoints: &set}})
		}
	}
}

// takeEndpoints takes a list that is newer than the known one and reports whether it was.
func (p *Part) takeEndpoints(list wire.EndpointList, out *event.Batch) bool {
	if list.Revision <= p.endpoints.list.Revision {
		return false
	}
	p.endpoints.list = list
	out.Raise(event.EndpointsListed{List: list})
	return true
}
