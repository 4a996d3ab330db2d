package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/wire"
)

// endpointPush returns a push of n endpoint entries in the platform's own format.
func endpointPush(n int) wire.Message {
	push := wire.Push{Prefix: "Endpoints/", Revision: 9}
	for i := range n {
		push.Objects = append(push.Objects, wire.Object{
			Name: fmt.Sprintf("Endpoints/i-%08x", i*7919), Revision: uint64(i),
			Value: fmt.Appendf(nil, `{"service":"draft-models","address":"10.1.%d.7:8000","zone":"ne-portland","state":"ready","models":[{"name":"m0","version":%d}],"born":1796352000%03d}`, i, i%7, i),
		})
	}
	return wire.Message{Push: &push}
}

// A hub sends hundreds of hosts the changes of hundreds of endpoints, so large frames must be compressed.
func TestLargeFramesAreCompressed(t *testing.T) {
	cases := map[string]struct {
		message  wire.Message
		minRatio float64 // bytes of the plain frame per byte sent
		maxRatio float64
	}{
		"heartbeat":    {wire.Message{Beat: &wire.Beat{Seq: 1, Ready: true}}, 1, 1},
		"one change":   {endpointPush(1), 1, 1},
		"many changes": {endpointPush(40), 3, 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			plain, err := Encode(c.message)
			if err != nil {
				t.Fatal(err)
			}
			var cache frameCache
			sent, err := cache.encode(c.message)
			if err != nil {
				t.Fatal(err)
			}
			if ratio := float64(len(plain)) / float64(len(sent)); ratio < c.minRatio || ratio > c.maxRatio {
				t.Errorf("%d bytes sent for %d", len(sent), len(plain))
			}
			for _, frame := range [][]byte{plain, sent} {
				got, err := Decode(bytes.NewReader(frame), MaxFrameBytes)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(c.message, got); diff != "" {
					t.Errorf("message (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// A compressed frame that exceeds the limit when decompressed, or is damaged, must be refused.
func TestBadCompressedFrames(t *testing.T) {
	large, err := encodeCompressed(endpointPush(400))
	if err != nil {
		t.Fatal(err)
	}
	damaged := bytes.Clone(large)
	random := rand.New(rand.NewPCG(1, 1))
	for i := headerBytes; i < len(damaged); i++ {
		damaged[i] ^= byte(1 + random.IntN(255))
	}
	short := bytes.Clone(large[:len(large)/2])
	binary.BigEndian.PutUint32(short, uint32(len(short)-headerBytes)|compressedFlag)
	cases := map[string]struct {
		frame []byte
		limit uint32
	}{
		"over the limit": {large, uint32(len(large))},
		"damaged":        {damaged, MaxFrameBytes},
		"cut short":      {short, MaxFrameBytes},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if m, err := Decode(bytes.NewReader(c.frame), c.limit); err == nil {
				t.Errorf("a message was decoded: %+v", m)
			}
		})
	}
}

// A push is encoded once for all peers; another push with the same content must not get its frame.
func TestPushIsEncodedOnce(t *testing.T) {
	var cache frameCache
	first, second := endpointPush(20), endpointPush(20)
	frame := func(m wire.Message) []byte {
		f, err := cache.encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	a := frame(first)
	if &a[0] != &frame(first)[0] {
		t.Error("the push was encoded again")
	}
	if &a[0] == &frame(second)[0] {
		t.Error("another push got the frame of the first")
	}
	for range frameCacheSize {
		frame(endpointPush(20))
	}
	if diff := cmp.Diff(a, frame(first)); diff != "" {
		t.Errorf("the frame after it left the cache (-want +got):\n%s", diff)
	}
}
