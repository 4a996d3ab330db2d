//go:build !race

package proc

// RaceEnabled is true when the test and the programs are built with the race detector.
const RaceEnabled = false
