package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// command is a subcommand without further subcommands. Its help text is built from the fields.
type command struct {
	output
	name     string
	synopsis string
	example  string
	flags    func(f *flag.FlagSet)
	run      func(ctx context.Context, args []string) error
	argCount int // number of positional arguments
}

// Name returns the name of the command.
func (c *command) Name() string { return c.name }

// Synopsis returns the one-line description of the command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text that precedes the list of flags.
func (c *command) Usage() string {
	return fmt.Sprintf("%s: %s\n\nExample:\n  %s\n\nFlags:\n", c.name, c.synopsis, c.example)
}

// SetFlags declares the flags of the command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.err)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and returns its exit code.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != c.argCount {
		f.Usage()
		return subcommands.ExitUsageError
	}
	err := c.run(ctx, f.Args())
	if err != nil {
		fmt.Fprintln(c.err, "figctl:", err)
	}
	return exitCode(err)
}

// group is a subcommand that only contains other commands.
type group struct {
	output
	name     string
	synopsis string
	commands []*command
}

// Name returns the name of the group.
func (g *group) Name() string { return g.name }

// Synopsis returns the one-line description of the group.
func (g *group) Synopsis() string { return g.synopsis }

// Usage returns the help text of the group with a line and an example for each of its commands.
func (g *group) Usage() string {
	text := g.name + ": " + g.synopsis + "\n"
	for _, c := range g.commands {
		text += fmt.Sprintf("\t%-10s %s\n\t%-10s %s\n", c.name, c.synopsis, "", c.example)
	}
	return text
}

// SetFlags declares nothing: the flags belong to the commands and follow their names.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute runs the command of the group that the first argument names and returns its exit code.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	sub := newCommander(f, "figctl "+g.name, g.out, g.err)
	sub.Register(sub.HelpCommand(), "")
	for _, c := range g.commands {
		sub.Register(c, "")
	}
	return sub.Execute(ctx, args...)
}
