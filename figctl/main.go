// Command figctl is the command-line tool for operators of a figshift site.
//
// Exit codes: 0 done and, for a change, accepted; 1 failure; 2 bad command line; 3 invalid configuration or input;
// 4 conflict with another operator, nothing changed; 5 stored, but not acknowledged by a majority of the hosts in
// time; 6 outcome unknown, the change may be stored.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/internal/kinds"
)

// Exit codes in addition to those of package subcommands.
const (
	exitInvalid     subcommands.ExitStatus = 3
	exitConflict    subcommands.ExitStatus = 4
	exitNotAccepted subcommands.ExitStatus = 5
	exitUnknown     subcommands.ExitStatus = 6
)

const exitCodesHelp = `
Exit codes:
  0  done and, for a change, accepted
  1  failure before any change
  2  bad command line
  3  invalid configuration or input
  4  conflict with another operator, nothing changed
  5  stored, but not acknowledged by a majority of the hosts in time
  6  outcome unknown, the change may be stored
`

func main() { os.Exit(int(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))) }

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) subcommands.ExitStatus {
	flags := flag.NewFlagSet("figctl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	root := newCommander(flags, "figctl", stdout, stderr)
	explain := root.Explain
	root.Explain = func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, exitCodesHelp)
	}
	root.Register(root.HelpCommand(), "")
	o := output{out: stdout, err: stderr}
	for _, g := range commandGroups(o) {
		root.Register(g, "")
	}
	root.Register(fleetCommand(o), "")
	root.Register(statusCommand(o), "")
	root.Register(explainCommand(o, os.Stdin), "")
	if flags.Parse(args) != nil {
		return subcommands.ExitUsageError
	}
	return root.Execute(ctx)
}

func commandGroups(o output) []*group {
	return []*group{
		{
			output: o, name: "config", synopsis: "check, render, apply and show the configuration",
			commands: []*command{checkConfigCommand(o), renderConfigCommand(o), applyConfigCommand(o), showConfigCommand(o)},
		},
		{
			output: o, name: "key", synopsis: "issue, withdraw and list organisation keys",
			commands: []*command{giveKeyCommand(o), withdrawKeyCommand(o), listKeysCommand(o)},
		},
		{
			output: o, name: "rollout", synopsis: "create rollouts and print their status",
			commands: []*command{createRolloutCommand(o), rolloutStatusCommand(o)},
		},
	}
}

func newCommander(flags *flag.FlagSet, name string, stdout, stderr io.Writer) *subcommands.Commander {
	c := subcommands.NewCommander(flags, name)
	c.Output = stdout
	c.Error = stderr
	return c
}

// exitCode maps the kind of an error to the exit code of the process.
func exitCode(err error) subcommands.ExitStatus {
	switch kinds.KindOf(err) {
	case "":
		return subcommands.ExitSuccess
	case kinds.BadRequest, kinds.ConfigInvalid:
		return exitInvalid
	case kinds.Conflict:
		return exitConflict
	case kinds.NotReady:
		return exitNotAccepted
	case kinds.OutcomeUnknown:
		return exitUnknown
	}
	return subcommands.ExitFailure
}

// output holds the standard output and standard error of a command.
type output struct{ out, err io.Writer }

func (o output) printf(format string, args ...any) { fmt.Fprintf(o.out, format, args...) }
