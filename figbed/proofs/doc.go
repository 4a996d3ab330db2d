// Package proofs holds the process tests: real daemons and stand-ins behind a fault-injecting proxy.
package proofs
