package usage

import (
	"bytes"
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Window is an open window: deltas are still added to its figures.
type Window struct {
	Number  uint64
	Figures []wire.UsageFigure // sorted by organisation
}

// Ledger is the persistent state of the Usage duty. Frozen holds the closed windows that the platform has not
// confirmed, oldest first, and Recent the last ones that it has confirmed. Streams holds the highest sequence number
// folded for each daemon incarnation.
type Ledger struct {
	Length  time.Duration // of a window, set when the first holder closes windows; 0 before
	Closed  uint64        // number of the newest closed window, 0 before the first
	Open    []Window      // sorted by number
	Frozen  []wire.UsageReport
	Recent  []wire.UsageReport
	Streams Streams
}

// Encode returns the msgpack encoding of the ledger.
func (l *Ledger) Encode() ([]byte, error) { return encode(l) }

// encode encodes structs as arrays, without field names, which would be half of the bytes. Therefore a field may be
// added to a struct only as its last one, and only once no build runs that refuses more fields (docs/UPGRADE.md).
func encode(value any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(value); err != nil {
		return nil, kinds.New(kinds.Internal, "encoding usage: %v", err)
	}
	return b.Bytes(), nil
}

// Decode returns the ledger that Encode encoded, or an empty one if b is empty.
func Decode(b []byte) (*Ledger, error) {
	l := &Ledger{}
	if len(b) == 0 {
		return l, nil
	}
	if err := decode(b, l); err != nil {
		return nil, kinds.New(kinds.Internal, "decoding the usage ledger: %v", err)
	}
	return l, nil
}

// Stream identifies the deltas of one daemon incarnation, as a hash of the host's name and the incarnation.
type Stream uint64

// StreamOf returns the stream of a daemon incarnation.
func StreamOf(host, incarnation string) Stream {
	return Stream(xxhash.Sum64String(host + "\x00" + incarnation))
}

// streamBytes is the encoded length of a stream: the hash and the sequence number.
const streamBytes = 8 + 4

// Streams maps each stream to the highest sequence number folded.
type Streams map[Stream]uint32

// EncodeMsgpack encodes the streams, sorted, as one byte string, which is a third of the length of a map keyed by
// names.
func (s Streams) EncodeMsgpack(e *msgpack.Encoder) error {
	sorted := make([]Stream, 0, len(s))
	for k := range s {
		sorted = append(sorted, k)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	b := make([]byte, 0, streamBytes*len(sorted))
	for _, k := range sorted {
		b = binary.BigEndian.AppendUint64(b, uint64(k))
		b = binary.BigEndian.AppendUint32(b, s[k])
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack decodes what EncodeMsgpack wrote.
func (s *Streams) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b)%streamBytes != 0 {
		return kinds.New(kinds.Internal, "usage ledger: streams have %d bytes, not a multiple of the record length", len(b))
	}
	*s = make(Streams, len(b)/streamBytes)
	for ; len(b) > 0; b = b[streamBytes:] {
		(*s)[Stream(binary.BigEndian.Uint64(b))] = binary.BigEndian.Uint32(b[8:])
	}
	return nil
}
