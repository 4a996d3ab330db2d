//go:build !skew

package main

import "time"

// timeOfDay reads the host's clock.
func timeOfDay() time.Time { return time.Now() }
