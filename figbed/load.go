package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/figbed/internal/loadr"
)

type loadCommand struct {
	plan     loadr.Plan
	source   loadr.Source
	planFile string
	keyFile  string
	targets  string
	json     bool
}

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "send requests at fixed mean rates and report latency and refusals"
}

func (*loadCommand) Usage() string {
	return "load --targets url,url [--plan file.json | --organisation name --key-file file --path path --rate n]\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "targets", "", "comma-separated base `URLs` of daemons, or of endpoints with --direct")
	f.StringVar(&c.planFile, "plan", "", "JSON `file` with the sources")
	f.DurationVar(&c.plan.Duration, "duration", 10*time.Second, "time in which requests are sent")
	f.IntVar(&c.plan.MaxRequests, "max-requests", 0, "maximum number of requests, 0 for the built-in maximum")
	f.IntVar(&c.plan.MaxOutstanding, "max-outstanding", 0, "maximum number of outstanding requests, 0 for the default")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "`seed` of the arrival times and the prompts")
	f.BoolVar(&c.plan.Direct, "direct", false, "send the headers that a daemon would add, since the targets are endpoints")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	s := &c.source
	f.StringVar(&s.Organisation, "organisation", "", "`name` of the organisation")
	f.StringVar(&c.keyFile, "key-file", "", "`file` with the organisation's key")
	f.StringVar(&s.Path, "path", "/v1/generate", "`path` of the requests")
	f.Float64Var(&s.Rate, "rate", 10, "mean number of requests per second")
	f.StringVar(&s.Model, "model", "default", "`name` of the model")
	f.IntVar(&s.MaxTokens, "max-tokens", 40, "tokens of a generation, 0 for a plain call")
	f.IntVar(&s.Prefixes, "prefixes", 8, "number of prefixes that the prompts share, 0 for none")
	f.IntVar(&s.PromptWords, "prompt-words", 20, "minimum number of words in the prefix of a prompt")
	f.IntVar(&s.TimeoutMS, "timeout-ms", 0, "deadline in ms that the caller sets, 0 for none")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.completePlan(); err != nil {
		return exitStatus(err)
	}
	report, err := loadr.Run(ctx, c.plan)
	if err != nil {
		return exitStatus(err)
	}
	if c.json {
		return exitStatus(json.NewEncoder(os.Stdout).Encode(report))
	}
	for _, r := range report.Results {
		fmt.Println(r)
	}
	return subcommands.ExitSuccess
}

// completePlan fills in the targets and the sources, from the plan file if there is one.
func (c *loadCommand) completePlan() error {
	c.plan.Targets = strings.Split(c.targets, ",")
	if c.planFile != "" {
		data, err := os.ReadFile(c.planFile)
		if err != nil {
			return err
		}
		return json.Unmarshal(data, &c.plan.Sources)
	}
	if c.keyFile != "" {
		key, err := os.ReadFile(c.keyFile)
		if err != nil {
			return err
		}
		c.source.Key = strings.TrimSpace(string(key))
	}
	c.plan.Sources = []loadr.Source{c.source}
	return nil
}
