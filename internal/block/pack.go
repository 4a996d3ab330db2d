// Package block collects the texts of samples, packs finished lots into immutable objects and reads them back.
package block

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Prefix is the prefix of the objects that hold blocks.
const Prefix = "Blocks/"

// MaxBytes is the maximum size of a block in bytes.
const MaxBytes = 900 << 10

// Block is one block of a lot's samples. Value is the JSON of the samples, joined by commas.
type Block struct {
	Ref   event.BlockRef
	Value []byte
}

// Pack packs samples, in their order, into blocks of about size bytes at most, and returns the blocks and the checksum of
// the samples' JSON array. It fails with kind BodyTooLarge if one sample is larger than MaxBytes. It may be called
// concurrently.
func Pack(lot event.LotRef, samples []wire.Sample, size int) ([]Block, string, error) {
	var blocks []Block
	var value bytes.Buffer
	count := 0
	flush := func() {
		if count > 0 {
			blocks = append(blocks, newBlock(lot, len(blocks), count, bytes.Clone(value.Bytes())))
		}
		value.Reset()
		count = 0
	}
	for i := range samples {
		data, err := json.Marshal(&samples[i])
		if err != nil {
			return nil, "", err
		}
		if len(data) > MaxBytes {
			return nil, "", kinds.New(kinds.BodyTooLarge, "sample %s has %d bytes", samples[i].ID, len(data))
		}
		if value.Len()+len(data)+1 > size {
			flush()
		}
		if count > 0 {
			value.WriteByte(',')
		}
		value.Write(data)
		count++
	}
	flush()
	return blocks, checksumBlocks(blocks), nil
}

func newBlock(lot event.LotRef, index, count int, value []byte) Block {
	return Block{
		Ref: event.BlockRef{
			Name:     ObjectName(lot, index),
			Checksum: Checksum(value), Bytes: len(value), Samples: count,
		},
		Value: value,
	}
}

// ObjectName returns the name of the index-th block of a lot. It may be called concurrently.
func ObjectName(lot event.LotRef, index int) string {
	return fmt.Sprintf("%s%s/%d-%d-%d", Prefix, lot.Rollout, lot.Lot, lot.Attempt, index)
}

func checksumBlocks(blocks []Block) string {
	values := make([][]byte, len(blocks))
	for i, b := range blocks {
		values[i] = b.Value
	}
	return Checksum(ArrayParts(values)...)
}

// ArrayParts returns the JSON array of a lot's samples as a list of pieces, given the values of all blocks of the lot.
// The pieces share the values' memory. It may be called concurrently.
func ArrayParts(values [][]byte) [][]byte {
	parts := [][]byte{[]byte("[")}
	for i, v := range values {
		if i > 0 {
			parts = append(parts, []byte(","))
		}
		parts = append(parts, v)
	}
	return append(parts, []byte("]"))
}

// Checksum returns the xxhash of the concatenated parts, in hex. It may be called concurrently.
func Checksum(parts ...[]byte) string {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.Write(p)
	}
	return hex.EncodeToString(d.Sum(nil))
}
