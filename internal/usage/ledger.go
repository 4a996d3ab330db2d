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

// Window is a window that is still open.
type Window struct {
	Number  uint64
	Figures []wire.UsageFigure // sorted by organisation
}

// Ledger is what the duty keeps. Closed is the newest closed window, 0 before the first. Frozen holds the closed
// windows that the platform has not confirmed, oldest first, and Recent the last ones that it has.
// Streams holds the highest sequence number folded of each daemon incarnation.
type Ledger struct {
	Length  time.Duration // of a window, fixed by the first holder; 0 before
	Closed  uint64
	Open    []Window // sorted by number
	Frozen  []wire.UsageReport
	Recent  []wire.UsageReport
	Streams Streams
}

// Encode returns the ledger's msgpack form.
func (l *Ledger) Encode() ([]byte, error) { return encode(l) }

// encode writes structs as arrays without names, which are half of the bytes: a field may be added only as the last
// one of its struct.
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

// Decode returns the ledger that Encode gave, and an empty one for no bytes.
func Decode(b []byte) (*Ledger, error) {
	l := &Ledger{}
	if len(b) == 0 {
		return l, nil
	}
	if err := msgpack.Unmarshal(b, l); err != nil {
		return nil, kinds.New(kinds.Internal, "usage ledger: %v", err)
	}
	return l, nil
}

// Stream identifies one daemon incarnation: the hash of its host and incarnation.
type Stream uint64

// StreamOf returns the stream of a daemon incarnation.
func StreamOf(host, incarnation string) Stream {
	return Stream(xxhash.Sum64String(host + "\x00" + incarnation))
}

// streamBytes is the length of a stream's record: the hash and the sequence number.
const streamBytes = 8 + 4

// Streams maps a stream to the highest sequence number folded.
type Streams map[Stream]uint32

// EncodeMsgpack writes the streams as one byte string, sorted, which is a third of the length of a map of names.
func (s Streams) EncodeMsgpack(e *msgpack.Encoder) error {
	order := make([]Stream, 0, len(s))
	for k := range s {
		order = append(order, k)
	}
	sort.Slice(order, func(i, j int) bool { return order[i] < order[j] })
	b := make([]byte, 0, streamBytes*len(order))
	for _, k := range order {
		b = binary.BigEndian.AppendUint64(b, uint64(k))
		b = binary.BigEndian.AppendUint32(b, s[k])
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (s *Streams) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b)%streamBytes != 0 {
		return kinds.New(kinds.Internal, "usage ledger: %d bytes of streams", len(b))
	}
	*s = make(Streams, len(b)/streamBytes)
	for ; len(b) > 0; b = b[streamBytes:] {
		(*s)[Stream(binary.BigEndian.Uint64(b))] = binary.BigEndian.Uint32(b[8:])
	}
	return nil
}
