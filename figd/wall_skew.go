//go:build skew

package main

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// skewVariable names the environment variable that holds the path of a file with a number of milliseconds. Fault
// tests build with the tag skew and write this file to make the host's clock jump.
const skewVariable = "FIGSHIFT_SKEW"

// timeOfDay reads the host's clock and adds the milliseconds in the file; a missing or malformed file adds nothing.
func timeOfDay() time.Time {
	text, err := os.ReadFile(os.Getenv(skewVariable))
	if err != nil {
		return time.Now()
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return time.Now()
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}
