package train

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/block"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// blockReadTimeout is the longest time to read a block from the store before it is requested from the holder.
const blockReadTimeout = 700 * time.Millisecond

// lotHead is wire.Lot without the samples, which are written after it as they are stored in the blocks.
type lotHead struct {
	Rollout  string
	Lot      uint64
	Attempt  uint64
	Replaces []uint64 `json:",omitempty"`
	Newest   uint64
	Count    int
	Checksum string
}

// write writes a wire.Lot, whose samples are neither encoded again nor copied. It sets Content-Length, so that the client
// detects an incomplete response.
func (h lotHead) write(w http.ResponseWriter, samples [][]byte) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	parts := append([][]byte{append(data[:len(data)-1], `,"Samples":`...)}, samples...)
	parts = append(parts, []byte("}"))
	length := 0
	for _, p := range parts {
		length += len(p)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	return nil
}

// serveLot hands over a lot. It gets the holder's grant, reads the blocks, and writes the response only if the grant is
// still valid then.
func (c *rolloutCall) serveLot(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	if err := readBody(w, r, &c.body.Lot); err != nil {
		return err
	}
	requestedAt := c.handler.Calls.Now()
	grant, err := c.grant(ctx)
	if err != nil {
		return err
	}
	samples, err := c.samples(ctx, grant)
	if err != nil {
		return err
	}
	if c.handler.Calls.Now()-requestedAt >= time.Duration(grant.ValidMS)*time.Millisecond {
		return kinds.New(kinds.LotNotReady, "the grant of lot %d expired before the hand-over", grant.Lot)
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(handOverTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // later requests may use the same connection
	head := lotHead{
		Rollout: c.name, Lot: grant.Lot, Attempt: grant.Attempt, Replaces: grant.Replaces, Newest: grant.Newest,
		Count: grant.Count, Checksum: grant.Checksum,
	}
	return head.write(w, samples)
}

func (c *rolloutCall) grant(ctx context.Context) (wire.LotGrant, error) {
	var grant wire.LotGrant
	answer, err := c.call(ctx, wire.AskLot)
	if err != nil {
		return grant, err
	}
	err = json.Unmarshal(answer, &grant)
	return grant, err
}

// samples returns the lot's JSON array of samples in pieces, after checking the checksums of the blocks and the lot.
func (c *rolloutCall) samples(ctx context.Context, grant wire.LotGrant) ([][]byte, error) {
	values := make([][]byte, len(grant.Blocks))
	errs := make([]error, len(grant.Blocks))
	var reads sync.WaitGroup
	for i, b := range grant.Blocks {
		reads.Go(func() { values[i], errs[i] = c.block(ctx, b) })
	}
	reads.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	parts := block.ArrayParts(values)
	if block.Checksum(parts...) != grant.Checksum {
		return nil, kinds.New(kinds.Internal, "lot %d does not match its checksum", grant.Lot)
	}
	return parts, nil
}

// block reads a block from the cache or the store, or from the holder if that fails.
func (c *rolloutCall) block(ctx context.Context, b wire.GrantBlock) ([]byte, error) {
	value, err := c.readStored(ctx, b.Name)
	if err != nil {
		call := rolloutCall{handler: c.handler, duty: c.duty, name: c.name, body: wire.RolloutCall{Organisation: c.body.Organisation, Block: b.Name}}
		value, err = call.call(ctx, wire.AskBlock)
	}
	if err != nil {
		return nil, err
	}
	if block.Checksum(value) != b.Checksum {
		return nil, kinds.New(kinds.Internal, "block %s does not match its checksum", b.Name)
	}
	return value, nil
}

func (c *rolloutCall) readStored(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, blockReadTimeout)
	defer cancel()
	return c.handler.Blocks.Read(ctx, name)
}
