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

// authority answers event.Trust from the two parts that know.
type authority struct {
	*trust.Part
	leases *lease.Part
}

// Holds reports whether this daemon holds a duty at time now, until when its lease is trusted, and its epoch.
func (a authority) Holds(duty string, now time.Duration) (until time.Duration, epoch uint64, ok bool) {
	return a.leases.Holds(duty, now)
}

// addAuthority adds the parts, executors and actors of this area.
func (d *daemon) addAuthority() {
	self := event.Host{
		Name:        d.process.Host,
		Zone:        d.process.Zone,
		Address:     cmp.Or(d.process.PeerAdvertise, d.process.Peer),
		Incarnation: d.incarnation,
	}
	d.keys = &keys.Table{}
	members := &member.Part{Self: self}
	objects := &watch.Part{Self: self, Roster: members, Keys: d.keys}
	evidence := &trust.Part{Self: self.Name, State: objects}
	leases := &lease.Part{Self: self, Roster: members}
	objects.Evidence = evidence
	members.Store = evidence
	members.Contributors = []member.Contributor{objects, evidence, leases}
	d.members = members
	d.trust = authority{Part: evidence, leases: leases}
	d.addPart(members)
	d.addPart(objects)
	d.addPart(evidence)
	d.addPart(leases)
	d.addObjectCalls()
	d.addMesh(self)
}

func (d *daemon) addObjectCalls() {
	transport := &http.Transport{MaxIdleConnsPerHost: platformConnections, IdleConnTimeout: platformIdleTimeout}
	calls := &objapi.Executor{
		Client: &objapi.Client{Base: d.process.Platform, HTTP: &http.Client{Transport: transport}},
		Post:   d.loop.Post,
		Now:    d.loop.Now,
		Scope:  d.metrics(),
	}
	calls.Prepare()
	d.addExecutor(calls)
	d.addActor(calls.Run)
}

func (d *daemon) addMesh(self event.Host) {
	secret, err := os.ReadFile(d.process.PeerSecretFile)
	if err != nil {
		d.addActor(func(context.Context) error { return errors.Wrap(err, "reading the peers' secret") })
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
