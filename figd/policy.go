package main

import (
	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/route"
)

// baselineQueue returns the queue of a baseline policy, nil to let the request component use its default.
func baselineQueue(policy string) admit.Queue[uint64] {
	if policy == config.QueueFIFO {
		return &admit.FIFO[uint64]{}
	}
	return nil
}

// baselinePicker returns the endpoint picker of a baseline policy, nil to let the request component use its default.
func baselinePicker(policy string) route.Picker[*route.Endpoint] {
	if policy == config.PickRoundRobin {
		return &route.RoundRobin[*route.Endpoint]{}
	}
	return nil
}
