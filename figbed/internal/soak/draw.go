package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind identifies a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	HostKill     FaultKind = "HostKill"     // the host's process is killed and restarted
	HostStop     FaultKind = "HostStop"     // the host's process gets SIGTERM and is restarted
	HostBuild    FaultKind = "HostBuild"    // the host's process gets SIGTERM, and the next one is of another build: buildOld or buildNew, by Amount
	HostFreeze   FaultKind = "HostFreeze"   // the host's process is suspended with SIGSTOP and resumed with SIGCONT
	HostCut      FaultKind = "HostCut"      // no bytes pass between the host and the other hosts or the platform
	HostCutIn    FaultKind = "HostCutIn"    // bytes that the other hosts and the platform send to the host are held back
	HostCutOut   FaultKind = "HostCutOut"   // bytes that the host sends are held back
	HostSlow     FaultKind = "HostSlow"     // the host's connections with the other hosts and the platform are delayed
	HostReset    FaultKind = "HostReset"    // the host's connections with the other hosts and the platform are reset repeatedly
	HostNoStore  FaultKind = "HostNoStore"  // the platform does not respond to the host
	HostCrowd    FaultKind = "HostCrowd"    // clients that don't behave load the host; Amount chooses one of crowdKinds
	HostNoLinks  FaultKind = "HostNoLinks"  // the host reaches no server; Amount chooses one of linkFaults
	ClockJump    FaultKind = "ClockJump"    // the host's wall clock is wrong
	StoreRefuse  FaultKind = "StoreRefuse"  // the platform's object store answers every call with status 503
	StoreSilent  FaultKind = "StoreSilent"  // the store does not respond
	StoreSlow    FaultKind = "StoreSlow"    // the store responds late
	StoreLose    FaultKind = "StoreLose"    // writes take effect but get no response
	StoreLate    FaultKind = "StoreLate"    // writes take effect late and get no response
	StoreForget  FaultKind = "StoreForget"  // the store discards its history of changes
	ServerReset  FaultKind = "ServerReset"  // connections to a server are reset repeatedly
	ServerSilent FaultKind = "ServerSilent" // a server's responses are held back
	ServerSlow   FaultKind = "ServerSlow"   // connections to a server are delayed
	ServerGrey   FaultKind = "ServerGrey"   // a plain server answers some requests with status 500
	ServerDrain  FaultKind = "ServerDrain"  // a server registers itself as draining, and later as ready
	ServerLimit  FaultKind = "ServerLimit"  // a server names a limit of requests
	ServerAnew   FaultKind = "ServerAnew"   // an engine starts again under its name, with another version of its software
	ServerCrash  FaultKind = "ServerCrash"  // a caller sends a request that crashes each plain server that runs it, again and again
	KeyChange    FaultKind = "KeyChange"    // an API key is replaced by a new one
)

// plannedKinds are the kinds during which every time limit holds: planned work of the operator, what servers and callers do
// that harms neither hosts nor connections, and lost links to servers, since others reach them.
var plannedKinds = []FaultKind{HostStop, HostBuild, HostNoLinks, ServerDrain, ServerLimit, ServerAnew, ServerCrash, KeyChange}

// stopKinds are the kinds that stop a host gracefully.
var stopKinds = []FaultKind{HostStop, HostBuild}

// linkFaults are the ways in which a host loses its links to servers.
var linkFaults = []Impairment{{HoldRequests: true, HoldResponses: true}, {Break: true}, {Refuse: true}}

// Fault is one disruption or piece of planned work.
type Fault struct {
	Kind     FaultKind
	Target   int           // number of the host or server, from 1
	Start    time.Duration // relative to the start of the run
	Duration time.Duration
	Amount   int // number of writes or requests, milliseconds, or tenths of a request per second, depending on Kind
}

// String returns the fault as one line of key=value pairs, with times in seconds.
func (f Fault) String() string {
	return fmt.Sprintf("Fault=%s Target=%d At=%.1f For=%.1f Amount=%d", f.Kind, f.Target, f.Start.Seconds(), f.Duration.Seconds(), f.Amount)
}

// faultRange holds the ranges from which the faults of a kind are drawn. The ranges include both ends.
type faultRange struct {
	targetsServer bool // the target is a server, not a host
	minDuration   time.Duration
	maxDuration   time.Duration
	minAmount     int
	maxAmount     int
}

const second = time.Second

// faultRanges holds the ranges of every kind.
var faultRanges = map[FaultKind]faultRange{
	HostKill: {maxDuration: 3 * second}, HostStop: {maxDuration: second}, HostFreeze: {minDuration: second / 2, maxDuration: 8 * second},
	HostCut: {minDuration: second, maxDuration: 8 * second}, HostCutIn: {minDuration: second, maxDuration: 8 * second}, HostCutOut: {minDuration: second, maxDuration: 8 * second},
	HostSlow: {minDuration: second, maxDuration: 6 * second, minAmount: 20, maxAmount: 400}, HostReset: {maxDuration: 3 * second}, HostNoStore: {minDuration: second, maxDuration: 8 * second},
	ClockJump:   {minDuration: 2 * second, maxDuration: 10 * second, minAmount: -20_000, maxAmount: 20_000},
	StoreRefuse: {minDuration: second, maxDuration: 6 * second}, StoreSilent: {minDuration: second, maxDuration: 6 * second},
	StoreSlow: {minDuration: second, maxDuration: 6 * second, minAmount: 50, maxAmount: 1500},
	StoreLose: {minAmount: 1, maxAmount: 6}, StoreLate: {minDuration: second / 2, maxDuration: 5 * second, minAmount: 1, maxAmount: 6}, StoreForget: {},
	ServerReset: {targetsServer: true, maxDuration: 3 * second}, ServerSilent: {targetsServer: true, minDuration: second, maxDuration: 6 * second},
	ServerSlow: {targetsServer: true, minDuration: second, maxDuration: 6 * second, minAmount: 20, maxAmount: 300},
	ServerGrey: {targetsServer: true, minAmount: 2, maxAmount: 20}, ServerDrain: {targetsServer: true, minDuration: 5 * second, maxDuration: 9 * second},
	ServerLimit: {targetsServer: true, minDuration: 5 * second, maxDuration: 9 * second, minAmount: 10, maxAmount: 100},
	HostNoLinks: {minDuration: 2 * second, maxDuration: 9 * second, maxAmount: len(linkFaults) - 1},
	ServerAnew:  {targetsServer: true, maxDuration: 2 * second},
	ServerCrash: {minDuration: 2 * second, maxDuration: 6 * second},
	KeyChange:   {},
}

// Limits of the time between the starts of two faults. As faults last up to 10 s, some of them overlap.
const (
	minGap = 300 * time.Millisecond
	maxGap = 4 * time.Second
)

// plannedOnlyTime is the initial period with planned work but no disruptions. The time limits are guaranteed, and thus
// checked, only while there is no disruption.
const plannedOnlyTime = 10 * time.Second

// DrawFaults returns the faults of a seed that start within span, ordered by their start: first planned work only, then
// faults of all kinds. The same arguments always give the same faults.
func DrawFaults(seed uint64, hosts, servers int, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := make([]FaultKind, 0, len(faultRanges))
	for kind := range faultRanges {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	faults := []Fault{
		{Kind: KeyChange, Start: 300 * time.Millisecond},
		{Kind: ServerDrain, Target: 1 + random.IntN(servers), Start: 500 * time.Millisecond, Duration: 6 * second},
		{Kind: HostStop, Target: 1 + random.IntN(hosts), Start: second},
		{Kind: ServerLimit, Target: plainServerCount + 1 + random.IntN(engineCount), Start: second / 2, Duration: 9 * second, Amount: 5},
		{Kind: ServerCrash, Start: 800 * time.Millisecond, Duration: 9 * second},
		{Kind: HostNoLinks, Target: 1 + random.IntN(hosts), Start: 2 * second, Duration: 8 * second, Amount: random.IntN(len(linkFaults))},
		{Kind: ServerAnew, Target: plainServerCount + 1 + random.IntN(engineCount), Start: 3 * second},
		{Kind: ServerLimit, Target: 1 + random.IntN(plainServerCount), Start: 4500 * time.Millisecond, Duration: 5500 * time.Millisecond, Amount: 50},
	}
	for at := plannedOnlyTime; at < span; at += randomDuration(random, minGap, maxGap) {
		kind := kinds[random.IntN(len(kinds))]
		ranges := faultRanges[kind]
		targets := hosts
		if ranges.targetsServer {
			targets = servers
		}
		faults = append(faults, Fault{
			Kind: kind, Target: 1 + random.IntN(targets), Start: at, Duration: randomDuration(random, ranges.minDuration, ranges.maxDuration),
			Amount: ranges.minAmount + random.IntN(ranges.maxAmount-ranges.minAmount+1),
		})
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}
