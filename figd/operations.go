package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/admin"
	"github.com/figshift/figshift/internal/drain"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/logs"
	"github.com/figshift/figshift/internal/stats"
	"github.com/figshift/figshift/internal/wire"
)

// drainGrace is how long a graceful stop may take beyond Process.BalancerDelay and the longest request.
const drainGrace = 30 * time.Second

var (
	errStopped = errors.New("stopped")
	errAborted = errors.New("graceful stop aborted by a second signal")
)

// addOperations adds logging, metrics, readiness, signal handling and the operators' listener.
func (d *daemon) addOperations(stderr io.Writer) error {
	credential, err := admin.ReadCredential(d.process.CredentialFile)
	if err != nil {
		return err
	}
	d.log = logs.New(d.process.LogLevel, d.process.Host, stderr)
	scope, metrics, closer := stats.New(func(err error) {
		d.log.Error("MetricRefused", zap.Error(err))
	})
	d.scope = scope
	d.closers = append(d.closers, closer)
	d.ready = &readiness{}
	collector := &admin.StatusCollector{Post: d.loop.Post}
	server := &admin.Server{
		Address:    d.process.Operators,
		Credential: credential,
		Ready:      d.ready.Ready,
		Status:     collector.Status,
		Metrics:    metrics,
		Gate:       d.newGate("Operators", operatorConns),
		OnRefused: func(kind kinds.Kind) {
			scope.Tagged(map[string]string{"Kind": string(kind)}).Counter("OperatorRefused").Inc(1)
		},
	}
	exit := &exiter{requested: make(chan struct{})}
	d.addExecutor(&logs.Executor{Log: d.log})
	d.addExecutor(&stats.Executor{Scope: scope})
	d.addExecutor(d.ready)
	d.addExecutor(collector)
	d.addExecutor(exit)
	d.addActor(server.Run)
	d.addActor((&stats.Gauges{Scope: scope, Status: collector.Status, Ready: d.ready.Ready}).Run)
	d.addActor(exit.run)
	signal.Ignore(syscall.SIGHUP)
	d.addActor(d.watchSignals)
	d.addComponent(&logs.RequestLogger{Incarnation: d.incarnation, Debug: d.process.LogLevel == "debug"})
	d.addComponent(&drain.Component{Grace: d.process.BalancerDelay + drainGrace})
	gaugeBuild(scope, d.build)
	d.log.Info("Started", zap.String("Build", d.build), zap.String("Incarnation", d.incarnation), zap.String("Zone", d.process.Zone))
	return nil
}

// addStatus adds the component that ends each status report. It must be added last, after every component that
// contributes.
func (d *daemon) addStatus() {
	d.addComponent(&admin.StatusFinisher{Self: wire.Status{Host: d.process.Host, Zone: d.process.Zone, Incarnation: d.incarnation, Build: d.build}})
}

// watchSignals requests a graceful stop at the first signal and fails at the second.
func (d *daemon) watchSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
		return nil
	}
	d.loop.Post(event.StopAsked{})
	select {
	case <-signals:
		return errAborted
	case <-ctx.Done():
		return nil
	}
}

// readiness keeps the latest Ready effect for the listeners.
type readiness struct{ last atomic.Pointer[event.Ready] }

// Do handles a Ready effect and reports whether the effect is one.
func (r *readiness) Do(effect event.Effect) bool {
	e, ok := effect.(event.Ready)
	if !ok {
		return false
	}
	r.last.Store(&e)
	return true
}

// Ready reports whether the daemon accepts callers' requests and, if not, the reason. It may be called concurrently.
func (r *readiness) Ready() (ready bool, reason string) {
	last := r.last.Load()
	if last == nil {
		return false, "starting"
	}
	return last.Ready, last.Reason
}

// exiter ends the process upon an Exit effect.
type exiter struct{ requested chan struct{} }

// Do handles an Exit effect and reports whether the effect is one.
func (x *exiter) Do(effect event.Effect) bool {
	if _, ok := effect.(event.Exit); !ok {
		return false
	}
	select {
	case <-x.requested:
	default:
		close(x.requested)
	}
	return true
}

func (x *exiter) run(ctx context.Context) error {
	select {
	case <-x.requested:
		return errStopped
	case <-ctx.Done():
		return nil
	}
}
