package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/figbed/internal/demo"
)

type demoCommand struct{ folder string }

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a small site for half a minute and check it" }
func (*demoCommand) Usage() string    { return "demo --bin folder\n" }

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "bin", "bin", "folder with figd, figctl and figbed")
}

func (c *demoCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	d := &demo.Demo{Folder: c.folder, Out: os.Stdout}
	return finish(d.Run())
}
