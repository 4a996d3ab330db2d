// Package peer connects daemons over TCP. Messages are sent as length-prefixed msgpack frames.
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
	// MaxFrameBytes is the maximum length of a frame's body, of a compressed one both as sent and decompressed.
	MaxFrameBytes = 16 << 20
	// maxHelloBytes is the maximum length of a frame's body until the handshake is complete.
	maxHelloBytes = 4 << 10
	// minCompressedBytes is the minimum length of a body that is compressed: heartbeats and job news are shorter, pushes of
	// many changed objects are longer.
	minCompressedBytes = 1 << 10
	// compressedFlag is the bit of a frame's length that marks a compressed body.
	compressedFlag = 1 << 31
)

// deflatePool reuses compressors, since each takes about 1 MB; only the few hosts that send large frames have any.
var deflatePool = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // unreachable: the level is a valid constant
	}
	return w
}}

// Encode returns the uncompressed frame of a message, with its length prefix. It may be called concurrently.
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
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(size))
	return frame.Bytes(), nil
}

// compress returns the frame to send to a peer that reads compressed frames; a short one is returned unchanged.
func compress(plain []byte) ([]byte, error) {
	body := plain[headerBytes:]
	if len(body) < minCompressedBytes {
		return plain, nil
	}
	var frame bytes.Buffer
	frame.Write(make([]byte, headerBytes))
	w := deflatePool.Get().(*flate.Writer)
	defer deflatePool.Put(w)
	w.Reset(&frame)
	if _, err := w.Write(body); err != nil {
		return nil, errors.Wrap(err, "compressing a frame")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a frame")
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(frame.Len()-headerBytes)|compressedFlag)
	return frame.Bytes(), nil
}

// Decode reads one frame whose body has at most limit bytes, as sent and decompressed. After an error the stream can't
// be read any further. It may be called concurrently on different readers.
func Decode(r io.Reader, limit uint32) (wire.Message, error) {
	var message wire.Message
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return message, errors.Wrap(err, "reading the length of a frame")
	}
	size := binary.BigEndian.Uint32(header[:])
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	if size > limit {
		return message, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, limit)
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

// inflate decompresses a body to at most limit bytes.
func inflate(body []byte, limit uint32) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a frame")
	}
	if len(out) > int(limit) {
		return nil, errors.Errorf("decompressed frame exceeds the limit of %d bytes", limit)
	}
	return out, nil
}

// frameCacheSize is the number of frames in a frameCache: those of the pushes that are currently being sent to all
// peers.
const frameCacheSize = 4

// frameCache lets a push that goes to many peers be encoded only once. Its methods may be called concurrently; its zero
// value is ready to use.
type frameCache struct {
	mutex  sync.Mutex
	pushes [frameCacheSize]*wire.Push
	frames [frameCacheSize][]byte
	next   int
}

// encode returns the frame of a message for a peer that reads compressed frames. The message must not be changed later.
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
	c.next = (c.next + 1) % frameCacheSize
	return frame, nil
}

func encodeCompressed(message wire.Message) ([]byte, error) {
	plain, err := Encode(message)
	if err != nil {
		return nil, err
	}
	return compress(plain)
}
