// Package objapi is a client of the platform's object API, and an executor that carries out the reducer's calls to it.
package objapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// maxAnswerBytes is the maximum number of bytes of an answer that are read into memory.
const maxAnswerBytes = 64 << 20

// Client calls the object API. Its fields are set before use; its methods may be called concurrently. Errors have one
// of the kinds NotFound, Conflict and StoreUnavailable; after StoreUnavailable a write may or may not have taken
// effect. A write is never repeated once a byte of it was sent.
type Client struct {
	Base string // base URL of the platform, without a trailing slash
	HTTP *http.Client
}

// Get returns the object called name.
func (c *Client) Get(ctx context.Context, name string) (wire.Object, error) {
	var object wire.Object
	err := c.call(ctx, http.MethodGet, wire.PathObject, url.Values{"Name": {name}}, nil, &object)
	return object, err
}

// Put writes an object if its stored version is still put.Version, and returns it as stored.
func (c *Client) Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error) {
	var object wire.Object
	err := c.call(ctx, http.MethodPut, wire.PathObject, url.Values{"Name": {put.Name}}, put, &object)
	return object, err
}

// Delete removes the object called name if its stored version is still version.
func (c *Client) Delete(ctx context.Context, name string, version uint64) error {
	query := url.Values{"Name": {name}, "Version": {formatUint64(version)}}
	return c.call(ctx, http.MethodDelete, wire.PathObject, query, nil, nil)
}

// List returns the objects whose names start with prefix.
func (c *Client) List(ctx context.Context, prefix string) (wire.ObjectList, error) {
	var list wire.ObjectList
	err := c.call(ctx, http.MethodGet, wire.PathObjects, url.Values{"Prefix": {prefix}}, nil, &list)
	return list, err
}

// Watch returns the objects under prefix that changed after a store revision. It waits up to wait for the first change
// and returns an empty list if there is none.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.ObjectList, error) {
	var list wire.ObjectList
	query := url.Values{
		"Prefix": {prefix},
		"After":  {formatUint64(after)},
		"WaitMS": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := c.call(ctx, http.MethodGet, wire.PathWatch, query, nil, &list)
	return list, err
}

// Endpoints returns the platform's endpoint list, which lags behind the endpoints' actual state.
func (c *Client) Endpoints(ctx context.Context) (wire.EndpointList, error) {
	var list wire.EndpointList
	err := c.call(ctx, http.MethodGet, wire.PathEndpoints, nil, nil, &list)
	return list, err
}

func formatUint64(n uint64) string { return strconv.FormatUint(n, 10) }

func (c *Client) call(ctx context.Context, method, path string, query url.Values, in, out any) error {
	request, err := c.request(ctx, method, path, query, in)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return kinds.New(kinds.StoreUnavailable, "%s %s: %v", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return kinds.New(kinds.StoreUnavailable, "%s %s: reading the answer: %v", method, path, err)
	}
	if err := statusError(response.StatusCode, method, path); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return kinds.New(kinds.StoreUnavailable, "%s %s: decoding the answer: %v", method, path, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, query url.Values, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encoding a call to the object API")
		}
		body = bytes.NewReader(data)
	}
	address := c.Base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	return request, errors.Wrap(err, "building a call to the object API")
}

func statusError(status int, method, path string) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return kinds.New(kinds.NotFound, "%s %s", method, path)
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return kinds.New(kinds.Conflict, "%s %s", method, path)
	default:
		return kinds.New(kinds.StoreUnavailable, "%s %s: status %d", method, path, status)
	}
}
