package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/figbed/internal/demo"
)

type demoCommand struct{ binDir string }

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a small site for half a minute and check the results"
}
func (*demoCommand) Usage() string { return "demo --bin directory\n" }

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.binDir, "bin", "bin", "`directory` with figd, figctl and figbed")
}

func (c *demoCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	d := &demo.Demo{ProgramDir: c.binDir, Out: os.Stdout}
	return exitStatus(d.Run())
}
