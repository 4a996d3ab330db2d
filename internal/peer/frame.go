// Package peer connects daemons over TCP by length-prefixed msgpack frames.
package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/wire"
)

const (
	headerBytes = 4
	// MaxFrameBytes is the greatest length of a frame's body, of a compressed one before and after.
	MaxFrameBytes = 16 << 20
	// maxHelloBytes is the greatest length of a frame before the handshake has passed.
	maxHelloBytes = 4 << 10
	// compressFrom is the least body that is compressed: beats and news stay below it, changed objects do not.
	compressFrom = 1 << 10
	// compressedBit of a frame's length says that its body is compressed.
	compressedBit = 1 << 31
)

// deflaters are kept, since each holds a MB or so; only the few hosts that send large frames have one.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// Encode returns the frame of a message, its length first. It may be called concurrently.
func Encode(message wire.Message) ([]byte, error) {
	var frame bytes.Buffer
	frame.Write(make([]byte, headerBytes))
	encoder := msgpack.NewEncoder(&frame)
	encoder.UseCompactInts(true)
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(&message); err != nil {
		return nil, errors.Wrap(err, "encoding a frame")
	}
	size := frame.Len() - headerBytes
	if size > MaxFrameBytes {
		return nil, errors.Errorf("a frame of %d bytes is over the limit of %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(size))
	return frame.Bytes(), nil
}

// compress returns a frame as it is sent to those that read compressed ones.
func compress(plain []byte) ([]byte, error) {
	body := plain[headerBytes:]
	if len(body) < compressFrom {
		return plain, nil
	}
	var frame bytes.Buffer
	frame.Write(make([]byte, headerBytes))
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&frame)
	if _, err := w.Write(body); err != nil {
		return nil, errors.Wrap(err, "compressing a frame")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a frame")
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(frame.Len()-headerBytes)|compressedBit)
	return frame.Bytes(), nil
}

// Decode reads one frame of at most limit bytes. An error means that the stream can't be read any further.
// It may be called concurrently on different readers.
func Decode(r io.Reader, limit uint32) (wire.Message, error) {
	var message wire.Message
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return message, errors.Wrap(err, "reading a frame's length")
	}
	size := binary.BigEndian.Uint32(header[:])
	compressed := size&compressedBit != 0
	size &^= compressedBit
	if size > limit {
		return message, errors.Errorf("a frame of %d bytes is over the limit of %d", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return message, errors.Wrap(err, "reading a frame")
	}
	if compressed {
		var err error
		if body, err = inflate(body, limit); err != nil {
			return message, err
		}
	}
	return message, errors.Wrap(msgpack.Unmarshal(body, &message), "decoding a frame")
}

// inflate returns a compressed body of at most limit bytes.
func inflate(body []byte, limit uint32) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a frame")
	}
	if len(out) > int(limit) {
		return nil, errors.Errorf("a compressed frame is over the limit of %d", limit)
	}
	return out, nil
}

// keptFrames is the number of frames that a frameCache keeps: those of the changes that are on their way to all peers.
const keptFrames = 4

// frameCache encodes a push once for all the peers that it goes to. Its methods may be called concurrently; its zero value
// is ready.
type frameCache struct {
	mutex  sync.Mutex
	pushes [keptFrames]*wire.Push
	frames [keptFrames][]byte
	next   int
}

// encode returns the frame of a message, which must not be changed, for a peer that reads compressed frames.
func (c *frameCache) encode(message wire.Message) ([]byte, error) {
	if message.Push == nil {
		return encodeCompressed(message)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if i := slices.Index(c.pushes[:], message.Push); i >= 0 {
		return c.frames[i], nil
	}
	frame, err := encodeCompressed(message)
	if err != nil {
		return nil, err
	}
	c.pushes[c.next], c.frames[c.next] = message.Push, frame
	c.next = (c.next + 1) % keptFrames
	return frame, nil
}

func encodeCompressed(message wire.Message) ([]byte, error) {
	plain, err := Encode(message)
	if err != nil {
		return nil, err
	}
	return compress(plain)
}
