package main

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
)

// identity is what is drawn at random at a process's start; a replay uses the recorded one.
type identity struct {
	incarnation string
	seed        uint64 // of the parts' random numbers
}

const incarnationBytes = 8

func newIdentity() identity {
	b := make([]byte, incarnationBytes)
	_, _ = crand.Read(b) // crypto/rand.Read never fails
	return identity{incarnation: hex.EncodeToString(b), seed: rand.Uint64()}
}
