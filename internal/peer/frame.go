// Package peer connects daemons over TCP by length-prefixed msgpack frames.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/wire"
)

const (
	headerBytes = 4
	// MaxFrameBytes is the greatest length of a frame's body.
	MaxFrameBytes = 16 << 20
	// maxHelloBytes is the greatest length of a frame before the handshake has passed.
	maxHelloBytes = 4 << 10
)

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

// Decode reads one frame of at most limit bytes. An error means that the stream can't be read any further.
// It may be called concurrently on different readers.
func Decode(r io.Reader, limit uint32) (wire.Message, error) {
	var message wire.Message
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return message, errors.Wrap(err, "reading a frame's length")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > limit {
		return message, errors.Errorf("a frame of %d bytes is over the limit of %d", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return message, errors.Wrap(err, "reading a frame")
	}
	return message, errors.Wrap(msgpack.Unmarshal(body, &message), "decoding a frame")
}
