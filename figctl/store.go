package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/apply"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/objapi"
)

const defaultWait = 15 * time.Second

// change are the flags of the commands that change what the store holds.
type change struct {
	operators
	platform string
	wait     time.Duration
}

func (c *change) declare(f *flag.FlagSet) {
	c.declareStore(f)
	c.operators.declare(f)
}

func (c *change) declareStore(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "base `URL` of the platform")
	f.DurationVar(&c.wait, "wait", defaultWait, "longest time for the whole change")
}

func (c *change) store() (*objapi.Client, error) {
	if c.platform == "" {
		return nil, kinds.New(kinds.BadRequest, "give --platform")
	}
	return &objapi.Client{Base: strings.TrimSuffix(c.platform, "/"), HTTP: newHTTP()}, nil
}

// acknowledged waits for a majority of the hosts and prints who has the change.
func (c *change) acknowledged(ctx context.Context, o output, of apply.Revision, want uint64, what string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	store, err := c.store()
	if err != nil {
		return err
	}
	seen, err := apply.Wait(ctx, store, client.Reports, of, want)
	if err != nil {
		return err
	}
	o.printf("accepted: %s, in force on %s\n", what, seen)
	return nil
}

// ready says what is missing on the command line before anything is changed.
func (c *change) ready() (*objapi.Client, error) {
	if _, err := c.client(); err != nil {
		return nil, err
	}
	return c.store()
}
