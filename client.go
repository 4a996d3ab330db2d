package figshift

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// Client talks to any of the entry hosts. Its fields are set before the first call; then it may be used concurrently.
type Client struct {
	Address string       // base URL, such as http://127.0.0.1:8080
	Key     string       // organisation key; "" for routes open to all
	HTTP    *http.Client // nil takes http.DefaultClient
}

// post sends body as JSON and returns the answer when its status is 200.
// The returned error is an *Error when the service refused.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Address+path, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, readError(resp)
	}
	return resp, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// call sends body and decodes the answer into out.
func (c *Client) call(ctx context.Context, path string, body, out any) error {
	resp, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "decode answer")
}
