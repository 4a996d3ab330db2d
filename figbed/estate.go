package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// Settings of the simulated servers.
const (
	estateEventsPerStream = 20
	estateEventInterval   = 40 * time.Millisecond
	estateSlotsPerServer  = 8
	estateRequestTime     = 20 * time.Millisecond
)

// estateCommand runs the simulated platform of the users, and figd on a number of hosts.
type estateCommand struct {
	binDir, dir string
	hosts, port int
}

func (*estateCommand) Name() string { return "estate" }
func (*estateCommand) Synopsis() string {
	return "run the simulated platform of the users, and figd on a number of hosts, until stopped by a signal"
}
func (*estateCommand) Usage() string { return "estate --bin directory [flags]\n" }

func (c *estateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.binDir, "bin", "bin", "`directory` of the built programs")
	f.StringVar(&c.dir, "folder", "run/estate", "`directory` for settings and logs")
	f.IntVar(&c.hosts, "hosts", 3, "`number` of hosts")
	f.IntVar(&c.port, "port", 9700, "first of ten `ports` that are free on the hosts' loopback addresses")
}

func (c *estateCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *estateCommand) run(ctx context.Context) error {
	if err := os.MkdirAll(c.dir, 0o700); err != nil {
		return err
	}
	platform := &estate.Platform{Port: c.port}
	for _, zone := range []string{"zone-1", "zone-2"} {
		platform.Servers = append(platform.Servers,
			&estate.Server{Name: "plain-" + zone, Service: "plain", Zone: zone, Slots: estateSlotsPerServer, WorkTime: estateRequestTime},
			&estate.Server{
				Name: "engine-" + zone, Service: "engines", Zone: zone, Models: []string{estate.Model},
				Slots: estateSlotsPerServer, Events: estateEventsPerStream, EventInterval: estateEventInterval,
			})
	}
	if err := platform.Start(); err != nil {
		return err
	}
	defer platform.Stop()
	for host := 1; host <= c.hosts; host++ {
		if err := c.startDaemon(ctx, platform, host); err != nil {
			return err
		}
		fmt.Printf("Host=%d Listen=%s Ready=%s Metrics=%s\n", host, platform.ClientAddress(host), platform.ReadinessAddress(host), platform.MetricsAddress(host))
	}
	fmt.Printf("Try=%q\n", fmt.Sprintf("curl -H 'Host: %s' -H 'Authorization: Bearer %s' http://%s%sx", estate.Host, estate.Key, platform.ClientAddress(1), estate.Lookup))
	<-ctx.Done()
	return nil
}

// startDaemon starts figd for a host. The process is killed when ctx ends, and logs to a file in the directory.
func (c *estateCommand) startDaemon(ctx context.Context, platform *estate.Platform, host int) error {
	settings, err := platform.WriteSettings(c.dir, host, "front")
	if err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("host%d.log", host)))
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.binDir, "figd"), "platform", settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd.Start()
}
