package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/servc"
	"github.com/figshift/figshift/figbed/internal/stand"
	"github.com/figshift/figshift/internal/wire"
)

func endpointFlags(f *flag.FlagSet, e *stand.Endpoint) {
	f.StringVar(&e.Name, "name", "", "endpoint's name")
	f.StringVar(&e.Zone, "zone", "", "availability zone")
	f.StringVar(&e.Price, "price", string(wire.OnDemand), "OnDemand or Cheap")
	f.BoolVar(&e.Spare, "spare", false, "wait for a start order")
	f.StringVar(&e.Platform, "platform", "", "base URL of the platform to register with")
	f.StringVar(&e.Address, "advertise", "", "address to register, the listener's when empty")
}

func incarnation() string {
	b := make([]byte, 4)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// finish prints an error and returns the exit status.
func finish(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

type engineCommand struct {
	listen   string
	endpoint stand.Endpoint
	engine   engin.Engine
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run the stand-in of a model engine" }
func (*engineCommand) Usage() string    { return "engine --listen host:port [flags]\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port")
	endpointFlags(f, &c.endpoint)
	e := &c.engine
	f.StringVar(&e.Model, "model", "default", "model")
	f.Uint64Var(&e.Version, "version", 1, "weight version at the start")
	f.Float64Var(&e.TokensPerSecond, "tokens", 4000, "tokens a second, shared")
	f.Float64Var(&e.RequestRate, "request-rate", 0, "tokens a second of one request, 0 for no limit")
	f.Float64Var(&e.PrefillRate, "prefill", 0, "prompt tokens a second, 0 is at once")
	f.IntVar(&e.TokensPerSegment, "segment", 4, "tokens of a segment")
	f.IntVar(&e.MaxRunning, "max-running", 32, "requests that run together")
	f.IntVar(&e.MaxQueue, "max-queue", 1024, "requests that wait")
	f.IntVar(&e.CacheTokens, "cache", 20000, "prompt tokens that the cache holds")
	f.DurationVar(&e.EventLag, "event-lag", 200*time.Millisecond, "lag of cache events")
	f.Uint64Var(&e.EventGap, "event-gap", 0, "each such cache event is lost, 0 for none")
	f.DurationVar(&e.LoadLag, "load-lag", 100*time.Millisecond, "lag of load reports")
	f.DurationVar(&e.SwapTime, "swap-time", 100*time.Millisecond, "time of a weight swap")
	f.BoolVar(&e.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	f.Float64Var(&e.StragglerShare, "stragglers", 0, "share of the attempts that are slow")
	f.Float64Var(&e.StragglerFactor, "straggler-factor", 10, "how much slower they are")
	f.Uint64Var(&e.Seed, "seed", 1, "seed of the stragglers")
}

func (c *engineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	c.engine.Name = c.endpoint.Name
	c.engine.Incarnation = incarnation()
	c.engine.Exit = os.Exit
	c.endpoint.Model = c.engine.Model
	c.endpoint.Checks = c.engine.ChecksFencing
	server := &stand.Server{
		Role: "engine", Listen: c.listen, Handler: &c.engine, Platform: c.endpoint.Platform,
		Announce: c.endpoint.Registration(wire.Engine, c.engine.Incarnation),
	}
	return finish(server.Run())
}

type serviceCommand struct {
	listen   string
	endpoint stand.Endpoint
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run the stand-in of a plain service" }
func (*serviceCommand) Usage() string    { return "service --listen host:port --service name [flags]\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port")
	f.StringVar(&c.endpoint.Service, "service", "lookup", "service's name")
	endpointFlags(f, &c.endpoint)
}

func (c *serviceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	server := &stand.Server{
		Role: "service", Listen: c.listen, Handler: &servc.Service{Name: c.endpoint.Name},
		Platform: c.endpoint.Platform, Announce: c.endpoint.Registration(wire.Service, incarnation()),
	}
	return finish(server.Run())
}

type scorerCommand struct {
	listen   string
	endpoint stand.Endpoint
}

func (*scorerCommand) Name() string     { return "scorer" }
func (*scorerCommand) Synopsis() string { return "run the stand-in of a service that scores samples" }

func (*scorerCommand) Usage() string { return "scorer --listen host:port --service name [flags]\n" }

func (c *scorerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port")
	f.StringVar(&c.endpoint.Service, "service", "scorer", "service's name")
	endpointFlags(f, &c.endpoint)
}

func (c *scorerCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	server := &stand.Server{
		Role: "scorer", Listen: c.listen, Handler: servc.Scorer{},
		Platform: c.endpoint.Platform, Announce: c.endpoint.Registration(wire.Service, incarnation()),
	}
	return finish(server.Run())
}
