// Command figd is the daemon that runs on each entry host.
//
// Exit codes: 0 after a graceful stop (SIGTERM or SIGINT) or a valid --check, 1 after a failure at run time, 2 for a
// bad command line, 3 for an invalid configuration, 4 when a second signal aborted the graceful stop.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/loop"
	"github.com/figshift/figshift/internal/reduce"
)

const (
	tickInterval     = 50 * time.Millisecond
	idleTickInterval = 150 * time.Millisecond
	eventQueueSize   = 8192
)

// Exit codes of the process.
const (
	exitStopped = 0
	exitFailure = 1
	exitUsage   = 2
	exitConfig  = 3
	exitAborted = 4
)

type httpHandler = http.Handler

func main() { os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr)) }

// platformCommand is the subcommand that runs the daemon on the users' platform, with the settings that the platform
// provides.
const platformCommand = "platform"

// runCommand runs the command line args and returns the exit code.
func runCommand(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == platformCommand {
		return startPlatform(args[1:], stdout, stderr)
	}
	flags := flag.NewFlagSet("figd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	base := flags.String("config", "", "base configuration `file`")
	overlay := flags.String("overlay", "", "overlay `file` of the site and host")
	recordFile := flags.String("record", "", "write every step of the reducer to a new `file`")
	replayName := flags.String("replay", "", "step through a recorded `file`, compare the effects and exit")
	checkOnly := flags.Bool("check", false, "check the configuration and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *replayName != "" {
		return runReplay(*replayName, stderr)
	}
	if *base == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: figd --config base.ini [--overlay site.ini] [--record run.trace] [--check]\n       figd --replay run.trace\n       figd platform [SETTINGS]")
		return exitUsage
	}
	loaded, problems := config.Load(*base, *overlay)
	if len(problems) == 0 {
		problems = loaded.CheckProcess()
	}
	if len(problems) > 0 {
		fmt.Fprintln(stderr, problems.Error())
		return exitConfig
	}
	if *checkOnly {
		return exitStopped
	}
	return runDaemon(loaded.Process, *recordFile, stderr)
}

func runDaemon(process config.Process, recordFile string, stderr io.Writer) int {
	d, err := newDaemon(process, newIdentity(), stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitCode(err)
	}
	defer d.close()
	if err := d.recordTo(recordFile); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	return exitCode(d.group.Run())
}

func runReplay(name string, stderr io.Writer) int {
	steps, err := replayFile(name, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	fmt.Fprintf(stderr, "Steps=%d Same=true\n", steps)
	return exitStopped
}

func exitCode(err error) int {
	switch {
	case err == nil, errors.Is(err, errStopped):
		return exitStopped
	case errors.Is(err, errAborted):
		return exitAborted
	case kinds.KindOf(err) == kinds.ConfigInvalid:
		return exitConfig
	}
	return exitFailure
}

// newDaemon composes a daemon from its areas. Components see an event in the order in which they are added here.
func newDaemon(process config.Process, id identity, stderr io.Writer) (*daemon, error) {
	d := &daemon{process: process, identity: id, state: &reduce.State{}, handlers: map[string]httpHandler{}}
	d.loop = &loop.Loop{State: d.state, TickEvery: tickInterval, IdleEvery: idleTickInterval, QueueSize: eventQueueSize}
	d.loop.Prepare()
	d.clientMemory = d.newClientMemory(clientMemory)
	if err := d.addOperations(stderr); err != nil {
		return nil, err
	}
	d.addCluster()
	d.addClock()
	d.addRollouts()
	d.addRequests()
	d.addUsage()
	d.addStatus()
	d.addActor(d.loop.Run)
	return d, nil
}
