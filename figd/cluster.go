package main

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/peer"
	"github.com/figshift/figshift/internal/trust"
	"github.com/figshift/figshift/internal/watch"
)

const (
	platformConnections = 64
	platformIdleTimeout = 30 * time.Second
)

// clusterTrust implements event.Trust with the trust component and the lease component.
type clusterTrust struct {
	*trust.Component
	leases *lease.Component
}

// Holds reports whether this daemon holds a duty at time now, until when its lease is trusted, and its epoch.
func (t clusterTrust) Holds(duty string, now time.Duration) (until time.Duration, epoch uint64, ok bool) {
	return t.leases.Holds(duty, now)
}

// addCluster adds membership, the store watch, trust and leases, with their executors and actors.
func (d *daemon) addCluster() {
	self := event.Host{
		Name:        d.process.Host,
		Zone:        d.process.Zone,
		Address:     cmp.Or(d.process.PeerAdvertise, d.process.Peer),
		Incarnation: d.incarnation,
		Build:       d.build,
	}
	d.keys = &keys.Table{}
	members := &member.Component{Self: self}
	storeWatch := &watch.Component{Self: self, Membership: members, Keys: d.keys}
	evidence := &trust.Component{Self: self.Name, State: storeWatch}
	leases := &lease.Component{Self: self, Membership: members}
	storeWatch.Evidence = evidence
	members.Store = evidence
	members.BeatFillers = []member.BeatFiller{storeWatch, evidence, leases}
	d.members = members
	d.trust = clusterTrust{Component: evidence, leases: leases}
	d.addComponent(members)
	d.addComponent(storeWatch)
	d.addComponent(evidence)
	d.addComponent(leases)
	d.addObjectAPI()
	d.addMesh(self)
}

func (d *daemon) addObjectAPI() {
	transport := conns.Check(&http.Transport{MaxIdleConnsPerHost: platformConnections, IdleConnTimeout: platformIdleTimeout})
	executor := &objapi.Executor{
		Store: &objapi.Client{Base: d.process.Platform, HTTP: &http.Client{Transport: transport}},
		Post:  d.loop.Post,
		Now:   d.loop.Now,
		Scope: d.metrics(),
	}
	executor.Prepare()
	d.addExecutor(executor)
	d.addActor(executor.Run)
}

func (d *daemon) addMesh(self event.Host) {
	secret, err := os.ReadFile(d.process.PeerSecretFile)
	if err != nil {
		d.addActor(func(context.Context) error { return errors.Wrap(err, "reading the peer secret") })
		return
	}
	mesh := &peer.Mesh{
		Self:   self,
		Secret: bytes.TrimSpace(secret),
		Listen: d.process.Peer,
		Post:   d.loop.Post,
		Scope:  d.metrics(),
		Log:    d.logger(),
	}
	mesh.Prepare()
	d.addExecutor(mesh)
	d.addActor(mesh.Run)
}

func (d *daemon) metrics() tally.Scope {
	if d.scope == nil {
		return tally.NoopScope
	}
	return d.scope
}

func (d *daemon) logger() *zap.Logger {
	if d.log == nil {
		return zap.NewNop()
	}
	return d.log
}
