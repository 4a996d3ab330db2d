package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// reading are the flags of the commands that read reports.
type reading struct {
	operators
	asJSON bool
}

func (r *reading) declare(f *flag.FlagSet) {
	r.operators.declare(f)
	f.BoolVar(&r.asJSON, "json", false, "print the reports as JSON")
}

func (r *reading) reports(ctx context.Context) ([]wire.Status, error) {
	client, err := r.client()
	if err != nil {
		return nil, err
	}
	reports := client.Reports(ctx)
	if len(reports) > 0 {
		return reports, nil
	}
	_, err = client.Status(ctx, client.Addresses[0])
	if err == nil {
		err = kinds.New(kinds.NotReady, "no listener answers")
	}
	return nil, kinds.New(kinds.Internal, "no listener answers: %v", err)
}

// printJSON prints a value with one field a line.
func (o output) printJSON(value any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func statusCommand(o output) *command {
	var r reading
	return &command{
		output:   o,
		name:     "status",
		synopsis: "print hosts, duties, endpoints, organisations, rollouts and usage windows",
		example:  "figctl status --operators 10.0.0.1:8081,10.0.0.2:8081 --credential-file credential",
		flags:    r.declare,
		run: func(ctx context.Context, _ []string) error {
			reports, err := r.reports(ctx)
			if err != nil {
				return err
			}
			if r.asJSON {
				return o.printJSON(reports)
			}
			o.printStatus(reports)
			return nil
		},
	}
}

func fleetCommand(o output) *command {
	var r reading
	return &command{
		output:   o,
		name:     "fleet",
		synopsis: "print the endpoints of each zone with price, state, version and load",
		example:  "figctl fleet --operators 10.0.0.1:8081 --credential-file credential",
		flags:    r.declare,
		run: func(ctx context.Context, _ []string) error {
			reports, err := r.reports(ctx)
			if err != nil {
				return err
			}
			endpoints := mergeEndpoints(reports)
			if r.asJSON {
				return o.printJSON(endpoints)
			}
			o.printFleet(endpoints)
			return nil
		},
	}
}

func (o output) printStatus(reports []wire.Status) {
	o.printDaemons(reports)
	o.printHosts(reports)
	o.printDuties(reports)
	o.printFleet(mergeEndpoints(reports))
	o.printOrganisations(reports)
	o.printRollouts(reports)
	o.printWindows(reports)
}

func (o output) printDaemons(reports []wire.Status) {
	rows := [][]string{{"DAEMON", "ZONE", "READY", "REASON", "CONFIG", "KEYS", "EVIDENCE"}}
	for _, r := range reports {
		rows = append(rows, []string{
			r.Host, r.Zone, strconv.FormatBool(r.Ready), r.Reason,
			number(r.ConfigRevision), number(r.KeysRevision), fmt.Sprintf("%dms", r.EvidenceAgeMS),
		})
	}
	o.table(rows)
}

// printHosts prints the hosts as the first report that lists any sees them.
func (o output) printHosts(reports []wire.Status) {
	rows := [][]string{{"HOST", "ZONE", "ALIVE", "BEAT", "CONFIG", "KEYS"}}
	for _, r := range reports {
		if len(r.Hosts) == 0 {
			continue
		}
		for _, h := range r.Hosts {
			rows = append(rows, []string{
				h.Host, h.Zone, strconv.FormatBool(h.Alive), fmt.Sprintf("%dms", h.BeatAgeMS),
				number(h.ConfigRevision), number(h.KeysRevision),
			})
		}
		break
	}
	o.table(rows)
}

// printDuties prints the holder of the highest epoch that any report knows.
func (o output) printDuties(reports []wire.Status) {
	best := map[string]wire.DutyStatus{}
	for _, r := range reports {
		for _, d := range r.Duties {
			if d.Epoch >= best[d.Duty].Epoch {
				best[d.Duty] = d
			}
		}
	}
	rows := [][]string{{"DUTY", "HOLDER", "EPOCH"}}
	for _, n := range sorted(best) {
		rows = append(rows, []string{n, best[n].Holder, number(best[n].Epoch)})
	}
	o.table(rows)
}

// mergeEndpoints returns each endpoint once, with the outstanding requests of all daemons added up.
func mergeEndpoints(reports []wire.Status) []wire.EndpointStatus {
	all := map[string]wire.EndpointStatus{}
	for _, r := range reports {
		for _, e := range r.Endpoints {
			seen, ok := all[e.Endpoint]
			if !ok {
				all[e.Endpoint] = e
				continue
			}
			seen.Outstanding += e.Outstanding
			seen.Ejected = seen.Ejected || e.Ejected
			seen.Version = max(seen.Version, e.Version)
			seen.LoadTokens = max(seen.LoadTokens, e.LoadTokens)
			all[e.Endpoint] = seen
		}
	}
	var list []wire.EndpointStatus
	for _, n := range sorted(all) {
		list = append(list, all[n])
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Zone < list[j].Zone })
	return list
}

func (o output) printFleet(endpoints []wire.EndpointStatus) {
	rows := [][]string{{"ENDPOINT", "ZONE", "KIND", "PRICE", "STATE", "VERSION", "OUTSTANDING", "LOAD", "EJECTED"}}
	for _, e := range endpoints {
		rows = append(rows, []string{
			e.Endpoint, e.Zone, string(e.Kind), string(e.Price), string(e.State),
			number(e.Version), number(e.Outstanding), number(e.LoadTokens), strconv.FormatBool(e.Ejected),
		})
	}
	o.table(rows)
}

// printOrganisations adds up the queues and refusals of all daemons that report.
func (o output) printOrganisations(reports []wire.Status) {
	all := map[string]wire.OrganisationStatus{}
	for _, r := range reports {
		for _, g := range r.Organisations {
			sum, ok := all[g.Organisation]
			if !ok {
				sum = wire.OrganisationStatus{Organisation: g.Organisation, Weight: g.Weight, Share: g.Share, Refused: map[string]uint64{}}
			}
			sum.Queued += g.Queued
			sum.Running += g.Running
			for kind, n := range g.Refused {
				sum.Refused[kind] += n
			}
			all[g.Organisation] = sum
		}
	}
	rows := [][]string{{"ORGANISATION", "WEIGHT", "SHARE", "QUEUED", "RUNNING", "REFUSED"}}
	for _, n := range sorted(all) {
		g := all[n]
		rows = append(rows, []string{n, number(g.Weight), fmt.Sprintf("%.3f", g.Share), number(g.Queued), number(g.Running), refusals(g.Refused)})
	}
	o.table(rows)
}

func refusals(refused map[string]uint64) string {
	var parts []string
	for _, kind := range sorted(refused) {
		parts = append(parts, fmt.Sprintf("%s=%d", kind, refused[kind]))
	}
	return strings.Join(parts, " ")
}

func (o output) printRollouts(reports []wire.Status) {
	rows := [][]string{{"ROLLOUT", "SEALED", "HANDED", "NEWEST", "CONSUMER", "RUNNING", "DELIVERED"}}
	for _, r := range reports {
		for _, t := range r.Rollouts {
			rows = append(rows, []string{
				t.Rollout, number(t.Sealed), number(t.Handed), number(t.Newest), t.Consumer, number(t.Running), number(t.Delivered),
			})
		}
	}
	o.table(rows)
}

func (o output) printWindows(reports []wire.Status) {
	rows := [][]string{{"WINDOW", "REPORT", "HOLDER", "EPOCH", "ORGANISATION", "REQUESTS", "PROMPT", "CACHED", "GENERATED", "LATE"}}
	for _, r := range reports {
		for _, w := range r.Windows {
			for _, f := range w.Figures {
				rows = append(rows, []string{
					number(w.Window), w.ReportID, w.Holder, number(w.Epoch), f.Organisation, number(f.Requests),
					number(f.PromptTokens), number(f.CachedTokens), number(f.GeneratedTokens), number(f.LateTokens),
				})
			}
		}
	}
	o.table(rows)
}
