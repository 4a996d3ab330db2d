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

var rolloutName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// rolloutFlags are the fields of a specification as flags.
type rolloutFlags struct {
	spec    wire.RolloutSpec
	prompts string
}

func (r *rolloutFlags) declare(f *flag.FlagSet) {
	f.StringVar(&r.spec.Name, "name", "", "`name` of the rollout, for good")
	f.StringVar(&r.spec.Organisation, "organisation", "", "`name` of the organisation that pays")
	f.StringVar(&r.spec.Model, "model", "", "`model` that makes the samples")
	f.StringVar(&r.spec.Scorer, "scorer", "", "`service` that scores the samples")
	f.Uint64Var(&r.spec.Lots, "lots", 0, "`number` of lots, 0 for no end")
	f.IntVar(&r.spec.Groups, "groups", defaultGroups, "groups of a lot")
	f.IntVar(&r.spec.SamplesPerGroup, "samples", defaultSamples, "samples of a group")
	f.IntVar(&r.spec.SpareGroups, "spares", defaultSpares, "groups started beyond the need")
	f.IntVar(&r.spec.MaxTokens, "max-tokens", defaultMaxTokens, "greatest length of a sample")
	f.IntVar(&r.spec.MaxStaleness, "max-staleness", defaultStaleness, "greatest age of a sample at hand-over, in versions")
	f.IntVar(&r.spec.SealAhead, "seal-ahead", defaultSealAhead, "lots made before they are asked for")
	f.StringVar(&r.prompts, "prompts", "", "`file` with one prompt a line")
}

// read returns the specification with its prompts, checked against the site's limits.
func (r *rolloutFlags) read(site *config.Site) (wire.RolloutSpec, error) {
	spec := r.spec
	text, err := os.ReadFile(r.prompts)
	if err != nil {
		return spec, kinds.New(kinds.BadRequest, "--prompts: %v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			spec.Prompts = append(spec.Prompts, line)
		}
	}
	return spec, checkRollout(spec, site)
}

// checkRollout returns all problems of a specification at once, as one error of kind BadRequest.
func checkRollout(spec wire.RolloutSpec, site *config.Site) error {
	var limits config.RolloutLimits
	known := false
	if site != nil {
		limits, known = site.Rollouts[spec.Organisation]
	}
	checks := []struct {
		ok   bool
		want string
	}{
		{rolloutName.MatchString(spec.Name), "--name of letters, digits, '_' and '-'"},
		{known, "an --organisation with a section Rollout in the stored configuration"},
		{spec.Model != "", "--model"},
		{spec.Groups >= 1 && (!known || spec.Groups+spec.SpareGroups <= limits.MaxGroups), "--groups of 1 or more, with --spares at most MaxGroups"},
		{spec.SamplesPerGroup >= 1, "--samples of 1 or more"},
		{spec.SpareGroups >= 0, "--spares of 0 or more"},
		{spec.MaxTokens >= 1, "--max-tokens of 1 or more"},
		{spec.MaxStaleness >= 0 && (!known || spec.MaxStaleness <= limits.MaxStaleness), "--max-staleness of 0 up to MaxStaleness"},
		{spec.SealAhead >= 0, "--seal-ahead of 0 or more"},
		{len(spec.Prompts) >= 1 && len(spec.Prompts) <= maxRolloutPrompts, "a file of --prompts with 1 to 100000 lines"},
	}
	var wants []string
	for _, c := range checks {
		if !c.ok {
			wants = append(wants, "want "+c.want)
		}
	}
	if len(wants) > 0 {
		return kinds.New(kinds.BadRequest, "%s", strings.Join(wants, "\n"))
	}
	return nil
}

func createRollout(o output) *command {
	var r rolloutFlags
	var c change
	return &command{
		output:   o,
		name:     "create",
		synopsis: "store a rollout for a trainer; it never changes afterwards",
		example: "figctl rollout create --name summaries --organisation library --model citation --lots 10" +
			" --prompts prompts.txt --platform http://10.0.0.9:9000",
		flags: func(f *flag.FlagSet) {
			r.declare(f)
			c.declareStore(f)
		},
		run: func(ctx context.Context, _ []string) error {
			store, err := c.store()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.wait)
			defer cancel()
			site, _, err := apply.ReadSite(ctx, store)
			if err != nil {
				return err
			}
			spec, err := r.read(site)
			if err != nil {
				return err
			}
			value, err := json.Marshal(spec)
			if err != nil {
				return err
			}
			put := wire.ObjectPut{Name: wire.PrefixRollouts + spec.Name, Writer: apply.NewWriter(), Value: value}
			if _, err := apply.Write(ctx, store, put); err != nil {
				return err
			}
			o.printf("stored: rollout %s\n", spec.Name)
			return nil
		},
	}
}

func rolloutStatus(o output) *command {
	var r reading
	return &command{
		output:   o,
		name:     "status",
		synopsis: "print lots, newest version and consumer of each rollout",
		example:  "figctl rollout status --operators 10.0.0.1:8081,10.0.0.2:8081 --credential-file credential",
		flags:    r.declare,
		run: func(ctx context.Context, _ []string) error {
			reports, err := r.reports(ctx)
			if err != nil {
				return err
			}
			if !r.asJSON {
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
