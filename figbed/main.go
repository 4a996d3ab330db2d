// Command figbed runs the simulated platforms, endpoints and trainer, the load generator, the soak test and the demo, and
// plots reports.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{}, "stand-ins")
	subcommands.Register(&engineCommand{}, "stand-ins")
	subcommands.Register(&serviceCommand{}, "stand-ins")
	subcommands.Register(&scorerCommand{}, "stand-ins")
	subcommands.Register(&trainerCommand{}, "stand-ins")
	subcommands.Register(&estateCommand{}, "stand-ins")
	subcommands.Register(&loadCommand{}, "measurement")
	subcommands.Register(&soakCommand{}, "faults")
	subcommands.Register(&reportCommand{}, "measurement")
	subcommands.Register(&demoCommand{}, "demo")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
