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

func setEndpointFlags(f *flag.FlagSet, e *stand.EndpointFlags) {
	f.StringVar(&e.Name, "name", "", "`name` of the endpoint")
	f.StringVar(&e.Zone, "zone", "", "availability zone")
	f.StringVar(&e.Price, "price", string(wire.OnDemand), "OnDemand or Cheap")
	f.BoolVar(&e.Spare, "spare", false, "register as a spare, which waits for a start order")
	f.StringVar(&e.Platform, "platform", "", "base URL of the platform to register with")
	f.StringVar(&e.Address, "advertise", "", "`address` to register, that of the listener when empty")
}

func newIncarnation() string {
	b := make([]byte, 4)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// exitStatus prints an error unless it is nil and returns the corresponding exit status.
func exitStatus(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

type engineCommand struct {
	listen   string
	endpoint stand.EndpointFlags
	engine   engin.Engine
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a simulated model engine" }
func (*engineCommand) Usage() string    { return "engine --listen host:port [flags]\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port")
	setEndpointFlags(f, &c.endpoint)
	e := &c.engine
	f.StringVar(&e.Model, "model", "default", "`name` of the model")
	f.Uint64Var(&e.Version, "version", 1, "weight version at the start")
	f.Float64Var(&e.TokensPerSecond, "tokens", 4000, "generated tokens per second, shared by the running requests")
	f.Float64Var(&e.RequestRate, "request-rate", 0, "maximum of tokens per second for one request, 0 for no limit")
	f.Float64Var(&e.PrefillRate, "prefill", 0, "uncached prompt tokens processed per second, 0 for no delay")
	f.IntVar(&e.TokensPerSegment, "segment", 4, "tokens in a segment")
	f.IntVar(&e.MaxRunning, "max-running", 32, "maximum number of requests that run concurrently")
	f.IntVar(&e.MaxQueue, "max-queue", 1024, "maximum number of requests that wait")
	f.IntVar(&e.CacheTokens, "cache", 20000, "capacity of the cache in prompt tokens")
	f.DurationVar(&e.EventLag, "event-lag", 200*time.Millisecond, "time until a cache event becomes visible")
	f.Uint64Var(&e.EventGap, "event-gap", 0, "lose each `n`-th cache event, 0 for none")
	f.DurationVar(&e.LoadLag, "load-lag", 100*time.Millisecond, "age of load reports")
	f.DurationVar(&e.SwapTime, "swap-time", 100*time.Millisecond, "duration of a weight swap")
	f.BoolVar(&e.ChecksFencing, "checks-fencing", true, "refuse swap orders with an older fencing number")
	f.Float64Var(&e.StragglerShare, "stragglers", 0, "`fraction` of the attempts that are slow")
	f.Float64Var(&e.StragglerFactor, "straggler-factor", 10, "`factor` by which these attempts are slower")
	f.Uint64Var(&e.Seed, "seed", 1, "`seed` that selects these attempts")
}

func (c *engineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	c.engine.Name = c.endpoint.Name
	c.engine.Incarnation = newIncarnation()
	c.engine.Exit = os.Exit
	c.endpoint.Model = c.engine.Model
	c.endpoint.ChecksFencing = c.engine.ChecksFencing
	server := &stand.Server{
		Role: "engine", Listen: c.listen, Handler: &c.engine, Platform: c.endpoint.Platform,
		Announce: c.endpoint.Registration(wire.Engine, c.engine.Incarnation),
	}
	return exitStatus(server.Run())
}

type serviceCommand struct {
	listen   string
	endpoint stand.EndpointFlags
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a simulated plain service" }
func (*serviceCommand) Usage() string    { return "service --listen host:port --service name [flags]\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port")
	f.StringVar(&c.endpoint.Service, "service", "lookup", "service's name")
	setEndpointFlags(f, &c.endpoint)
}

func (c *serviceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	server := &stand.Server{
		Role: "service", Listen: c.listen, Handler: &servc.Service{Name: c.endpoint.Name},
		Platform: c.endpoint.Platform, Announce: c.endpoint.Registration(wire.Service, newIncarnation()),
	}
	return exitStatus(server.Run())
}

type scorerCommand struct {
	listen   string
	endpoint stand.EndpointFlags
}

func (*scorerCommand) Name() string     { return "scorer" }
func (*scorerCommand) Synopsis() string { return "run a simulated service that scores samples" }

func (*scorerCommand) Usage() string { return "scorer --listen host:port --service name [flags]\n" }

func (c *scorerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "host:port")
	f.StringVar(&c.endpoint.Service, "service", "scorer", "service's name")
	setEndpointFlags(f, &c.endpoint)
}

func (c *scorerCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	server := &stand.Server{
		Role: "scorer", Listen: c.listen, Handler: servc.Scorer{},
		Platform: c.endpoint.Platform, Announce: c.endpoint.Registration(wire.Service, newIncarnation()),
	}
	return exitStatus(server.Run())
}
