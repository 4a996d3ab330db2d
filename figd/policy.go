package main

import (
	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/route"
)

// queueOf returns the baseline queue, or nil for the request area's own.
func queueOf(policy string) admit.Queue[uint64] {
	if policy == config.QueueFifo {
		return &admit.Fifo[uint64]{}
	}
	return nil
}

// pickerOf returns the baseline picker, or nil for the request area's own.
func pickerOf(policy string) route.Picker[*route.Endpoint] {
	if policy == config.PickTurns {
		return &route.Turns[*route.Endpoint]{}
	}
	return nil
}
