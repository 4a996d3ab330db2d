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

// reportCommand plots what runs measured.
type reportCommand struct{ before, after, out, format string }

func (*reportCommand) Name() string { return "report" }
func (*reportCommand) Synopsis() string {
	return "plot worth, times, processor time and memory, before and after a change"
}

func (*reportCommand) Usage() string {
	return `report --after file,file [--before file,file] [--out folder]
A file is a journal entry (worth by day), a run's report (processor time and memory by host), the log of hosts (time to the
first event, jobs' completion) or a soak's output (calls, jobs' completion).
`
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.before, "before", "", "`files` measured before the change, with commas")
	f.StringVar(&c.after, "after", "", "`files` measured after it, with commas")
	f.StringVar(&c.format, "format", "svg", "svg or png")
	f.StringVar(&c.out, "out", ".", "`folder` for the plots")
}

func (c *reportCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return finish(c.run())
}

func (c *reportCommand) run() error {
	if c.after == "" {
		return errors.New("--after names no file")
	}
	if c.format != "svg" && c.format != "png" {
		return errors.Errorf("--format %s is neither svg nor png", c.format)
	}
	r := report.Report{Folder: c.out, Format: c.format}
	var err error
	if c.before != "" {
		if r.Before, err = report.Read(strings.Split(c.before, ",")); err != nil {
			return err
		}
	}
	if r.After, err = report.Read(strings.Split(c.after, ",")); err != nil {
		return err
	}
	if err := os.MkdirAll(c.out, 0o750); err != nil {
		return errors.Wrap(err, "making the folder for the plots")
	}
	files, err := r.Write()
	for _, file := range files {
		fmt.Println(file)
	}
	return err
}
