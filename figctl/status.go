package main

import (
	"cmp"
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

// reportFlags are the flags of the commands that print the daemons' reports.
type reportFlags struct {
	operatorFlags
	asJSON bool
}

func (r *reportFlags) declareFlags(f *flag.FlagSet) {
	r.operatorFlags.declareFlags(f)
	f.BoolVar(&r.asJSON, "json", false, "print the reports as JSON")
}

func (r *reportFlags) fetchReports(ctx context.Context) ([]wire.Status, error) {
	client, err := r.adminClient()
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

// printJSON prints a value as indented JSON.
func (o output) printJSON(value any) error {
	encoder := json.NewEncoder(o.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func statusCommand(o output) *command {
	var report reportFlags
	return &command{
		output:   o,
		name:     "status",
		synopsis: "print hosts, duties, endpoints, organisations, rollouts and usage windows",
		example:  "figctl status --operators 10.0.0.1:8081,10.0.0.2:8081 --credential-file credential",
		flags:    report.declareFlags,
		run: func(ctx context.Context, _ []string) error {
			reports, err := report.fetchReports(ctx)
			if err != nil {
				return err
			}
			if report.asJSON {
				return o.printJSON(reports)
			}
			o.printStatus(reports)
			return nil
		},
	}
}

func fleetCommand(o output) *command {
	var report reportFlags
	return &command{
		output:   o,
		name:     "fleet",
		synopsis: "print the endpoints of each zone with price, state, version and load",
		example:  "figctl fleet --operators 10.0.0.1:8081 --credential-file credential",
		flags:    report.declareFlags,
		run: func(ctx context.Context, _ []string) error {
			reports, err := report.fetchReports(ctx)
			if err != nil {
				return err
			}
			endpoints := mergeEndpoints(reports)
			if report.asJSON {
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
	rows := [][]string{{"DAEMON", "ZONE", "BUILD", "READY", "REASON", "CONFIG", "KEYS", "EVIDENCE"}}
	for _, r := range reports {
		rows = append(rows, []string{
			r.Host, r.Zone, formatBuild(r.Build), strconv.FormatBool(r.Ready), r.Reason,
			formatNumber(r.ConfigRevision), formatNumber(r.KeysRevision), fmt.Sprintf("%dms", r.EvidenceAgeMS),
		})
	}
	o.printTable(rows)
}

// printHosts prints the hosts of the first report that lists any.
func (o output) printHosts(reports []wire.Status) {
	rows := [][]string{{"HOST", "ZONE", "BUILD", "ALIVE", "BEAT", "CONFIG", "KEYS"}}
	for _, r := range reports {
		if len(r.Hosts) == 0 {
			continue
		}
		for _, h := range r.Hosts {
			rows = append(rows, []string{
				h.Host, h.Zone, formatBuild(h.Build), strconv.FormatBool(h.Alive), fmt.Sprintf("%dms", h.BeatAgeMS),
				formatNumber(h.ConfigRevision), formatNumber(h.KeysRevision),
			})
		}
		break
	}
	o.printTable(rows)
}

// formatBuild returns a build as it is printed. Builds that do not tell their name are older than those that do.
func formatBuild(build string) string { return cmp.Or(build, "older") }

// printDuties prints the holder of each duty, from the report with the highest epoch.
func (o output) printDuties(reports []wire.Status) {
	newest := map[string]wire.DutyStatus{}
	for _, r := range reports {
		for _, d := range r.Duties {
			if d.Epoch >= newest[d.Duty].Epoch {
				newest[d.Duty] = d
			}
		}
	}
	rows := [][]string{{"DUTY", "HOLDER", "EPOCH"}}
	for _, duty := range sortedKeys(newest) {
		rows = append(rows, []string{duty, newest[duty].Holder, formatNumber(newest[duty].Epoch)})
	}
	o.printTable(rows)
}

// mergeEndpoints merges the reports into one entry per endpoint, sorted by zone and name, with the sum of all daemons'
// outstanding requests, the highest version and token load, and Ejected when any daemon has ejected it.
func mergeEndpoints(reports []wire.Status) []wire.EndpointStatus {
	merged := map[string]wire.EndpointStatus{}
	for _, r := range reports {
		for _, e := range r.Endpoints {
			endpoint, ok := merged[e.Endpoint]
			if !ok {
				merged[e.Endpoint] = e
				continue
			}
			endpoint.Outstanding += e.Outstanding
			endpoint.Ejected = endpoint.Ejected || e.Ejected
			endpoint.Version = max(endpoint.Version, e.Version)
			endpoint.LoadTokens = max(endpoint.LoadTokens, e.LoadTokens)
			merged[e.Endpoint] = endpoint
		}
	}
	var endpoints []wire.EndpointStatus
	for _, name := range sortedKeys(merged) {
		endpoints = append(endpoints, merged[name])
	}
	sort.SliceStable(endpoints, func(i, j int) bool { return endpoints[i].Zone < endpoints[j].Zone })
	return endpoints
}

func (o output) printFleet(endpoints []wire.EndpointStatus) {
	rows := [][]string{{"ENDPOINT", "ZONE", "KIND", "PRICE", "STATE", "VERSION", "OUTSTANDING", "LOAD", "EJECTED"}}
	for _, e := range endpoints {
		rows = append(rows, []string{
			e.Endpoint, e.Zone, string(e.Kind), string(e.Price), string(e.State),
			formatNumber(e.Version), formatNumber(e.Outstanding), formatNumber(e.LoadTokens), strconv.FormatBool(e.Ejected),
		})
	}
	o.printTable(rows)
}

// printOrganisations prints the sums of the queues, running requests and refusals of all reporting daemons.
func (o output) printOrganisations(reports []wire.Status) {
	totals := map[string]wire.OrganisationStatus{}
	for _, r := range reports {
		for _, g := range r.Organisations {
			total, ok := totals[g.Organisation]
			if !ok {
				total = wire.OrganisationStatus{Organisation: g.Organisation, Weight: g.Weight, Share: g.Share, Refused: map[string]uint64{}}
			}
			total.Queued += g.Queued
			total.Running += g.Running
			for kind, count := range g.Refused {
				total.Refused[kind] += count
			}
			totals[g.Organisation] = total
		}
	}
	rows := [][]string{{"ORGANISATION", "WEIGHT", "SHARE", "QUEUED", "RUNNING", "REFUSED"}}
	for _, name := range sortedKeys(totals) {
		g := totals[name]
		rows = append(rows, []string{name, formatNumber(g.Weight), fmt.Sprintf("%.3f", g.Share), formatNumber(g.Queued), formatNumber(g.Running), formatRefusals(g.Refused)})
	}
	o.printTable(rows)
}

func formatRefusals(refused map[string]uint64) string {
	var parts []string
	for _, kind := range sortedKeys(refused) {
		parts = append(parts, fmt.Sprintf("%s=%d", kind, refused[kind]))
	}
	return strings.Join(parts, " ")
}

func (o output) printRollouts(reports []wire.Status) {
	rows := [][]string{{"ROLLOUT", "SEALED", "HANDED", "NEWEST", "CONSUMER", "RUNNING", "DELIVERED"}}
	for _, r := range reports {
		for _, t := range r.Rollouts {
			rows = append(rows, []string{
				t.Rollout, formatNumber(t.Sealed), formatNumber(t.Handed), formatNumber(t.Newest), t.Consumer, formatNumber(t.Running), formatNumber(t.Delivered),
			})
		}
	}
	o.printTable(rows)
}

func (o output) printWindows(reports []wire.Status) {
	rows := [][]string{{"WINDOW", "REPORT", "HOLDER", "EPOCH", "ORGANISATION", "REQUESTS", "PROMPT", "CACHED", "GENERATED", "LATE"}}
	for _, r := range reports {
		for _, w := range r.Windows {
			for _, f := range w.Figures {
				rows = append(rows, []string{
					formatNumber(w.Window), w.ReportID, w.Holder, formatNumber(w.Epoch), f.Organisation, formatNumber(f.Requests),
					formatNumber(f.PromptTokens), formatNumber(f.CachedTokens), formatNumber(f.GeneratedTokens), formatNumber(f.LateTokens),
				})
			}
		}
	}
	o.printTable(rows)
}
