// Package soak is a randomized fault-injection test. It runs figd on several hosts against a simulated platform, injects
// faults drawn from a seed, and checks figd's guarantees against the history that callers, servers and the platform record.
package soak
