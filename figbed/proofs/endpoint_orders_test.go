package proofs

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/fleet"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/wire"
)

const (
	fleetDuty    = fleet.DutyPrefix + "a"
	fleetTimeout = 20 * time.Second
)

// startScalingFleet starts three daemons, the given live engines, and four spare engines of zone a, none of which the
// site needs yet.
func startScalingFleet(t *testing.T, engines ...proc.Endpoint) *proc.Cluster {
	t.Helper()
	c := &proc.Cluster{
		Daemons:  3,
		Engines:  engines,
		Platform: []string{"--start-time", "300ms", "--stop-time", "1s"},
		Site: func(s *config.Site) {
			s.Lease = drill.ShortLease()
			z := config.DefaultZone("a")
			z.Model, z.StartTime, z.ScaleDownAfter = proc.Model, 500*time.Millisecond, 3*time.Second
			z.OnDemandFloor = len(engines)
			s.Zones["a"] = z
			r := s.Routes["generate"]
			r.Idempotent = false // a cut stream is not resumed elsewhere
			s.Routes["generate"] = r
		},
	}
	for i := range 4 {
		c.Engines = append(c.Engines, proc.Endpoint{Name: fmt.Sprintf("spare%d", i), Zone: "a", Args: []string{"--spare"}})
	}
	c.Start(t)
	drill.WaitHolder(t, c, fleetDuty, "")
	return c
}

func setFloor(c *proc.Cluster, n int) {
	c.ApplyConfig(func(s *config.Site) {
		z := s.Zones["a"]
		z.OnDemandFloor = n
		s.Zones["a"] = z
	})
}

// countListed returns the number of endpoints in the platform's list that are not leaving.
func countListed(t *testing.T, c *proc.Cluster) int {
	t.Helper()
	resp, err := http.Get(c.PlatformProcess.URL() + wire.PathEndpoints)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var list wire.EndpointList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, e := range list.Endpoints {
		if e.State != wire.Leaving {
			n++
		}
	}
	return n
}

func fleetLedger(t *testing.T, c *proc.Cluster) *fleet.Ledger {
	t.Helper()
	record, _ := drill.DutyRecord(c, fleetDuty)
	l, err := fleet.Decode(record.Ledger)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// checkOrders fails the test when an order was sent under an older epoch than an earlier one, and returns how often
// each OrderID was sent.
func checkOrders(t *testing.T, orders []wire.EndpointOrder) map[string]int {
	t.Helper()
	ids := map[string]int{}
	var epoch uint64
	for _, o := range orders {
		if o.Epoch < epoch {
			t.Errorf("order %s of epoch %d after one of epoch %d", o.OrderID, o.Epoch, epoch)
		}
		epoch = max(epoch, o.Epoch)
		ids[o.OrderID]++
	}
	return ids
}

// waitSettled waits until the platform lists n endpoints and the ledger has no open order.
func waitSettled(t *testing.T, c *proc.Cluster, n int) {
	t.Helper()
	proc.WaitUntil(t, fleetTimeout, fmt.Sprintf("%d endpoints and no open order", n), func() bool {
		return countListed(t, c) == n && len(fleetLedger(t, c).Orders) == 0
	})
}

// The platform carries out an order but its responses are lost, and its list lags. The holder must repeat the same order
// rather than start a second endpoint.
func TestOrdersAnswersLost(t *testing.T) {
	t.Parallel()
	c := startScalingFleet(t)
	c.SetFaults(wire.Faults{LoseAnswers: 3, LosePrefix: "order", ListLagMS: 1500})
	setFloor(c, 1)
	proc.WaitUntil(t, fleetTimeout, "the order is sent four times", func() bool { return len(c.Calls().Orders) >= 4 })
	waitSettled(t, c, 1)
	if ids := checkOrders(t, c.Calls().Orders); len(ids) != 1 {
		t.Errorf("order ids %v, want one", ids)
	}
}

// The holder of the duty is suspended at each step of an order, and resumed after another holder has completed the
// order. It must send nothing under its old epoch, and raising the floor twice must give two orders in all.
func TestOrdersSuspendedHolder(t *testing.T) {
	t.Parallel()
	steps := map[string]struct {
		faults wire.Faults
		at     func(t *testing.T, c *proc.Cluster) bool
		sent   bool // whether an order was sent before the suspension
	}{
		"BeforeIntent": {at: func(*testing.T, *proc.Cluster) bool { return true }},
		"IntentWritten": {
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + fleetDuty},
			at: func(t *testing.T, c *proc.Cluster) bool {
				return len(fleetLedger(t, c).Orders) > 0 && len(c.Calls().Orders) == 0
			},
		},
		"OrderSent": {
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: "order"},
			at:     func(_ *testing.T, c *proc.Cluster) bool { return len(c.Calls().Orders) > 0 },
			sent:   true,
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			c := startScalingFleet(t)
			holder := drill.WaitHolder(t, c, fleetDuty, "")
			record, _ := drill.DutyRecord(c, fleetDuty)
			c.SetFaults(step.faults)
			if name != "BeforeIntent" {
				setFloor(c, 1)
			}
			proc.WaitUntil(t, fleetTimeout, name, func() bool { return step.at(t, c) })
			holder.Signal(syscall.SIGSTOP)
			if sent := len(c.Calls().Orders) > 0; sent != step.sent {
				t.Fatalf("an order was sent before the suspension: %v, want %v", sent, step.sent)
			}
			c.SetFaults(wire.Faults{})
			if name == "BeforeIntent" {
				setFloor(c, 1)
			}
			drill.WaitHolder(t, c, fleetDuty, holder.Name)
			waitSettled(t, c, 1)
			before := len(c.Calls().Orders)
			holder.Signal(syscall.SIGCONT)
			proc.WaitUntil(t, fleetTimeout, "the resumed daemon is ready", holder.Ready)
			setFloor(c, 2)
			waitSettled(t, c, 2)
			orders := c.Calls().Orders
			if ids := checkOrders(t, orders); len(ids) != 2 {
				t.Errorf("order ids %v, want two", ids)
			}
			for _, o := range orders[before:] {
				if o.Epoch <= record.Epoch {
					t.Errorf("the resumed holder sent %s of epoch %d", o.OrderID, o.Epoch)
				}
			}
		})
	}
}

// Two holders in turn are suspended while they place an order, and resumed after the third has completed it. No order
// may be sent twice under different IDs, or under an older epoch than an earlier one.
func TestOrdersTwoResumedHolders(t *testing.T) {
	t.Parallel()
	c := startScalingFleet(t)
	first := drill.WaitHolder(t, c, fleetDuty, "")
	c.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + fleetDuty})
	setFloor(c, 1)
	proc.WaitUntil(t, fleetTimeout, "the first holder's intent", func() bool { return len(fleetLedger(t, c).Orders) > 0 })
	first.Signal(syscall.SIGSTOP)
	c.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: "order"})
	second := drill.WaitHolder(t, c, fleetDuty, first.Name)
	proc.WaitUntil(t, fleetTimeout, "the second holder's order", func() bool { return len(c.Calls().Orders) > 0 })
	second.Signal(syscall.SIGSTOP)
	c.SetFaults(wire.Faults{})
	var third lease.Record
	proc.WaitUntil(t, fleetTimeout, "a third holder", func() bool {
		third, _ = drill.DutyRecord(c, fleetDuty)
		return third.Holder != first.Name && third.Holder != second.Name
	})
	waitSettled(t, c, 1)
	first.Signal(syscall.SIGCONT)
	second.Signal(syscall.SIGCONT)
	for _, h := range []*proc.Host{first, second} {
		proc.WaitUntil(t, fleetTimeout, h.Name+" is ready", h.Ready)
	}
	setFloor(c, 2)
	waitSettled(t, c, 2)
	if ids := checkOrders(t, c.Calls().Orders); len(ids) != 2 {
		t.Errorf("order ids %v, want two", ids)
	}
}

// The floor is lowered while both engines stream long responses. One engine must be stopped without cutting any stream.
func TestOrdersStopCutsNothing(t *testing.T) {
	t.Parallel()
	slow := []string{"--request-rate", "40"}
	c := startScalingFleet(t, proc.Endpoint{Name: "e1", Zone: "a", Args: slow}, proc.Endpoint{Name: "e2", Zone: "a", Args: slow})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			for seed := int64(1000 * i); ; seed++ {
				select {
				case <-stop:
					return
				default:
				}
				a := c.Hosts[i%3].Generate(c.Key("North"), wire.Generate{Prompt: fmt.Sprint("lookup ", seed), MaxTokens: 120, Seed: seed})
				if !a.Complete() {
					t.Errorf("request %d: incomplete answer: status %d, error %v: %.200s", seed, a.Status, a.Err, a.Body)
				}
			}
		})
	}
	setFloor(c, 1)
	stopped := proc.Poll(2*fleetTimeout, func() bool {
		return len(c.Calls().Orders) > 0 && countListed(t, c) == 1 && len(fleetLedger(t, c).Orders) == 0
	})
	close(stop)
	group.Wait()
	if !stopped {
		t.Fatalf("no endpoint was stopped: orders %+v", c.Calls().Orders)
	}
	if o := c.Calls().Orders[0]; o.Action != fleet.ActionStop {
		t.Errorf("the order is %+v, want a stop", o)
	}
}
