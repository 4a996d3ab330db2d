package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// maxStatusBytes is the largest status report that is read.
const maxStatusBytes = 64 << 20

// Client reads the status from operators' listeners. Its fields are set before use; it may be used concurrently.
type Client struct {
	Addresses  []string // host:port of each listener
	Credential string
	HTTP       *http.Client
}

// Reports returns the status of every listener that answers, in the order of the addresses.
func (c *Client) Reports(ctx context.Context) []wire.Status {
	answers := make([]chan *wire.Status, len(c.Addresses))
	for i, a := range c.Addresses {
		answers[i] = make(chan *wire.Status, 1)
		go func() {
			status, err := c.Status(ctx, a)
			if err != nil {
				status = nil
			}
			answers[i] <- status
		}()
	}
	var reports []wire.Status
	for _, answer := range answers {
		if status := <-answer; status != nil {
			reports = append(reports, *status)
		}
	}
	return reports
}

// Status returns one listener's report. It fails with kind CredentialInvalid if the listener refuses the credential,
// with BadRequest if the address is invalid, and with NotReady if the listener does not answer with a report.
func (c *Client) Status(ctx context.Context, address string) (*wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathStatus, nil)
	if err != nil {
		return nil, kinds.New(kinds.BadRequest, "%s: %v", address, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, kinds.New(kinds.NotReady, "%s: %v", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusUnauthorized {
		return nil, kinds.New(kinds.CredentialInvalid, "%s refuses the credential", address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, kinds.New(kinds.NotReady, "%s: HTTP status %d", address, response.StatusCode)
	}
	status := &wire.Status{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(status); err != nil {
		return nil, kinds.New(kinds.NotReady, "%s: %v", address, err)
	}
	return status, nil
}
