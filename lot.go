package figshift

import (
	"context"
	"net/url"

	"github.com/figshift/figshift/internal/wire"
)

// Lot is a whole set of samples, delivered once.
type Lot = wire.Lot

// Sample is one labelled sample of a Lot.
type Sample = wire.Sample

// NextLot returns the lot after cursor and thereby acknowledges all lots up to cursor; 0 asks for the first.
// The same cursor gives the same lot. An *Error of kind LotNotReady says when to ask again.
func (c *Client) NextLot(ctx context.Context, rollout, consumer string, cursor uint64) (Lot, error) {
	var lot Lot
	err := c.call(ctx, rolloutPath(rollout, wire.CallLots), wire.LotAsk{Consumer: consumer, Cursor: cursor}, &lot)
	return lot, err
}

// Publish says that version of the rollout's model is in the weight store. Versions rise by each call.
func (c *Client) Publish(ctx context.Context, rollout, consumer string, version uint64) error {
	var done wire.Published
	return c.call(ctx, rolloutPath(rollout, wire.CallVersions), wire.Publish{Consumer: consumer, Version: version}, &done)
}

// Release gives up the consumer's hold, so that another consumer may take the rollout's lots.
func (c *Client) Release(ctx context.Context, rollout, consumer string) error {
	var done struct{}
	return c.call(ctx, rolloutPath(rollout, wire.CallRelease), wire.Release{Consumer: consumer}, &done)
}

func rolloutPath(rollout, call string) string {
	return wire.PathRollouts + url.PathEscape(rollout) + "/" + call
}
