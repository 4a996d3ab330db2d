package stats_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/stats"
	"github.com/figshift/figshift/internal/wire"
)

func TestCountsAreServed(t *testing.T) {
	scope, handler, closer := stats.New(func(err error) { t.Error(err) })
	x := &stats.Executor{Scope: scope}
	for range 3 {
		x.Do(event.Count{Name: "Refused", Tags: []event.Field{{Key: "Kind", Value: "QueueFull"}}, N: 2})
	}
	x.Do(event.Count{Name: "Refused", Tags: []event.Field{{Key: "Kind", Value: "NoEndpoint"}}, N: 1})
	x.Do(event.Observe{Name: "QueueTime", Tags: []event.Field{{Key: "Class", Value: "Rollout"}}, Took: 3 * time.Millisecond})
	if x.Do(event.Exit{}) {
		t.Error("Do() handled an Exit effect")
	}
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`figshift_Refused{Kind="QueueFull"} 6`,
		`figshift_Refused{Kind="NoEndpoint"} 1`,
		`figshift_QueueTime_bucket{Class="Rollout",le="0.004"} 1`,
		`figshift_QueueTime_bucket{Class="Rollout",le="0.002"} 0`,
	} {
		if !strings.Contains(response.Body.String(), want) {
			t.Errorf("no %s in:\n%s", want, response.Body.String())
		}
	}
}

func TestGaugesAreServed(t *testing.T) {
	scope, handler, closer := stats.New(func(err error) { t.Error(err) })
	g := &stats.Gauges{
		Scope: scope,
		Status: func(context.Context) (wire.Status, error) {
			return wire.Status{ConfigRevision: 7, EvidenceAgeMS: 40}, nil
		},
		Ready: func() (bool, string) { return true, "" },
	}
	g.Set(context.Background())
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"figshift_Ready 1", "figshift_ConfigRevision 7", "figshift_KeysRevision 0", "figshift_EvidenceAgeMS 40"} {
		if !strings.Contains(response.Body.String(), want) {
			t.Errorf("no %s in:\n%s", want, response.Body.String())
		}
	}
}
