package figshift

import (
	"context"
	"net/url"

	"github.com/figshift/figshift/internal/wire"
)

// Lot is a whole set of samples, delivered once. Replaces names voided attempts at the same lot:
// a trainer that has received one of them drops it.
type Lot = wire.Lot

// Sample is one labelled sample of a Lot.
type Sample = wire.Sample

// Lots takes the lots of one rollout in their order. Its exported fields are set before the first call;
// it must not be used concurrently.
type Lots struct {
	Client   *Client
	Rollout  string
	Consumer string // who takes the lots; another consumer is refused until Release
	Cursor   uint64 // last lot that the trainer holds, 0 for none; kept by the trainer across its restarts
	Attempt  uint64 // attempt of that lot, 0 when it is not known
}

// Next returns the lot after Cursor. Until Keep is called the same lot is returned again, with the same samples
// unless it has grown stale; then its Replaces names what came before. An *Error of kind LotNotReady says when to
// ask again.
func (l *Lots) Next(ctx context.Context) (Lot, error) {
	var lot Lot
	ask := wire.LotAsk{Consumer: l.Consumer, Cursor: l.Cursor, Attempt: l.Attempt}
	err := l.Client.call(ctx, rolloutPath(l.Rollout, wire.CallLots), ask, &lot)
	return lot, err
}

// Keep notes that the trainer holds a lot for good. The next call tells it to the service.
func (l *Lots) Keep(lot Lot) {
	l.Cursor, l.Attempt = lot.Lot, lot.Attempt
}

// Publish says that a version of the rollout's model is in the weight store. Versions rise by each call.
func (l *Lots) Publish(ctx context.Context, version uint64) error {
	var done wire.Published
	ask := wire.Publish{Consumer: l.Consumer, Version: version, Cursor: l.Cursor}
	return l.Client.call(ctx, rolloutPath(l.Rollout, wire.CallVersions), ask, &done)
}

// Release gives up the consumer's hold, so that another consumer may take the rollout's lots.
func (l *Lots) Release(ctx context.Context) error {
	var done wire.Release
	ask := wire.Release{Consumer: l.Consumer, Cursor: l.Cursor}
	return l.Client.call(ctx, rolloutPath(l.Rollout, wire.CallRelease), ask, &done)
}

func rolloutPath(rollout, call string) string {
	return wire.PathRollouts + url.PathEscape(rollout) + "/" + call
}
