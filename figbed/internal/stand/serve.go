// Package stand runs a stand-in's handler as a process: its listener, its ready line and its end.
package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/figshift/figshift/figbed/internal/plat"
	"github.com/figshift/figshift/internal/wire"
)

const registerTimeout = 2 * time.Second

// Server serves one stand-in until SIGINT or SIGTERM. Set the fields before Run.
type Server struct {
	Role     string
	Listen   string // host:port; port 0 takes a free one
	Handler  http.Handler
	Platform string             // base URL to register with, "" for none
	Announce *plat.Registration // its Address is set to the listener's when empty
}

// Run prints the ready line once the listener is open and the endpoint is registered, and serves.
// It returns nil after a signal.
func (s *Server) Run() error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: 10 * time.Second}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	group.Add(s.announce(listener.Addr().String()))
	err = group.Run()
	if errors.As(err, &run.SignalError{}) {
		return nil
	}
	return err
}

func (s *Server) announce(address string) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error {
		if err := s.register(address); err != nil {
			return err
		}
		fmt.Fprintf(os.Stdout, "Ready Role=%s Listen=%s\n", s.Role, address)
		<-ctx.Done()
		return nil
	}
	return execute, func(error) { cancel() }
}

func (s *Server) register(address string) error {
	if s.Platform == "" || s.Announce == nil {
		return nil
	}
	announce := *s.Announce
	if announce.Endpoint.Address == "" {
		announce.Endpoint.Address = address
	}
	return Register(s.Platform, announce)
}

// Register announces an endpoint to the platform's stand-in. It may be called concurrently.
func Register(platform string, g plat.Registration) error {
	data, err := json.Marshal(g)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: registerTimeout}
	resp, err := client.Post(platform+plat.PathRegister, "application/json", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "register")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("register: status %d", resp.StatusCode)
	}
	return nil
}

// Endpoint describes the common part of an endpoint's flags.
type Endpoint struct {
	Name     string
	Zone     string
	Price    string
	Model    string
	Service  string
	Checks   bool
	Spare    bool
	Platform string
	Address  string
}

// Registration returns what is announced to the platform.
func (e *Endpoint) Registration(kind wire.EndpointKind, incarnation string) *plat.Registration {
	return &plat.Registration{Spare: e.Spare, Endpoint: wire.Endpoint{
		Name: e.Name, Incarnation: incarnation, Kind: kind, Zone: e.Zone, Address: e.Address,
		Price: wire.Price(e.Price), State: wire.Live, Model: e.Model, Service: e.Service, ChecksFencing: e.Checks,
	}}
}
