// Command figd is the daemon on each entry host.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/loop"
	"github.com/figshift/figshift/internal/reduce"
)

const (
	tickEvery      = 50 * time.Millisecond
	eventQueueSize = 8192
)

type httpHandler = http.Handler

// exitFailure is the exit code of a daemon that ended by an error.
const exitFailure = 1

func main() {
	process := config.Process{}
	d := newDaemon(process)
	if err := d.group.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// newDaemon composes the areas. The order fixes the order in which parts see an event.
func newDaemon(process config.Process) *daemon {
	d := &daemon{process: process, incarnation: newIncarnation(), state: &reduce.State{}, handlers: map[string]httpHandler{}}
	d.loop = &loop.Loop{State: d.state, TickEvery: tickEvery, QueueSize: eventQueueSize}
	d.loop.Prepare()
	d.addOperations()
	d.addAuthority()
	d.addRollouts()
	d.addRequests()
	d.addUsage()
	d.addStatus()
	d.addActor(d.loop.Run)
	return d
}

func newIncarnation() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
