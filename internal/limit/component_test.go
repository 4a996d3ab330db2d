package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// linesOf returns the log lines of a step as "Event Key=Value ...".
func linesOf(out *event.Batch) []string {
	var lines []string
	for _, effect := range out.Effects {
		line, ok := effect.(event.Log)
		if !ok {
			continue
		}
		text := line.Event
		for _, f := range line.Fields {
			text += fmt.Sprintf(" %s=%s", f.Key, f.Value)
		}
		lines = append(lines, text)
	}
	return lines
}

// An answer to a request that was sent before the limit was named must not lift it.
func TestLiftNeedsLaterRequest(t *testing.T) {
	endpoint := wire.LeaveMark{Endpoint: "e1", Incarnation: "7"}
	component := &limit.Component{}
	var out event.Batch
	step := func(now, sent time.Duration, value string) []string {
		out = event.Batch{}
		component.Step(now, limit.Answered(endpoint, sent, value), &out)
		return linesOf(&out)
	}
	got := [][]string{
		step(3*time.Second, 2*time.Second, "2.5"),
		step(4*time.Second, time.Second, ""),
		step(5*time.Second, 4*time.Second, "2.5"),
		step(6*time.Second, 5500*time.Millisecond, ""),
		step(7*time.Second, 6500*time.Millisecond, "x"),
	}
	want := [][]string{
		{"EndpointLimited Endpoint=e1 PerSecond=2.5 Own=2.5"},
		nil,
		nil,
		{"LimitUse Endpoint=e1 PerSecond=2.5 Own=2.5 ForMS=3000 Requests=0 Items=0 Orders=0 Polls=0", "EndpointLimitLifted Endpoint=e1"},
		{`LimitMalformed Endpoint=e1 Value="x"`},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("log lines (-want +got):\n%s", diff)
	}
}

// The log tells how many requests this host has sent to a limited endpoint, by source.
func TestLimitUseIsLogged(t *testing.T) {
	endpoint := wire.LeaveMark{Endpoint: "e1", Incarnation: "7"}
	component := &limit.Component{}
	var out event.Batch
	component.Step(time.Second, limit.Answered(endpoint, 0, "2"), &out)
	component.Take(2*time.Second, endpoint, limit.Requests, 1)
	component.Take(2*time.Second, endpoint, limit.Items, 2)
	component.Take(3*time.Second, endpoint, limit.Orders, 3)
	component.Take(3*time.Second, wire.LeaveMark{Endpoint: "e1", Incarnation: "8"}, limit.Requests, 9)
	out = event.Batch{}
	component.Step(4*time.Second, event.Tick{}, &out)
	component.Step(5*time.Second, event.Tick{}, &out)
	want := []string{"LimitUse Endpoint=e1 PerSecond=2 Own=2 ForMS=4000 Requests=1 Items=2 Orders=3 Polls=0"}
	if diff := cmp.Diff(want, linesOf(&out)); diff != "" {
		t.Errorf("log lines (-want +got):\n%s", diff)
	}
}
