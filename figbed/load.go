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
	plan    loadr.Plan
	source  loadr.Source
	file    string
	keyFile string
	targets string
	json    bool
}

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "send requests at set rates and report latency and refusals"
}

func (*loadCommand) Usage() string {
	return "load --targets url,url [--plan file.json | --organisation name --key-file file --path path --rate n]\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "targets", "", "base URLs of daemons, or of endpoints with --direct, with commas")
	f.StringVar(&c.file, "plan", "", "JSON file with the sources")
	f.DurationVar(&c.plan.Duration, "duration", 10*time.Second, "length of the run")
	f.IntVar(&c.plan.MaxRequests, "max-requests", 0, "the most requests, 0 for the built-in bound")
	f.IntVar(&c.plan.MaxOutstanding, "max-outstanding", 0, "the most requests under way, 0 for the built-in bound")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "seed of the arrival times")
	f.BoolVar(&c.plan.Direct, "direct", false, "the targets are endpoints")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	s := &c.source
	f.StringVar(&s.Organisation, "organisation", "", "organisation")
	f.StringVar(&c.keyFile, "key-file", "", "file with the organisation's key")
	f.StringVar(&s.Path, "path", "/v1/generate", "path")
	f.Float64Var(&s.Rate, "rate", 10, "requests a second")
	f.StringVar(&s.Model, "model", "default", "model")
	f.IntVar(&s.MaxTokens, "max-tokens", 40, "tokens of an answer, 0 for a plain call")
	f.IntVar(&s.Prefixes, "prefixes", 8, "heads that prompts share, 0 for none")
	f.IntVar(&s.PromptWords, "prompt-words", 20, "words of a prompt's head")
	f.IntVar(&s.TimeoutMS, "timeout-ms", 0, "deadline that the caller gives, 0 for none")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.complete(); err != nil {
		return finish(err)
	}
	report, err := loadr.Run(ctx, c.plan)
	if err != nil {
		return finish(err)
	}
	if c.json {
		return finish(json.NewEncoder(os.Stdout).Encode(report))
	}
	for _, r := range report.Results {
		fmt.Println(r)
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) complete() error {
	c.plan.Targets = strings.Split(c.targets, ",")
	if c.file != "" {
		data, err := os.ReadFile(c.file)
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
