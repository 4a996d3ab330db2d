package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"regexp"
	"strings"

	"github.com/figshift/figshift/internal/apply"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	defaultGroups     = 8
	defaultSamples    = 4
	defaultSpares     = 1
	defaultMaxTokens  = 256
	defaultStaleness  = 2
	defaultSealAhead  = 1
	maxRolloutPrompts = 100_000
)

var rolloutNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// rolloutFlags are the flags that describe a rollout.
type rolloutFlags struct {
	spec        wire.RolloutSpec
	promptsPath string
}

func (r *rolloutFlags) declareFlags(f *flag.FlagSet) {
	f.StringVar(&r.spec.Name, "name", "", "`name` of the rollout; it can't be changed")
	f.StringVar(&r.spec.Organisation, "organisation", "", "`name` of the organisation that is charged")
	f.StringVar(&r.spec.Model, "model", "", "`model` that generates the samples")
	f.StringVar(&r.spec.Scorer, "scorer", "", "`service` that scores the samples")
	f.Uint64Var(&r.spec.Lots, "lots", 0, "`number` of lots, 0 for no limit")
	f.IntVar(&r.spec.Groups, "groups", defaultGroups, "groups per lot")
	f.IntVar(&r.spec.SamplesPerGroup, "samples", defaultSamples, "samples per group")
	f.IntVar(&r.spec.SpareGroups, "spares", defaultSpares, "groups started per lot in addition to --groups")
	f.IntVar(&r.spec.MaxTokens, "max-tokens", defaultMaxTokens, "maximum length of a sample, in tokens")
	f.IntVar(&r.spec.MaxStaleness, "max-staleness", defaultStaleness, "maximum age of a sample when its lot is handed over, in weight versions")
	f.IntVar(&r.spec.SealAhead, "seal-ahead", defaultSealAhead, "lots sealed before the trainer asks for them")
	f.StringVar(&r.promptsPath, "prompts", "", "`file` with one prompt per line")
}

// loadSpec returns the specification with the prompts of the file, validated against the limits of the site.
func (r *rolloutFlags) loadSpec(site *config.Site) (wire.RolloutSpec, error) {
	spec := r.spec
	text, err := os.ReadFile(r.promptsPath)
	if err != nil {
		return spec, kinds.New(kinds.BadRequest, "--prompts: %v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			spec.Prompts = append(spec.Prompts, line)
		}
	}
	return spec, validateRollout(spec, site)
}

// validateRollout returns all problems of a specification as one error of kind BadRequest. Without a limit of the
// organisation in site, only the limits that do not depend on it are checked.
func validateRollout(spec wire.RolloutSpec, site *config.Site) error {
	var limits config.RolloutLimits
	limited := false
	if site != nil {
		limits, limited = site.Rollouts[spec.Organisation]
	}
	checks := []struct {
		ok   bool
		want string
	}{
		{rolloutNamePattern.MatchString(spec.Name), "--name of 1 to 63 letters, digits, '_' and '-', the first a letter or digit"},
		{limited, "an --organisation that has a Rollout section in the stored configuration"},
		{spec.Model != "", "--model"},
		{spec.Groups >= 1 && (!limited || spec.Groups+spec.SpareGroups <= limits.MaxGroups), "--groups of 1 or more, and --groups plus --spares of at most MaxGroups"},
		{spec.SamplesPerGroup >= 1, "--samples of 1 or more"},
		{spec.SpareGroups >= 0, "--spares of 0 or more"},
		{spec.MaxTokens >= 1, "--max-tokens of 1 or more"},
		{spec.MaxStaleness >= 0 && (!limited || spec.MaxStaleness <= limits.MaxStaleness), "--max-staleness of 0 up to MaxStaleness"},
		{spec.SealAhead >= 0, "--seal-ahead of 0 or more"},
		{len(spec.Prompts) >= 1 && len(spec.Prompts) <= maxRolloutPrompts, "a file of --prompts with 1 to 100000 lines"},
	}
	var unmet []string
	for _, c := range checks {
		if !c.ok {
			unmet = append(unmet, "want "+c.want)
		}
	}
	if len(unmet) > 0 {
		return kinds.New(kinds.BadRequest, "%s", strings.Join(unmet, "\n"))
	}
	return nil
}

func createRolloutCommand(o output) *command {
	var rollout rolloutFlags
	var change changeFlags
	return &command{
		output:   o,
		name:     "create",
		synopsis: "store a rollout for a trainer; it can't be changed afterwards",
		example: "figctl rollout create --name summaries --organisation library --model citation --lots 10" +
			" --prompts prompts.txt --platform http://10.0.0.9:9000",
		flags: func(f *flag.FlagSet) {
			rollout.declareFlags(f)
			change.declareStoreFlags(f)
		},
		run: func(ctx context.Context, _ []string) error {
			store, err := change.storeClient()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, change.wait)
			defer cancel()
			site, _, err := apply.ReadSite(ctx, store)
			if err != nil {
				return err
			}
			spec, err := rollout.loadSpec(site)
			if err != nil {
				return err
			}
			value, err := json.Marshal(spec)
			if err != nil {
				return err
			}
			put := wire.ObjectPut{Name: wire.PrefixRollouts + spec.Name, Writer: apply.NewWriterName(), Value: value}
			if _, err := apply.Write(ctx, store, put); err != nil {
				return err
			}
			o.printf("stored: rollout %s\n", spec.Name)
			return nil
		},
	}
}

func rolloutStatusCommand(o output) *command {
	var report reportFlags
	return &command{
		output:   o,
		name:     "status",
		synopsis: "print the lots, the newest version and the consumer of each rollout",
		example:  "figctl rollout status --operators 10.0.0.1:8081,10.0.0.2:8081 --credential-file credential",
		flags:    report.declareFlags,
		run: func(ctx context.Context, _ []string) error {
			reports, err := report.fetchReports(ctx)
			if err != nil {
				return err
			}
			if !report.asJSON {
				o.printRollouts(reports)
				return nil
			}
			var all []wire.RolloutStatus
			for _, p := range reports {
				all = append(all, p.Rollouts...)
			}
			return o.printJSON(all)
		},
	}
}
