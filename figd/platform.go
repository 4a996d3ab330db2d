package main

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/batch"
	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/drain"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/flow"
	"github.com/figshift/figshift/internal/items"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/logs"
	"github.com/figshift/figshift/internal/loop"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/orders"
	"github.com/figshift/figshift/internal/peer"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/scale"
	"github.com/figshift/figshift/internal/serve"
	"github.com/figshift/figshift/internal/stats"
	"github.com/figshift/figshift/internal/update"
	"github.com/figshift/figshift/internal/usage"
	"github.com/figshift/figshift/internal/view"
	"github.com/figshift/figshift/platform"
)

const (
	// balancerDelay is the time after which the balancer has seen that a host is not ready: two questions.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is left of the platform's grace when a graceful stop is cut.
	stopMargin = 500 * time.Millisecond
	// gcPercent trades processor time for memory, which is what the hosts lack.
	gcPercent = 60
	// memoryShare is the part of a host's memory at which the collector works harder.
	memoryShare    = 0.7
	storeTimeout   = time.Second
	storeRead      = 1500 * time.Millisecond
	endpointDial   = 500 * time.Millisecond
	idleConns      = 16
	idleConnsFor   = 10 * time.Second
	metricsTimeout = 2 * time.Second
	// orderAnswer bounds the wait for an answer to an order or a report, so that one whose answer is lost is repeated
	// before it is due; the platform takes a repeat as the same report, an engine tells whether it had the order.
	orderAnswer = 1500 * time.Millisecond
)

// The ports of the project's own listeners, as indices of Settings.Ports.
const (
	peerPort = iota
	pagePort
)

// onPlatform is the composition of one process on the platform.
type onPlatform struct {
	*daemon
	file     string // of the settings
	settings platform.Settings
	logs     *logs.Settings
	self     event.Host
	secret   []byte
	store    *platform.Store
	between  http.RoundTripper // to the other hosts
	book     *relay.Book
	relayed  *relay.Store
	view     *view.Part
	leases   *lease.Part
	calls    *call.Executor
	jobs     *items.Executor
	flow     *flow.Part
	batch    *batch.Part
}

// startPlatform takes the file of settings from its one argument, or else from the environment.
func startPlatform(args []string, stdout, stderr io.Writer) int {
	file := os.Getenv(platform.SettingsVariable)
	switch {
	case len(args) > 1:
		fmt.Fprintln(stderr, "usage: figd platform [SETTINGS]")
		return exitUsage
	case len(args) == 1:
		file = args[0]
	case file == "":
		fmt.Fprintf(stderr, "no settings: name a file or set %s\n", platform.SettingsVariable)
		return exitUsage
	}
	return runPlatform(file, stdout, stderr)
}

// runPlatform runs the process that a file of settings describes and returns its exit code.
func runPlatform(file string, stdout, stderr io.Writer) int {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitConfig
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * (1 << 20)))
	d := newOnPlatform(file, settings, newIdentity(), stdout)
	defer d.close()
	return exitCode(d.group.Run())
}

// newOnPlatform composes the process of a host's class. The order fixes the order in which parts see an event.
func newOnPlatform(file string, settings platform.Settings, id identity, stdout io.Writer) *onPlatform {
	d := &onPlatform{file: file, settings: settings, daemon: &daemon{identity: id, state: &reduce.State{}}}
	d.process = config.Process{Host: settings.Host, Zone: settings.Zone, BalancerDelay: balancerDelay, LogLevel: settings.LogLevel}
	d.loop = &loop.Loop{State: d.state, TickEvery: tickEvery, IdleEvery: idleEvery, QueueSize: eventQueueSize}
	d.loop.Prepare()
	d.self = event.Host{Name: settings.Host, Zone: settings.Zone, Address: d.advertised(peerPort), Incarnation: id.incarnation, Power: int(settings.Cores * 100)}
	d.secret = deploymentID(settings)
	transport := conns.Transport(endpointDial, idleConns, idleConnsFor)
	d.store = &platform.Store{Address: settings.Store, HTTP: &http.Client{Transport: transport}}
	d.addLogs(stdout)
	if settings.Class == platform.ClassStore {
		d.addActor((&retirement{store: d.store, host: settings.Host, log: d.log}).run)
		d.addActor(d.loop.Run)
		return d
	}
	d.addHosts()
	d.addClock()
	d.addCalls()
	d.addJobs()
	d.addDuties()
	d.addActor(d.loop.Run)
	return d
}

// advertised returns the address at which the other hosts reach one of this host's listeners.
func (d *onPlatform) advertised(port int) string {
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.Ports[port]))
}

// own returns the address of one of this host's own listeners.
func (d *onPlatform) own(port int) string {
	return net.JoinHostPort(d.settings.Bind, strconv.Itoa(d.settings.Ports[port]))
}

// deploymentID keeps hosts of different deployments apart. The platform gives its processes no secret.
func deploymentID(s platform.Settings) []byte {
	sum := sha256.Sum256([]byte(s.Deployment))
	return sum[:]
}

func (d *onPlatform) addLogs(stdout io.Writer) {
	lines := &logs.Queue{Out: stdout, Dropped: func(n int) { d.metrics().Counter("LogLinesDropped").Inc(int64(n)) }}
	lines.Prepare()
	d.logs = logs.NewSettings(d.settings.LogLevel, uint64(d.settings.LogPerSecond))
	d.log = logs.NewWith(d.logs, d.settings.Host, lines)
	if _, err := zap.RedirectStdLogAt(d.log, zap.DebugLevel); err != nil {
		d.log.Warn("LogNotRedirected", zap.Error(err)) // the HTTP library's own lines stay on standard error
	}
	scope, metrics, closer := stats.New(func(err error) { d.log.Error("MetricRefused", zap.Error(err)) })
	d.scope = scope
	d.closers = append(d.closers, closer)
	d.ready = &readiness{}
	exit := &exiter{asked: make(chan struct{})}
	d.addExecutor(&logs.Executor{Log: d.log, Settings: d.logs, Held: func(name string) {
		d.metrics().Tagged(map[string]string{"Event": name}).Counter("LogLinesHeld").Inc(1)
	}})
	d.addActor(lines.Run)
	d.addExecutor(&stats.Executor{Scope: scope})
	d.addExecutor(d.ready)
	d.addExecutor(exit)
	d.addActor(exit.run)
	d.addActor(d.watchSignals)
	d.addActor((&reload{file: d.file, settings: d.settings, logs: d.logs, log: d.log}).run)
	d.addActor(d.listen(net.JoinHostPort(d.settings.Bind, strconv.Itoa(d.settings.MetricsPort)), metrics))
	d.addPart(&drain.Part{Bound: d.settings.Grace, Within: d.settings.Grace - stopMargin})
	d.log.Info("Started")
}

// listen returns an actor that serves h.
func (d *onPlatform) listen(address string, h http.Handler) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: metricsTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.ListenAndServe(); ctx.Err() == nil {
			return errors.Wrap(err, "listening at "+address)
		}
		return nil
	}
}

// addHosts adds what follows the store and the other hosts.
func (d *onPlatform) addHosts() {
	d.keys = &keys.Table{}
	d.members = &member.Part{Self: d.self, Open: true, JoinZones: true}
	d.view = &view.Part{Host: d.self.Name, Zone: d.self.Zone, Decode: platform.Decoder{Settings: d.settings}, Keys: d.keys}
	d.leases = &lease.Part{Self: d.self, Roster: d.members}
	d.members.Contributors = []member.Contributor{d.view, d.leases}
	d.addPart(d.members)
	d.addPart(d.view)
	d.addPart(d.leases)
	d.between = conns.Transport(endpointDial, idleConns, idleConnsFor)
	d.book = &relay.Book{Port: d.settings.Ports[pagePort]}
	d.relayed = &relay.Store{Own: d.store, Book: d.book, Secret: hex.EncodeToString(d.secret), HTTP: d.between, Log: d.log, Observe: d.observeCall}
	d.addExecutor(d.book)
	objects := &objapi.Executor{Client: d.relayed, Post: d.loop.Post, Now: d.loop.Now, Scope: d.metrics(), Timeout: storeTimeout, ReadTimeout: storeRead}
	objects.Prepare()
	d.addExecutor(objects)
	d.addActor(objects.Run)
	mesh := &peer.Mesh{Self: d.self, Secret: d.secret, Listen: d.own(peerPort), Post: d.loop.Post, Scope: d.metrics(), Log: d.logger()}
	mesh.Prepare()
	d.addExecutor(mesh)
	d.addActor(mesh.Run)
}

// observeCall adds a call to the store to its histogram.
func (d *onPlatform) observeCall(call string, kind kinds.Kind, took time.Duration) {
	tags := []event.Field{{Key: "Call", Value: call}, {Key: "Result", Value: cmp.Or(string(kind), "OK")}}
	(&stats.Executor{Scope: d.metrics()}).Do(event.Observe{Name: "StoreCallTime", Tags: tags, Took: took})
}

// holds answers event.Trust from the two parts that know.
type holds struct {
	*view.Part
	leases *lease.Part
}

// Holds reports whether this daemon holds a duty at time now, until when its lease is trusted, and its epoch.
func (h holds) Holds(duty string, now time.Duration) (until time.Duration, epoch uint64, ok bool) {
	return h.leases.Holds(duty, now)
}

// addCalls adds callers' requests.
func (d *onPlatform) addCalls() {
	d.trust = holds{Part: d.view, leases: d.leases}
	d.flow = &flow.Part{
		Host: d.self.Name, Zone: d.self.Zone, Trust: d.trust, Keys: d.keys,
		Random: rand.New(rand.NewPCG(d.seed, 0)), Process: d.process, NoPolls: true, KeepsToOne: true, Lines: true,
	}
	d.members.Contributors = append(d.members.Contributors, d.flow)
	d.addPart(d.flow)
	d.calls = &call.Executor{Incarnation: d.incarnation, Post: d.loop.Post, Now: d.loop.Now, Names: platform.CallNames()}
	d.calls.Prepare()
	d.addExecutor(d.calls)
	d.addActor(d.calls.Run)
}

// addJobs adds batch jobs and the callers' listener.
func (d *onPlatform) addJobs() {
	d.batch = &batch.Part{Self: d.self, Holders: d.flow, Roster: d.members, Fresh: d.settings.FirstStart}
	d.members.Contributors = append(d.members.Contributors, d.batch)
	d.addPart(d.batch)
	pages := &items.Pages{Book: d.book, Secret: hex.EncodeToString(d.secret), HTTP: d.between}
	d.jobs = &items.Executor{
		Host: d.self.Name, Incarnation: d.incarnation, Store: d.relayed, Calls: d.calls, Names: platform.ItemNames(),
		HTTP: conns.Transport(endpointDial, idleConns, idleConnsFor), Peers: pages, Post: d.loop.Post, Now: d.loop.Now, Decode: platform.DecodeJob,
	}
	d.jobs.Prepare()
	pages.Jobs = d.jobs
	d.addExecutor(d.jobs)
	d.addActor(d.jobs.Run)
	calls := http.NewServeMux()
	calls.Handle(items.PathPage, pages)
	calls.HandleFunc(items.PathCopies, pages.ServeCopies)
	calls.HandleFunc(items.PathSubmit, pages.ServeSubmit)
	calls.Handle(relay.Path, &relay.Server{Own: d.store, Secret: hex.EncodeToString(d.secret)})
	d.addActor(d.listen(d.own(pagePort), calls))
	lots := &platform.Lots{Jobs: d.jobs}
	server := &serve.Server{
		Address: d.settings.Listen, Executor: d.calls, Post: d.loop.Post, Now: d.loop.Now,
		Handlers: map[string]http.Handler{platform.PathLots: lots, platform.PathItems: lots},
		Protocol: platform.Front{Lots: lots},
	}
	server.Prepare()
	d.addExecutor(server)
	d.addActor(server.Run)
	d.addActor(d.listen(d.settings.Ready, http.HandlerFunc(server.Readyz)))
}

// addDuties adds what one host does for all: weight versions, numbers of endpoints, usage reports and the deletion of old jobs.
func (d *onPlatform) addDuties() {
	d.addPart(&batch.Sweep{Trust: d.trust, KeepResults: d.settings.KeepResults})
	d.addPart(&update.Part{Host: d.self.Name, Trust: d.trust, Runs: d.batch})
	d.addPart(&scale.Part{Host: d.self.Name, Trust: d.trust, Duty: update.Duty, Jobs: d.batch})
	d.addPart(&usage.Counter{Host: d.self.Name, Incarnation: d.incarnation, Requests: true})
	d.addPart(&usage.Holder{Host: d.self.Name, Trust: d.trust})
	d.addExecutor(&orders.Executor{Base: "http://" + d.settings.Cloud, Protocol: platform.Orders{}, Now: d.loop.Now, Post: d.loop.Post, AnswerWithin: orderAnswer})
}
