// Package soak runs figd on several hosts against the stand-in of the users' platform, while faults that a seed draws are
// caused from outside, and checks from what callers, servers and the platform see that the promises hold.
package soak
