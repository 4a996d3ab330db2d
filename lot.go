package figshift

import (
	"context"
	"net/url"

	"github.com/figshift/figshift/internal/wire"
)

// Lot is a complete set of samples, delivered once. Replaces lists voided attempts at the same lot: a trainer that
// received one of them discards it.
type Lot = wire.Lot

// Sample is one sample of a Lot, with its score if it was scored.
type Sample = wire.Sample

// Lots fetches the lots of one rollout in order. Its exported fields are set before the first call; it must not be
// used concurrently.
type Lots struct {
	Client   *Client
	Rollout  string
	Consumer string // identifies the trainer; other consumers are refused until Release
	Cursor   uint64 // last lot that the trainer holds, 0 for none; the trainer must persist it across restarts
	Attempt  uint64 // attempt of that lot, 0 if not known
}

// Next returns the lot after Cursor. Until Keep is called, it returns the same lot again with the same samples,
// unless the lot has become stale; the new attempt then names the earlier ones in Replaces. An *Error of kind
// LotNotReady tells when to ask again.
func (l *Lots) Next(ctx context.Context) (Lot, error) {
	var lot Lot
	request := wire.LotAsk{Consumer: l.Consumer, Cursor: l.Cursor, Attempt: l.Attempt}
	err := l.Client.postJSON(ctx, rolloutPath(l.Rollout, wire.CallLots), request, &lot)
	return lot, err
}

// Keep records that the trainer holds a lot for good. The next call acknowledges it to the service.
func (l *Lots) Keep(lot Lot) {
	l.Cursor, l.Attempt = lot.Lot, lot.Attempt
}

// Publish announces that a version of the rollout's model is in the weight store. Versions must increase with each
// call.
func (l *Lots) Publish(ctx context.Context, version uint64) error {
	var reply wire.Published
	request := wire.Publish{Consumer: l.Consumer, Version: version, Cursor: l.Cursor}
	return l.Client.postJSON(ctx, rolloutPath(l.Rollout, wire.CallVersions), request, &reply)
}

// Release gives up the consumer's hold on the rollout, so that another consumer may fetch its lots.
func (l *Lots) Release(ctx context.Context) error {
	var reply wire.Release
	request := wire.Release{Consumer: l.Consumer, Cursor: l.Cursor}
	return l.Client.postJSON(ctx, rolloutPath(l.Rollout, wire.CallRelease), request, &reply)
}

func rolloutPath(rollout, call string) string {
	return wire.PathRollouts + url.PathEscape(rollout) + "/" + call
}
