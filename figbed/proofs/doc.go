// Package proofs holds the end-to-end tests: real daemon processes against simulated endpoints, platform and trainers,
// connected through a fault-injecting proxy.
package proofs
