package block

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Objects stores blocks. Its methods may be called concurrently.
type Objects interface {
	// Put creates an object. An equal object that is there already counts as stored.
	Put(ctx context.Context, name string, value []byte) error
	// Get returns an object's value; it fails with kind NotFound or StoreUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object; it fails with kind NotFound when there is none.
	Delete(ctx context.Context, name string) error
}

// Client stores blocks in the platform's object API. Its exported fields are set before the first call.
type Client struct {
	Platform string // base URL
	HTTP     *http.Client
	Limit    *rate.Limiter // calls a second, nil for no limit
}

// Put creates an object. A lost answer is settled by reading the object back.
func (c *Client) Put(ctx context.Context, name string, value []byte) error {
	body, err := json.Marshal(wire.ObjectPut{Name: name, Writer: name, Value: value})
	if err != nil {
		return err
	}
	status, _, err := c.call(ctx, http.MethodPut, name, 0, body)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusConflict:
		return c.compare(ctx, name, value)
	}
	return kinds.New(kinds.StoreUnavailable, "put %s: status %d", name, status)
}

func (c *Client) compare(ctx context.Context, name string, value []byte) error {
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
	o, err := c.read(ctx, name)
	return o.Value, err
}

func (c *Client) read(ctx context.Context, name string) (wire.Object, error) {
	var o wire.Object
	status, data, err := c.call(ctx, http.MethodGet, name, 0, nil)
	if err != nil {
		return o, err
	}
	if status == http.StatusNotFound {
		return o, kinds.New(kinds.NotFound, "%s", name)
	}
	if status != http.StatusOK {
		return o, kinds.New(kinds.StoreUnavailable, "get %s: status %d", name, status)
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return o, kinds.New(kinds.StoreUnavailable, "get %s: %v", name, err)
	}
	return o, nil
}

// Delete removes an object; a block is written once, so that its version is 1.
func (c *Client) Delete(ctx context.Context, name string) error {
	status, _, err := c.call(ctx, http.MethodDelete, name, 1, nil)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return kinds.New(kinds.NotFound, "%s", name)
	}
	return kinds.New(kinds.StoreUnavailable, "delete %s: status %d", name, status)
}

func (c *Client) call(ctx context.Context, method, name string, version uint64, body []byte) (int, []byte, error) {
	if c.Limit != nil {
		if err := c.Limit.Wait(ctx); err != nil {
			return 0, nil, kinds.New(kinds.StoreUnavailable, "%v", err)
		}
	}
	query := url.Values{"Name": {name}}
	if version > 0 {
		query.Set("Version", strconv.FormatUint(version, 10))
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Platform+wire.PathObject+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	answer, err := c.HTTP.Do(r)
	if err != nil {
		return 0, nil, kinds.New(kinds.StoreUnavailable, "%v", err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil, kinds.New(kinds.StoreUnavailable, "%v", err)
	}
	return answer.StatusCode, data, nil
}
