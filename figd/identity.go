package main

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
)

// identity is drawn at random when a process starts; a replay uses the recorded one.
type identity struct {
	incarnation string
	seed        uint64 // seeds the components' random number generators
}

const incarnationBytes = 8

func newIdentity() identity {
	b := make([]byte, incarnationBytes)
	_, _ = crand.Read(b) // crypto/rand.Read never fails
	return identity{incarnation: hex.EncodeToString(b), seed: rand.Uint64()}
}
