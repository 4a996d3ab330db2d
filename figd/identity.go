package main

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/trace"
)

// identity tells a process from others. All but the build is drawn at random when the process starts; a replay uses the
// recorded one.
type identity struct {
	incarnation string
	seed        uint64 // seeds the components' random number generators
	build       string // "" in recordings of builds that did not tell it
}

const incarnationBytes = 8

func newIdentity() identity {
	b := make([]byte, incarnationBytes)
	_, _ = crand.Read(b) // crypto/rand.Read never fails
	return identity{incarnation: hex.EncodeToString(b), seed: rand.Uint64(), build: currentBuild()}
}

func (id identity) header(process config.Process) trace.Header {
	return trace.Header{Process: process, Incarnation: id.incarnation, Seed: id.seed, Build: id.build}
}

func recordedIdentity(h trace.Header) identity {
	return identity{incarnation: h.Incarnation, seed: h.Seed, build: h.Build}
}
