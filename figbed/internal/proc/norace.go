//go:build !race

package proc

// RaceEnabled reports whether the test and the programs are built with the race detector.
const RaceEnabled = false
