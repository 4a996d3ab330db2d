package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/figbed/internal/plat"
	"github.com/figshift/figshift/figbed/internal/stand"
	"github.com/figshift/figshift/figbed/internal/trnr"
)

type platformCommand struct {
	listen   string
	platform plat.Platform
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the simulated platform" }
func (*platformCommand) Usage() string    { return "platform --listen host:port [flags]\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port")
	p := &c.platform
	f.DurationVar(&p.StartTime, "start-time", time.Second, "time from a start order until the endpoint is Live")
	f.DurationVar(&p.StopTime, "stop-time", 2*time.Second, "time from a stop order until the endpoint has ended")
	f.DurationVar(&p.ReclaimNotice, "reclaim-notice", 3*time.Second, "time from a reclaim until the endpoint has ended")
	f.IntVar(&p.ReadsPerSecond, "reads", 2000, "object reads, lists and watches per second, 0 for no limit")
	f.IntVar(&p.WritesPerSecond, "writes", 400, "object writes per second, 0 for no limit")
	f.IntVar(&p.WeightReadsPerSec, "weight-reads", 20, "weight reads per second, 0 for no limit")
	f.Float64Var(&p.OnDemandPrice, "on-demand-price", 1, "cost units per second of an on-demand endpoint")
	f.Float64Var(&p.CheapPrice, "cheap-price", 0.3, "cost units per second of a cheap endpoint")
	f.BoolVar(&p.RefuseOlderEpochs, "refuse-older-epochs", false, "refuse orders with an older epoch than the highest one of their duty")
}

func (c *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	server := &stand.Server{Role: "platform", Listen: c.listen, Handler: &c.platform}
	return exitStatus(server.Run())
}

type trainerCommand struct {
	daemons string
	keyFile string
	timeout time.Duration
	trainer trnr.Trainer
}

func (*trainerCommand) Name() string     { return "trainer" }
func (*trainerCommand) Synopsis() string { return "run a simulated trainer" }
func (*trainerCommand) Usage() string    { return "trainer --daemons url,url --key-file file [flags]\n" }

func (c *trainerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemons, "daemons", "", "comma-separated base `URLs` of daemons")
	f.StringVar(&c.keyFile, "key-file", "", "`file` with the organisation's key")
	f.DurationVar(&c.timeout, "limit", time.Minute, "maximum duration of the run")
	t := &c.trainer
	f.StringVar(&t.Rollout, "rollout", "", "`name` of the rollout")
	f.StringVar(&t.Consumer, "consumer", "trainer", "`id` of the consumer")
	f.IntVar(&t.Lots, "lots", 3, "number of lots to fetch")
	f.IntVar(&t.Count, "count", 0, "expected number of samples in a lot, 0 for any")
	f.Uint64Var(&t.MaxStaleness, "max-staleness", 2, "maximum age of a sample in weight versions")
	f.Uint64Var(&t.FirstVersion, "first-version", 1, "newest weight version before the first publication")
	f.DurationVar(&t.StepTime, "step", 200*time.Millisecond, "simulated training time of a lot")
	f.BoolVar(&t.Publish, "publish", true, "publish a weight version after each lot")
}

func (c *trainerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return exitStatus(err)
	}
	c.trainer.Key = strings.TrimSpace(string(key))
	c.trainer.Daemons = strings.Split(c.daemons, ",")
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	summary, err := c.trainer.Run(ctx)
	fmt.Println(summary)
	for _, problem := range summary.Problems {
		fmt.Println("Problem", problem)
	}
	if err == nil && len(summary.Problems) > 0 {
		return subcommands.ExitFailure
	}
	return exitStatus(err)
}
