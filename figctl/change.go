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

const defaultChangeTimeout = 15 * time.Second

// changeFlags are the flags of the commands that change the store.
type changeFlags struct {
	operatorFlags
	platform string
	wait     time.Duration
}

func (c *changeFlags) declareFlags(f *flag.FlagSet) {
	c.declareStoreFlags(f)
	c.operatorFlags.declareFlags(f)
}

func (c *changeFlags) declareStoreFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "base `URL` of the platform")
	f.DurationVar(&c.wait, "wait", defaultChangeTimeout, "timeout of the whole change")
}

func (c *changeFlags) storeClient() (*objapi.Client, error) {
	if c.platform == "" {
		return nil, kinds.New(kinds.BadRequest, "--platform is required")
	}
	return &objapi.Client{Base: strings.TrimSuffix(c.platform, "/"), HTTP: newHTTPClient()}, nil
}

// awaitMajority waits until a majority of the hosts has acknowledged a revision, and prints how many have it
// in force and which do not.
func (c *changeFlags) awaitMajority(ctx context.Context, o output, revisionOf apply.RevisionFunc, want uint64, subject string) error {
	client, err := c.adminClient()
	if err != nil {
		return err
	}
	store, err := c.storeClient()
	if err != nil {
		return err
	}
	acknowledged, err := apply.WaitForMajority(ctx, store, client.Reports, revisionOf, want)
	if err != nil {
		return err
	}
	o.printf("accepted: %s, in force on %s\n", subject, acknowledged)
	return nil
}

// checkFlags returns a client of the store, or an error when a flag that the change needs is missing. Commands call it
// before they change anything.
func (c *changeFlags) checkFlags() (*objapi.Client, error) {
	if _, err := c.adminClient(); err != nil {
		return nil, err
	}
	return c.storeClient()
}
