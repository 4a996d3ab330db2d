package flow

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

func (p *Component) handleStatusAsked(now time.Duration, e event.StatusAsked, out *event.Batch) {
	report := event.StatusPart{Seq: e.Seq}
	report.Status.Endpoints = p.endpointStatus(now)
	report.Status.Organisations = p.organisationStatus()
	out.Emit(report)
}

func (p *Component) endpointStatus(now time.Duration) []wire.EndpointStatus {
	var all []wire.EndpointStatus
	for _, e := range p.table.All() {
		all = append(all, wire.EndpointStatus{
			Endpoint:    e.Name,
			Zone:        e.Zone,
			Kind:        e.Kind,
			Price:       e.Price,
			State:       p.table.State(e),
			Version:     e.Version,
			Outstanding: e.Running,
			LoadTokens:  e.Load(),
			Ejected:     e.Ejected(now),
		})
	}
	return all
}

func (p *Component) organisationStatus() []wire.OrganisationStatus {
	if p.site == nil {
		return nil
	}
	running := map[string]int{}
	for _, r := range p.requests {
		if !r.waits() {
			running[r.organisation]++
		}
	}
	var all []wire.OrganisationStatus
	for _, name := range sortedKeys(p.site.Organisations) {
		waiting, _ := p.Queue.Len(name)
		all = append(all, wire.OrganisationStatus{
			Organisation: name,
			Weight:       p.site.Organisations[name].Weight,
			Share:        p.servedTokens.Share(name),
			Queued:       waiting,
			Running:      running[name],
			Refused:      refusalsByKind(p.refusals[name]),
		})
	}
	return all
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func refusalsByKind(refused map[kinds.Kind]uint64) map[string]uint64 {
	if len(refused) == 0 {
		return nil
	}
	all := make(map[string]uint64, len(refused))
	for k, n := range refused {
		all[string(k)] = n
	}
	return all
}
