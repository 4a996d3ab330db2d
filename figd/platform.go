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
	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/drain"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/flow"
	"github.com/figshift/figshift/internal/gate"
	"github.com/figshift/figshift/internal/items"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/logs"
	"github.com/figshift/figshift/internal/loop"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/orders"
	"github.com/figshift/figshift/internal/origin"
	"github.com/figshift/figshift/internal/peer"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/scale"
	"github.com/figshift/figshift/internal/serve"
	"github.com/figshift/figshift/internal/stats"
	"github.com/figshift/figshift/internal/update"
	"github.com/figshift/figshift/internal/usage"
	"github.com/figshift/figshift/internal/view"
	"github.com/figshift/figshift/internal/wire"
	"github.com/figshift/figshift/platform"
)

const (
	// balancerDelay covers two readiness probes of the load balancer, after which it has noticed that a host is not
	// ready.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is what remains of the platform's grace period when a graceful stop is aborted.
	stopMargin = 500 * time.Millisecond
	// answerMargin is the time before that at which the last requests are answered.
	answerMargin = 250 * time.Millisecond
	// gcPercent trades processor time for memory, which is the scarcer resource on the hosts.
	gcPercent = 60
	// memoryLimitShare is the fraction of a host's memory at which the garbage collector runs more often.
	memoryLimitShare = 0.7
	// clientMemoryShare is the fraction of a host's memory that clients can make the process hold.
	clientMemoryShare = 0.35
	// answerMemoryShare is the fraction of a host's memory that engines can make the process hold of their answers to items.
	answerMemoryShare = 0.1
	// jobMemoryShare is the fraction of a host's memory that batch jobs may hold when a further one is submitted.
	jobMemoryShare = 0.15

	storeTimeout     = time.Second
	storeReadTimeout = 1500 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	maxIdleConns     = 16
	idleConnTimeout  = 10 * time.Second
	// orderAnswerTimeout bounds the wait for the answer to an order or a report, so that one whose answer is lost is
	// repeated before it is due. Repeating is safe: the platform recognises a repeated report, and an engine reports
	// whether it had accepted the order.
	orderAnswerTimeout = 1500 * time.Millisecond
)

// Ports of figshift's own listeners, as indices of Settings.Ports.
const (
	peerPort = iota
	hostAPIPort
)

// platformDaemon is the composition of one process on the users' platform.
type platformDaemon struct {
	*daemon
	file           string // path of the settings file
	settings       platform.Settings
	logs           *logs.Settings
	self           event.Host
	secret         []byte
	store          *platform.Store
	peerTransport  http.RoundTripper // to the other hosts
	hostAddresses  *relay.HostAddresses
	relayedStore   *relay.Store
	viewComponent  *view.Component
	leaseComponent *lease.Component
	callExecutor   *call.Executor
	jobExecutor    *items.Executor
	limits         *limit.Component
	links          *reach.Component
	flowComponent  *flow.Component
	batchComponent *batch.Component
}

// startPlatform takes the path of the settings file from its only argument or else from the environment.
func startPlatform(args []string, stdout, stderr io.Writer) int {
	file := os.Getenv(platform.SettingsVariable)
	switch {
	case len(args) > 1:
		fmt.Fprintln(stderr, "usage: figd platform [SETTINGS]")
		return exitUsage
	case len(args) == 1:
		file = args[0]
	case file == "":
		fmt.Fprintf(stderr, "no settings: pass a file or set %s\n", platform.SettingsVariable)
		return exitUsage
	}
	return runPlatform(file, stdout, stderr)
}

// runPlatform runs the process described by a settings file and returns its exit code.
func runPlatform(file string, stdout, stderr io.Writer) int {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitConfig
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryLimitShare * (1 << 20)))
	d := newPlatformDaemon(file, settings, newIdentity(), stdout)
	defer d.close()
	return exitCode(d.group.Run())
}

// newPlatformDaemon composes the process for the host's class. Components see an event in the order in which they are
// added here.
func newPlatformDaemon(file string, settings platform.Settings, id identity, stdout io.Writer) *platformDaemon {
	d := &platformDaemon{file: file, settings: settings, daemon: &daemon{identity: id, state: &reduce.State{}}}
	d.process = config.Process{Host: settings.Host, Zone: settings.Zone, BalancerDelay: balancerDelay, StopTime: settings.Grace - stopMargin - answerMargin, LogLevel: settings.LogLevel}
	d.loop = &loop.Loop{State: d.state, TickEvery: tickInterval, IdleEvery: idleTickInterval, QueueSize: eventQueueSize}
	d.loop.Prepare()
	d.self = event.Host{Name: settings.Host, Zone: settings.Zone, Address: d.advertisedAddress(peerPort), Incarnation: id.incarnation, Power: int(settings.Cores * 100), Build: id.build}
	d.secret = deploymentSecret(settings)
	d.clientMemory = d.newClientMemory(int64(float64(settings.MemoryMB) * clientMemoryShare * (1 << 20)))
	transport := conns.Transport(dialTimeout, maxIdleConns, idleConnTimeout)
	d.store = &platform.Store{Address: settings.Store, HTTP: &http.Client{Transport: transport}}
	d.addPlatformOperations(stdout)
	if settings.Class == platform.ClassStore {
		d.addActor((&retirementWatcher{store: d.store, host: settings.Host, log: d.log}).run)
		d.addActor(d.loop.Run)
		return d
	}
	d.addStoreAndPeers()
	d.addClock()
	d.addCalls()
	d.addJobs()
	d.addDuties()
	d.addActor(d.loop.Run)
	return d
}

// advertisedAddress returns the address at which other hosts reach one of this host's own listeners.
func (d *platformDaemon) advertisedAddress(port int) string {
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.Ports[port]))
}

// bindAddress returns the address to which one of this host's own listeners binds.
func (d *platformDaemon) bindAddress(port int) string {
	return net.JoinHostPort(d.settings.Bind, strconv.Itoa(d.settings.Ports[port]))
}

// sourceIP returns the IP from which this host connects to endpoints, nil for any. It is that of the internal listeners, as
// for connections to other hosts.
func (d *platformDaemon) sourceIP() net.IP { return net.ParseIP(d.settings.Bind) }

// deploymentSecret returns the secret that keeps hosts of different deployments from connecting. It is derived from the
// deployment's name, because the platform gives its processes no secret.
func deploymentSecret(s platform.Settings) []byte {
	sum := sha256.Sum256([]byte(s.Deployment))
	return sum[:]
}

// addPlatformOperations adds logging, metrics, readiness, signal handling and the reloading of settings.
func (d *platformDaemon) addPlatformOperations(stdout io.Writer) {
	logQueue := &logs.Queue{Out: stdout, Dropped: func(n int) { d.metrics().Counter("LogLinesDropped").Inc(int64(n)) }}
	logQueue.Prepare()
	d.logs = logs.NewSettings(d.settings.LogLevel, uint64(d.settings.LogPerSecond))
	d.log = logs.NewWithSettings(d.logs, d.settings.Host, logQueue)
	if _, err := zap.RedirectStdLogAt(d.log, zap.DebugLevel); err != nil {
		d.log.Warn("LogNotRedirected", zap.Error(err)) // the HTTP library then keeps logging to standard error
	}
	scope, metrics, closer := stats.New(func(err error) { d.log.Error("MetricRefused", zap.Error(err)) })
	d.scope = scope
	d.closers = append(d.closers, closer)
	d.ready = &readiness{}
	exit := &exiter{requested: make(chan struct{})}
	d.addExecutor(&logs.Executor{Log: d.log, Settings: d.logs, Suppressed: func(name string) {
		d.metrics().Tagged(map[string]string{"Event": name}).Counter("LogLinesHeld").Inc(1)
	}})
	d.addActor(logQueue.Run)
	d.addExecutor(&stats.Executor{Scope: scope})
	d.addExecutor(d.ready)
	d.addExecutor(exit)
	d.addActor(exit.run)
	d.addActor(d.watchSignals)
	d.addActor((&settingsReloader{file: d.file, settings: d.settings, logs: d.logs, log: d.log}).run)
	d.addActor(d.listen(net.JoinHostPort(d.settings.Bind, strconv.Itoa(d.settings.MetricsPort)), metrics, d.newGate("Metrics", d.connsOf(metricsConns))))
	d.addComponent(&drain.Component{Grace: d.settings.Grace, MaxWait: d.settings.Grace - stopMargin})
	gaugeBuild(scope, d.build)
	d.log.Info("Started", zap.String("Build", d.build))
}

// listen returns an actor that serves h at address to the clients that a gate admits.
func (d *platformDaemon) listen(address string, h http.Handler, admits *gate.Gate) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := admits.Listen(address)
		if err != nil {
			return errors.Wrap(err, "listening at "+address)
		}
		server := &http.Server{Handler: h}
		go admits.Run(ctx)
		stop := context.AfterFunc(ctx, func() {
			admits.Stop()
			_ = server.Close()
		})
		defer stop()
		if err := admits.Serve(server, listener); ctx.Err() == nil {
			return errors.Wrap(err, "listening at "+address)
		}
		return nil
	}
}

// addStoreAndPeers adds membership, the view of the store's objects and the leases, with the connections to the store
// and to the other hosts.
func (d *platformDaemon) addStoreAndPeers() {
	d.keys = &keys.Table{}
	d.members = &member.Component{Self: d.self, AdmitAll: true, ConnectZones: true}
	d.viewComponent = &view.Component{Host: d.self.Name, Zone: d.self.Zone, Decoder: platform.Decoder{Settings: d.settings}, Keys: d.keys, ApplyBound: d.settings.ApplyBound}
	d.links = &reach.Component{Self: d.self.Name, Membership: d.members}
	d.leaseComponent = &lease.Component{Self: d.self, Membership: d.members, Links: d.links}
	d.members.BeatFillers = []member.BeatFiller{d.viewComponent, d.leaseComponent, d.links}
	d.addComponent(d.members)
	d.addComponent(d.viewComponent)
	d.addComponent(d.links)
	d.addComponent(d.leaseComponent)
	d.peerTransport = conns.Transport(dialTimeout, maxIdleConns, idleConnTimeout)
	d.hostAddresses = &relay.HostAddresses{Port: d.settings.Ports[hostAPIPort]}
	d.relayedStore = &relay.Store{Direct: d.store, Hosts: d.hostAddresses, Secret: hex.EncodeToString(d.secret), HTTP: d.peerTransport, Log: d.log, Observe: d.observeCall}
	d.addExecutor(d.hostAddresses)
	objects := &objapi.Executor{Store: d.relayedStore, Post: d.loop.Post, Now: d.loop.Now, Scope: d.metrics(), Timeout: storeTimeout, ReadTimeout: storeReadTimeout}
	objects.Prepare()
	d.addExecutor(objects)
	d.addActor(objects.Run)
	mesh := &peer.Mesh{Self: d.self, Secret: d.secret, Listen: d.bindAddress(peerPort), Post: d.loop.Post, Scope: d.metrics(), Log: d.logger()}
	mesh.Prepare()
	d.addExecutor(mesh)
	d.addActor(mesh.Run)
}

// observeCall records the duration of a call to the store in its histogram.
func (d *platformDaemon) observeCall(call string, kind kinds.Kind, took time.Duration) {
	tags := []event.Field{{Key: "Call", Value: call}, {Key: "Result", Value: cmp.Or(string(kind), "OK")}}
	(&stats.Executor{Scope: d.metrics()}).Do(event.Observe{Name: "StoreCallTime", Tags: tags, Took: took})
}

// observeEmptyPage records the age of an empty page of results in its histogram.
func (d *platformDaemon) observeEmptyPage(p items.EmptyPage) {
	tags := []event.Field{{Key: "Source", Value: p.Source}}
	(&stats.Executor{Scope: d.metrics()}).Do(event.Observe{Name: "EmptyPageAge", Tags: tags, Took: p.Age})
	d.log.Debug("EmptyPage", zap.String("Job", p.Job), zap.Int("After", p.After), zap.String("Source", p.Source), zap.Int64("AgeMS", p.Age.Milliseconds()))
}

// viewTrust implements event.Trust with the view component and the lease component.
type viewTrust struct {
	*view.Component
	leases *lease.Component
}

// Holds reports whether this daemon holds a duty at time now, until when its lease is trusted, and its epoch.
func (t viewTrust) Holds(duty string, now time.Duration) (until time.Duration, epoch uint64, ok bool) {
	return t.leases.Holds(duty, now)
}

// addCalls adds the processing of callers' requests.
func (d *platformDaemon) addCalls() {
	d.trust = viewTrust{Component: d.viewComponent, leases: d.leaseComponent}
	d.limits = &limit.Component{Self: d.self.Name}
	d.links.Limits = d.limits
	d.members.BeatFillers = append(d.members.BeatFillers, d.limits)
	d.addComponent(d.limits)
	crashes := &crash.Component{Self: d.self.Name, Membership: d.members}
	d.members.BeatFillers = append(d.members.BeatFillers, crashes)
	d.addComponent(crashes)
	origins := &origin.Component{Self: d.self, Membership: d.members}
	d.addComponent(origins)
	d.flowComponent = &flow.Component{
		Host: d.self.Name, Zone: d.self.Zone, Trust: d.trust, Limits: d.limits, Crashes: crashes, Origins: origins, Links: d.links, Keys: d.keys,
		Random: rand.New(rand.NewPCG(d.seed, 0)), Process: d.process, DisablePolling: true, Sticky: true, LogRequests: true,
	}
	d.members.BeatFillers = append(d.members.BeatFillers, d.flowComponent)
	d.addComponent(d.flowComponent)
	d.callExecutor = &call.Executor{Incarnation: d.incarnation, Post: d.loop.Post, Now: d.loop.Now, Names: platform.CallNames(), SourceIP: d.sourceIP(), Relays: d.hostAddresses, Secret: hex.EncodeToString(d.secret)}
	d.callExecutor.Prepare()
	d.addExecutor(d.callExecutor)
	d.addActor(d.callExecutor.Run)
}

// addJobs adds batch jobs, the listener for other hosts and the callers' listener.
func (d *platformDaemon) addJobs() {
	d.batchComponent = &batch.Component{Self: d.self, KeyOwners: d.flowComponent, Membership: d.members, Limits: d.limits, Links: d.links, NewStore: d.settings.FirstStart}
	d.members.BeatFillers = append(d.members.BeatFillers, d.batchComponent)
	d.limits.Backlogs = []limit.Backlog{d.flowComponent, d.batchComponent}
	d.addComponent(d.batchComponent)
	unshared := conns.Transport(dialTimeout, maxIdleConns, idleConnTimeout)
	unshared.DisableKeepAlives = true
	hostAPI := &items.PeerClient{Hosts: d.hostAddresses, Secret: hex.EncodeToString(d.secret), HTTP: d.peerTransport, Unshared: unshared}
	d.jobExecutor = &items.Executor{
		Host: d.self.Name, Incarnation: d.incarnation, Store: d.relayedStore, Calls: d.callExecutor, Names: platform.ItemNames(),
		HTTP:       conns.IdentifyingTransport(conns.DialerFrom(d.sourceIP(), dialTimeout), nil, maxIdleConns, idleConnTimeout),
		Identified: conns.IdentifyingTransport(conns.DialerFrom(d.sourceIP(), dialTimeout), platform.CallNames().Identity, maxIdleConns, idleConnTimeout), Peers: hostAPI, Post: d.loop.Post, Now: d.loop.Now, Decode: platform.DecodeJob,
		Memory: d.newAnswerMemory(int64(float64(d.settings.MemoryMB) * answerMemoryShare * (1 << 20))),
		Settle: d.settings.Settle, ObserveEmpty: d.observeEmptyPage, MaxStoredBytes: int64(d.settings.ValueBytes), MaxJobBytes: int64(float64(d.settings.MemoryMB) * jobMemoryShare * (1 << 20)),
	}
	d.jobExecutor.Prepare()
	hostAPI.Executor = d.jobExecutor
	d.addExecutor(d.jobExecutor)
	d.addActor(d.jobExecutor.Run)
	hostAPIMux := http.NewServeMux()
	hostAPIMux.Handle(items.PathJob, hostAPI)
	hostAPIMux.HandleFunc(items.PathCopies, hostAPI.ServeCopies)
	hostAPIMux.HandleFunc(items.PathSubmit, hostAPI.ServeSubmit)
	hostAPIMux.Handle(relay.Path, &relay.Server{Direct: d.store, Secret: hex.EncodeToString(d.secret), Serves: d.relayedStore.Serves})
	d.addActor(d.listen(d.bindAddress(hostAPIPort), hostAPIMux, d.newGate("Hosts", d.connsOf(hostConns))))
	jobAPI := &platform.JobAPI{Jobs: d.jobExecutor}
	server := &serve.Server{
		Address: d.settings.Listen, Executor: d.callExecutor, Post: d.loop.Post, Now: d.loop.Now,
		Handlers: map[string]http.Handler{platform.PathJobs: jobAPI, platform.PathItems: jobAPI},
		Protocol: platform.CallerProtocol{JobAPI: jobAPI},
		Gate:     d.newGate("Callers", d.connsOf(callerConns)),
		StopTime: d.process.StopTime,
	}
	server.Prepare()
	jobAPI.MaxBytes, hostAPI.MaxBytes = server.MaxBodyBytes, server.MaxBodyBytes
	hostAPIMux.HandleFunc(wire.PathPass, server.ServePassed)
	d.addExecutor(server)
	d.addActor(server.Run)
	d.addActor(d.listen(d.settings.Ready, http.HandlerFunc(server.Readyz), d.newGate("Readiness", d.connsOf(readinessConns))))
}

// addDuties adds the work that one host does for all: weight versions, endpoint scaling, usage reports and the
// deletion of old jobs.
func (d *platformDaemon) addDuties() {
	d.addComponent(&batch.Sweeper{Trust: d.trust, KeepResults: d.settings.KeepResults})
	d.addComponent(&update.Component{Host: d.self.Name, Trust: d.trust, LocalRuns: d.batchComponent, Limits: d.limits, Links: d.links})
	d.addComponent(&scale.Component{Host: d.self.Name, Trust: d.trust, Duty: update.Duty, Jobs: d.batchComponent})
	d.addComponent(&usage.Counter{Host: d.self.Name, Incarnation: d.incarnation, CountRequests: true})
	d.addComponent(&usage.Holder{Host: d.self.Name, Trust: d.trust})
	names := platform.CallNames()
	d.addExecutor(&orders.Executor{BaseURL: "http://" + d.settings.Cloud, Protocol: platform.OrderProtocol{}, Now: d.loop.Now, Post: d.loop.Post, AnswerTimeout: orderAnswerTimeout, Answered: names.Answered})
}
