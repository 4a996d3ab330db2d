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

// readTime is the longest time for a block to come from the store before the holder is asked for it.
const readTime = 700 * time.Millisecond

// lotHead is wire.Lot without the samples, which follow as they stand in the blocks.
type lotHead struct {
	Rollout  string
	Lot      uint64
	Attempt  uint64
	Replaces []uint64 `json:",omitempty"`
	Newest   uint64
	Count    int
	Checksum string
}

// write answers with a wire.Lot, whose samples are neither encoded again nor copied. The length is told first, so
// that an answer that is cut is seen not to be whole.
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

// lots hands a lot over: the holder's grant first, then the blocks, and the first byte only while the grant is valid.
func (c *rolloutCall) lots(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	if err := readBody(r, &c.body.Lot); err != nil {
		return err
	}
	asked := c.h.Calls.Now()
	grant, err := c.grant(ctx)
	if err != nil {
		return err
	}
	samples, err := c.samples(ctx, grant)
	if err != nil {
		return err
	}
	if c.h.Calls.Now()-asked >= time.Duration(grant.ValidMS)*time.Millisecond {
		return kinds.New(kinds.LotNotReady, "the grant of lot %d ran out before its hand-over", grant.Lot)
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(handOverTime))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // else it would stay with the connection
	head := lotHead{
		Rollout: c.name, Lot: grant.Lot, Attempt: grant.Attempt, Replaces: grant.Replaces, Newest: grant.Newest,
		Count: grant.Count, Checksum: grant.Checksum,
	}
	return head.write(w, samples)
}

func (c *rolloutCall) grant(ctx context.Context) (wire.LotGrant, error) {
	var grant wire.LotGrant
	answer, err := c.ask(ctx, wire.AskLot)
	if err != nil {
		return grant, err
	}
	err = json.Unmarshal(answer, &grant)
	return grant, err
}

// samples returns the pieces of the lot's JSON array, checked against the checksums of its blocks and its own.
func (c *rolloutCall) samples(ctx context.Context, grant wire.LotGrant) ([][]byte, error) {
	values := make([][]byte, len(grant.Blocks))
	failed := make([]error, len(grant.Blocks))
	var reads sync.WaitGroup
	for i, b := range grant.Blocks {
		reads.Go(func() { values[i], failed[i] = c.block(ctx, b) })
	}
	reads.Wait()
	if err := errors.Join(failed...); err != nil {
		return nil, err
	}
	parts := block.Parts(values)
	if block.Checksum(parts...) != grant.Checksum {
		return nil, kinds.New(kinds.Internal, "lot %d differs from its checksum", grant.Lot)
	}
	return parts, nil
}

// block reads a block here, or from the holder when the store cannot be reached.
func (c *rolloutCall) block(ctx context.Context, b wire.GrantBlock) ([]byte, error) {
	value, err := c.stored(ctx, b.Name)
	if err != nil {
		ask := rolloutCall{h: c.h, duty: c.duty, name: c.name, body: wire.RolloutCall{Organisation: c.body.Organisation, Block: b.Name}}
		value, err = ask.ask(ctx, wire.AskBlock)
	}
	if err != nil {
		return nil, err
	}
	if block.Checksum(value) != b.Checksum {
		return nil, kinds.New(kinds.Internal, "block %s differs from its checksum", b.Name)
	}
	return value, nil
}

func (c *rolloutCall) stored(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	return c.h.Blocks.Read(ctx, name)
}
