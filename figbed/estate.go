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

// The events of the estate's engines.
const (
	estateEvents = 20
	estateGap    = 40 * time.Millisecond
	estateSlots  = 8
	estateWork   = 20 * time.Millisecond
)

// estateCommand runs the stand-in of the users' platform with figd on some hosts.
type estateCommand struct {
	bin, folder string
	hosts, port int
}

func (*estateCommand) Name() string { return "estate" }
func (*estateCommand) Synopsis() string {
	return "run the stand-in of the users' platform and figd on some hosts until it is stopped"
}
func (*estateCommand) Usage() string { return "estate --bin folder [flags]\n" }

func (c *estateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "`folder` of the built programs")
	f.StringVar(&c.folder, "folder", "run/estate", "`folder` for settings and logs")
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
	if err := os.MkdirAll(c.folder, 0o700); err != nil {
		return err
	}
	e := &estate.Estate{Port: c.port}
	for _, zone := range []string{"zone-1", "zone-2"} {
		e.Servers = append(e.Servers,
			&estate.Server{Name: "plain-" + zone, Service: "plain", Zone: zone, Slots: estateSlots, Work: estateWork},
			&estate.Server{
				Name: "engine-" + zone, Service: "engines", Zone: zone, Models: []string{estate.Model},
				Slots: estateSlots, Events: estateEvents, Gap: estateGap,
			})
	}
	if err := e.Start(); err != nil {
		return err
	}
	defer e.Stop()
	for host := 1; host <= c.hosts; host++ {
		if err := c.figd(ctx, e, host); err != nil {
			return err
		}
		fmt.Printf("Host=%d Listen=%s Ready=%s Metrics=%s\n", host, e.Front(host), e.Ready(host), e.Metrics(host))
	}
	fmt.Printf("Try=%q\n", fmt.Sprintf("curl -H 'Host: %s' -H 'Authorization: Bearer %s' http://%s%sx", estate.Host, estate.Key, e.Front(1), estate.Lookup))
	<-ctx.Done()
	return nil
}

// figd starts a host's process, which ends with ctx; its log is a file in the folder.
func (c *estateCommand) figd(ctx context.Context, e *estate.Estate, host int) error {
	settings, err := e.Settings(c.folder, host, "front")
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.folder, fmt.Sprintf("host%d.log", host)))
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.bin, "figd"), "platform", settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd.Start()
}
