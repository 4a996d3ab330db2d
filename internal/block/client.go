package block

import (
	"bytes"
	"context"

	"golang.org/x/time/rate"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/wire"
)

// Objects stores blocks. Its methods may be called concurrently.
type Objects interface {
	// Put creates an object. It succeeds if an object with the same value exists already.
	Put(ctx context.Context, name string, value []byte) error
	// Get returns an object's value; it fails with kind NotFound or StoreUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object; it fails with kind NotFound if there is none.
	Delete(ctx context.Context, name string) error
}

// blockVersion is the version of every block's object, since a block is written only once.
const blockVersion = 1

// Client stores blocks in the platform's object API. Its exported fields are set before the first call.
type Client struct {
	Store *objapi.Client
	Limit *rate.Limiter // calls per second, nil for no limit
}

// Put creates an object. On a conflict it compares the stored value, since an earlier attempt may have stored it.
func (c *Client) Put(ctx context.Context, name string, value []byte) error {
	if err := c.waitForLimit(ctx); err != nil {
		return err
	}
	_, err := c.Store.Put(ctx, wire.ObjectPut{Name: name, Writer: name, Value: value})
	if kinds.KindOf(err) != kinds.Conflict {
		return err
	}
	return c.compareStored(ctx, name, value)
}

func (c *Client) compareStored(ctx context.Context, name string, value []byte) error {
	stored, err := c.Get(ctx, name)
	if err != nil {
		return err
	}
	if !bytes.Equal(stored, value) {
		return kinds.New(kinds.Conflict, "put %s: another value is stored", name)
	}
	return nil
}

// Get returns an object's value.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	if err := c.waitForLimit(ctx); err != nil {
		return nil, err
	}
	o, err := c.Store.Get(ctx, name)
	return o.Value, err
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, name string) error {
	if err := c.waitForLimit(ctx); err != nil {
		return err
	}
	return c.Store.Delete(ctx, name, blockVersion)
}

// waitForLimit returns when Limit allows another call.
func (c *Client) waitForLimit(ctx context.Context) error {
	if c.Limit == nil {
		return nil
	}
	if err := c.Limit.Wait(ctx); err != nil {
		return kinds.New(kinds.StoreUnavailable, "wait for the rate limit: %v", err)
	}
	return nil
}
