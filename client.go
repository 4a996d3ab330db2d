package figshift

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// Client calls any of the entry hosts. Its fields are set before the first call; after that it may be used
// concurrently.
type Client struct {
	Address string       // base URL, such as http://127.0.0.1:8080
	Key     string       // organisation key; "" for routes that need none
	HTTP    *http.Client // nil uses http.DefaultClient
}

// post sends body as JSON and returns the answer if its status is 200. If the service refused, the returned error is
// an *Error.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Address+path, bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readError(resp)
	}
	return resp, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// postJSON sends body as JSON and decodes the answer into out.
func (c *Client) postJSON(ctx context.Context, path string, body, out any) error {
	resp, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "decode answer")
}
