package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/figshift/figshift/figbed/internal/report"
)

// reportCommand plots the measurements of runs.
type reportCommand struct{ before, after, outDir, format string }

func (*reportCommand) Name() string { return "report" }
func (*reportCommand) Synopsis() string {
	return "plot worth, times, CPU time and memory, before and after a change"
}

func (*reportCommand) Usage() string {
	return `report --after file,file [--before file,file] [--out directory]
A file is a journal entry (worth by day), the report of a run (CPU time and memory by host), a log of hosts (time to the
first event, completion of jobs) or the output of a soak test (calls, completion of jobs).
`
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.before, "before", "", "comma-separated `files` measured before the change")
	f.StringVar(&c.after, "after", "", "comma-separated `files` measured after the change")
	f.StringVar(&c.format, "format", "svg", "`format` of the plots, svg or png")
	f.StringVar(&c.outDir, "out", ".", "`directory` for the plots")
}

func (c *reportCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return exitStatus(c.run())
}

func (c *reportCommand) run() error {
	if c.after == "" {
		return errors.New("--after is empty")
	}
	if c.format != "svg" && c.format != "png" {
		return errors.Errorf("--format is %q, must be svg or png", c.format)
	}
	r := report.Report{Folder: c.outDir, Format: c.format}
	var err error
	if c.before != "" {
		if r.Before, err = report.Read(strings.Split(c.before, ",")); err != nil {
			return err
		}
	}
	if r.After, err = report.Read(strings.Split(c.after, ",")); err != nil {
		return err
	}
	if err := os.MkdirAll(c.outDir, 0o750); err != nil {
		return errors.Wrap(err, "creating the directory for the plots")
	}
	files, err := r.Write()
	for _, file := range files {
		fmt.Println(file)
	}
	return err
}
