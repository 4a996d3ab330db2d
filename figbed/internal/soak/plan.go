package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	HostKill     Kind = "HostKill"     // the process is killed and started again
	HostStop     Kind = "HostStop"     // it gets SIGTERM and is started again
	HostFreeze   Kind = "HostFreeze"   // it is stopped and goes on
	HostCut      Kind = "HostCut"      // nothing passes between it, the other hosts and the platform
	HostCutIn    Kind = "HostCutIn"    // what the others send to it is held back
	HostCutOut   Kind = "HostCutOut"   // what it sends is held back
	HostSlow     Kind = "HostSlow"     // what the others send to it, and it to the platform, is delayed
	HostReset    Kind = "HostReset"    // its connections with the other hosts and the platform are reset, again and again
	HostNoStore  Kind = "HostNoStore"  // the platform does not answer it
	ClockJump    Kind = "ClockJump"    // its time of day is off
	StoreRefuse  Kind = "StoreRefuse"  // the store answers 503
	StoreSilent  Kind = "StoreSilent"  // the store does not answer
	StoreSlow    Kind = "StoreSlow"    // the store answers late
	StoreLose    Kind = "StoreLose"    // writes take effect without an answer
	StoreLate    Kind = "StoreLate"    // writes take effect late and without an answer
	StoreForget  Kind = "StoreForget"  // the history of changes is gone
	ServerReset  Kind = "ServerReset"  // connections to a server are reset, again and again
	ServerSilent Kind = "ServerSilent" // a server's answers are held back
	ServerSlow   Kind = "ServerSlow"   // a server's answers are delayed
	ServerGrey   Kind = "ServerGrey"   // a plain server answers some requests 500
	ServerDrain  Kind = "ServerDrain"  // a server tells that it leaves, and later that it stays
	KeyChange    Kind = "KeyChange"    // a key is withdrawn and another one given
)

// planned are the kinds that are the operator's work and no disruption.
var planned = []Kind{HostStop, ServerDrain, KeyChange}

// Fault is one disruption or piece of planned work.
type Fault struct {
	Kind   Kind
	Target int // host or server, counted from 1
	At     time.Duration
	For    time.Duration
	Amount int // writes, requests, or milliseconds
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("Fault=%s Target=%d At=%.1f For=%.1f Amount=%d", f.Kind, f.Target, f.At.Seconds(), f.For.Seconds(), f.Amount)
}

// shape bounds what is drawn for a kind.
type shape struct {
	servers  bool // the target is a server
	least    time.Duration
	most     time.Duration
	fewest   int
	greatest int
}

const second = time.Second

// shapes has the ranges for each kind.
var shapes = map[Kind]shape{
	HostKill: {most: 3 * second}, HostStop: {most: second}, HostFreeze: {least: second / 2, most: 8 * second},
	HostCut: {least: second, most: 8 * second}, HostCutIn: {least: second, most: 8 * second}, HostCutOut: {least: second, most: 8 * second},
	HostSlow: {least: second, most: 6 * second, fewest: 20, greatest: 400}, HostReset: {most: 3 * second}, HostNoStore: {least: second, most: 8 * second},
	ClockJump:   {least: 2 * second, most: 10 * second, fewest: -20_000, greatest: 20_000},
	StoreRefuse: {least: second, most: 6 * second}, StoreSilent: {least: second, most: 6 * second},
	StoreSlow: {least: second, most: 6 * second, fewest: 50, greatest: 1500},
	StoreLose: {fewest: 1, greatest: 6}, StoreLate: {least: second / 2, most: 5 * second, fewest: 1, greatest: 6}, StoreForget: {},
	ServerReset: {servers: true, most: 3 * second}, ServerSilent: {servers: true, least: second, most: 6 * second},
	ServerSlow: {servers: true, least: second, most: 6 * second, fewest: 20, greatest: 300},
	ServerGrey: {servers: true, fewest: 2, greatest: 20}, ServerDrain: {servers: true, least: 5 * second, most: 9 * second},
	KeyChange: {},
}

// gap bounds of the time between the beginnings of two faults; with faults of up to 10 s some overlap.
const (
	leastGap = 300 * time.Millisecond
	mostGap  = 4 * time.Second
)

// opening is the time of planned work without a disruption, since the bounds in time hold only then.
const opening = 7 * time.Second

// Draw returns the faults of a seed that begin within span, in order of their times: first the operator's work, then
// disruptions and more of it.
func Draw(seed uint64, hosts, servers int, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := make([]Kind, 0, len(shapes))
	for kind := range shapes {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	faults := []Fault{
		{Kind: KeyChange, At: 300 * time.Millisecond},
		{Kind: ServerDrain, Target: 1 + random.IntN(servers), At: 500 * time.Millisecond, For: 6 * second},
		{Kind: HostStop, Target: 1 + random.IntN(hosts), At: second},
	}
	for at := opening; at < span; at += between(random, leastGap, mostGap) {
		kind := kinds[random.IntN(len(kinds))]
		s := shapes[kind]
		targets := hosts
		if s.servers {
			targets = servers
		}
		faults = append(faults, Fault{
			Kind: kind, Target: 1 + random.IntN(targets), At: at, For: between(random, s.least, s.most),
			Amount: s.fewest + random.IntN(s.greatest-s.fewest+1),
		})
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}
