package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/soak"
)

// soakCommand runs soak tests with consecutive seeds, one after the other.
type soakCommand struct {
	binDir  string
	seed    uint64
	seeds   int
	minutes float64
	hosts   int
	port    int
	output  string
	oldBin  string
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run hosts with random faults that a seed selects and check the invariants"
}
func (*soakCommand) Usage() string { return "soak --bin directory --seed n --minutes m [flags]\n" }

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.binDir, "bin", "bin/soak", "`directory` of the programs, built with the tag skew (make soak)")
	f.Uint64Var(&c.seed, "seed", 1, "first `seed`")
	f.IntVar(&c.seeds, "seeds", 1, "`number` of seeds to run, one after the other")
	f.Float64Var(&c.minutes, "minutes", 1, "`minutes` per seed in which faults begin")
	f.IntVar(&c.hosts, "hosts", 4, "`number` of hosts")
	f.IntVar(&c.port, "port", 9800, "first of twenty `ports` that are free on the hosts' loopback addresses")
	f.StringVar(&c.oldBin, "old-bin", "", "`directory` with figd of another build, from which and back to which the hosts change one by one")
	f.StringVar(&c.output, "output", "", "`file` to which the figures of each seed are appended, as input for report")
}

func (c *soakCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	proc.UseProgramDir(c.binDir)
	oldBin := c.oldBin
	if oldBin != "" {
		var err error
		if oldBin, err = filepath.Abs(oldBin); err != nil {
			return exitStatus(err)
		}
	}
	failed := 0
	for seed := c.seed; seed < c.seed+uint64(c.seeds); seed++ {
		s := soak.Soak{Seed: seed, Span: time.Duration(c.minutes * float64(time.Minute)), Hosts: c.hosts, Port: c.port, OldPrograms: oldBin}
		console := &proc.Console{Out: os.Stdout}
		var h soak.History
		err := console.Run(func() { h = s.Run(console) })
		if err != nil {
			failed++
			fmt.Printf("Seed=%d Failed=%q\n", seed, err)
		}
		if err := soak.AppendFigures(c.output, s, h, err == nil); err != nil {
			return exitStatus(err)
		}
	}
	fmt.Printf("Seeds=%d Failed=%d\n", c.seeds, failed)
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
