package proc_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/toxic"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/wire"
)

func TestMain(m *testing.M) {
	proc.NewProxy = toxic.New
	proc.Main(m)
}

func TestLinkFaults(t *testing.T) {
	store := proc.StartStandIn(t, "platform", "platform")
	cases := map[string]struct {
		fault     func(l *proc.Link)
		reachable bool
	}{
		"None":               {func(*proc.Link) {}, true},
		"Cut":                {func(l *proc.Link) { l.Cut() }, false},
		"Blackhole":          {func(l *proc.Link) { l.Blackhole() }, false},
		"BlackholeResponses": {func(l *proc.Link) { l.BlackholeResponses() }, false},
		"LimitResponses":     {func(l *proc.Link) { l.LimitResponses(10) }, false},
		"Latency":            {func(l *proc.Link) { l.Latency(20 * time.Millisecond) }, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			l := proc.NewLink(t, "127.0.0.1", store.Listen)
			test.fault(l)
			if diff := cmp.Diff(test.reachable, canReach(l)); diff != "" {
				t.Errorf("reachable with the fault (-want +got):\n%s", diff)
			}
			l.Restore()
			proc.WaitUntil(t, 5*time.Second, "the link works again", func() bool { return canReach(l) })
		})
	}
}

func canReach(l *proc.Link) bool {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + l.Listen + wire.PathCalls)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

func TestClusterWithoutDaemons(t *testing.T) {
	c := &proc.Cluster{
		Engines:  []proc.Endpoint{{Name: "e1", Zone: "a"}},
		Services: []proc.Endpoint{{Name: "s1", Zone: "b"}},
	}
	c.Start(t)
	o, ok := c.Object(keys.ShardOf(keys.Hash(c.Key("North"))))
	if !ok || o.Version == 0 {
		t.Fatalf("no key shard: %+v", o)
	}
	e := c.Endpoints["e1"]
	e.SetFaults(engin.Faults{SwapFails: 1})
	var reply wire.SwapReply
	e.Post(wire.PathSwap, wire.SwapOrder{OrderID: "o1", Fencing: 1, Version: 2}, &reply)
	if diff := cmp.Diff(wire.SwapReply{Accepted: true, Fencing: 1}, reply); diff != "" {
		t.Errorf("swap reply (-want +got):\n%s", diff)
	}
	proc.WaitUntil(t, 5*time.Second, "the swap has failed", func() bool { return e.State().LastOrderState == "Failed" })
	if diff := cmp.Diff(uint64(1), e.State().Version); diff != "" {
		t.Errorf("version after a failed swap (-want +got):\n%s", diff)
	}
}
