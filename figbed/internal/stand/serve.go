// Package stand runs the HTTP handler of a simulated program as a process: it opens the listener, registers with the
// platform, prints the ready line and stops on a signal.
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

// Server serves one simulated program until SIGINT or SIGTERM. Set the fields before Run.
type Server struct {
	Role     string // in the ready line
	Listen   string // host:port; port 0 selects a free port
	Handler  http.Handler
	Platform string             // base URL of the platform to register with; "" for none
	Announce *plat.Registration // nil for none; an empty Address is replaced by that of the listener
}

// Run opens the listener, serves and registers the endpoint, and then prints the ready line. It returns nil after a
// signal.
func (s *Server) Run() error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: 10 * time.Second}
	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	group.Add(s.announceActor(listener.Addr().String()))
	err = group.Run()
	if errors.As(err, &run.SignalError{}) {
		return nil
	}
	return err
}

// announceActor returns the two functions of an actor of run.Group, which registers the endpoint, prints the ready
// line and then waits.
func (s *Server) announceActor(address string) (func() error, func(error)) {
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

// Register registers an endpoint with the simulated platform. It may be called concurrently.
func Register(platform string, registration plat.Registration) error {
	data, err := json.Marshal(registration)
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

// EndpointFlags holds the flags that all endpoints have in common.
type EndpointFlags struct {
	Name          string
	Zone          string
	Price         string
	Model         string
	Service       string
	ChecksFencing bool
	Spare         bool
	Platform      string
	Address       string
}

// Registration returns the registration of the endpoint with the platform.
func (e *EndpointFlags) Registration(kind wire.EndpointKind, incarnation string) *plat.Registration {
	return &plat.Registration{Spare: e.Spare, Endpoint: wire.Endpoint{
		Name: e.Name, Incarnation: incarnation, Kind: kind, Zone: e.Zone, Address: e.Address,
		Price: wire.Price(e.Price), State: wire.Live, Model: e.Model, Service: e.Service, ChecksFencing: e.ChecksFencing,
	}}
}
