//go:build skew

package main

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// skewVariable names the environment variable with the path of a file that holds milliseconds. Fault tests build with
// the tag skew and write that file to make the host's clock jump.
const skewVariable = "FIGSHIFT_SKEW"

// timeOfDay reads the host's clock and adds what the file holds; a file that is not there holds 0.
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
