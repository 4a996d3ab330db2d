package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// command is one leaf of the command line. The usage is made from its parts.
type command struct {
	output
	name     string
	synopsis string
	example  string
	flags    func(f *flag.FlagSet)
	run      func(ctx context.Context, args []string) error
	words    int // arguments beside the flags
}

// Name returns the command's word.
func (c *command) Name() string { return c.name }

// Synopsis returns one line of help.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help above the list of flags.
func (c *command) Usage() string {
	return fmt.Sprintf("%s: %s\n\nExample:\n  %s\n\nFlags:\n", c.name, c.synopsis, c.example)
}

// SetFlags declares the command's flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.err)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the command and returns its exit code.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != c.words {
		f.Usage()
		return subcommands.ExitUsageError
	}
	err := c.run(ctx, f.Args())
	if err != nil {
		fmt.Fprintln(c.err, "figctl:", err)
	}
	return exitOf(err)
}

// group is a word with commands below it.
type group struct {
	output
	name     string
	synopsis string
	commands []*command
}

// Name returns the group's word.
func (g *group) Name() string { return g.name }

// Synopsis returns one line of help.
func (g *group) Synopsis() string { return g.synopsis }

// Usage returns the help of all commands of the group.
func (g *group) Usage() string {
	text := g.name + ": " + g.synopsis + "\n"
	for _, c := range g.commands {
		text += fmt.Sprintf("\t%-10s %s\n\t%-10s %s\n", c.name, c.synopsis, "", c.example)
	}
	return text
}

// SetFlags declares nothing: the flags stand behind the command's word.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute runs the command that the first argument names.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	sub := newCommander(f, "figctl "+g.name, g.out, g.err)
	sub.Register(sub.HelpCommand(), "")
	for _, c := range g.commands {
		sub.Register(c, "")
	}
	return sub.Execute(ctx, args...)
}
