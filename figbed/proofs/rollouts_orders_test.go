package proofs

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/weight"
	"github.com/figshift/figshift/internal/wire"
)

const weightsDuty = weight.DutyPrefix + proc.Model

// swapOrdersTo returns the swap orders that an engine received, oldest first.
func swapOrdersTo(t *testing.T, c *proc.Cluster, engine string) []wire.SwapOrder {
	t.Helper()
	var orders []wire.SwapOrder
	for _, r := range c.Endpoints[engine].Received().Requests {
		if r.Path != wire.PathSwap {
			continue
		}
		var o wire.SwapOrder
		if err := json.Unmarshal([]byte(r.Body), &o); err != nil {
			t.Fatal(err)
		}
		orders = append(orders, o)
	}
	return orders
}

// The holder of the duty for the model's weights is suspended after its first or second swap order, longer than its
// lease, and resumed. Engines that ignore fencing numbers must never get its orders after those of its successor. A
// slow weight store delays each order between the read of the engine's state and the sending.
func TestSuspendedHolderOrdersNoEngine(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		orders int    // number sent before the suspension
		reads  string // per second, limit of the weight store
	}{
		"AfterTheFirstOrder":  {1, "1"},
		"AfterTheSecondOrder": {2, "1"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := drill.NewCluster(3, drill.Spec(), "--checks-fencing=false", "--swap-time", "300ms")
			c.Platform = []string{"--weight-reads", test.reads}
			c.Site = func(s *config.Site) { s.Weights.OrderDeadline, s.Weights.WaveShare = time.Minute, 1 }
			for _, name := range []string{"e3", "e4"} {
				c.Engines = append(c.Engines, proc.Endpoint{Name: name, Zone: "a", Args: c.Engines[0].Args})
			}
			c.Start(t)
			c.CreateRollout(drill.Spec())
			drill.TakeLot(t, c, drill.URLs(c), 0)
			formerHolder := drill.WaitHolderExcept(t, c, weightsDuty, nil)
			drill.PublishVersion(t, c, drill.URLs(c), 2)
			proc.WaitUntil(t, drill.TakeoverTimeout, "the orders before the suspension are sent", func() bool { return countSwapOrders(t, c, 1) >= test.orders })
			formerHolder.Signal(syscall.SIGSTOP)
			drill.WaitHolderExcept(t, c, weightsDuty, formerHolder)
			drill.PublishVersion(t, c, drill.OtherURLs(c, formerHolder), 3)
			waitVersion(t, c, 3)
			before := countSwapOrders(t, c, 1)
			formerHolder.Signal(syscall.SIGCONT)
			proc.WaitUntil(t, drill.TakeoverTimeout, "the resumed daemon has ended its orders", func() bool {
				return strings.Count(formerHolder.Output(), "SwapFailed")+countSwapOrders(t, c, 1)-before >= len(c.Engines)-before
			})
			for e := range c.Endpoints {
				checkSwapOrders(t, e, swapOrdersTo(t, c, e))
			}
			waitVersion(t, c, 3)
		})
	}
}

// countSwapOrders returns the number of orders that all engines received under an epoch.
func countSwapOrders(t *testing.T, c *proc.Cluster, epoch uint64) int {
	t.Helper()
	n := 0
	for e := range c.Endpoints {
		for _, o := range swapOrdersTo(t, c, e) {
			if o.Fencing == epoch {
				n++
			}
		}
	}
	return n
}

// waitVersion waits until every engine itself reports a version.
func waitVersion(t *testing.T, c *proc.Cluster, version uint64) {
	t.Helper()
	for e := range c.Endpoints {
		proc.WaitUntil(t, drill.TakeoverTimeout, e+" has the newest version", func() bool { return c.Endpoints[e].State().Version == version })
	}
}

// checkSwapOrders fails the test when an order has a lower fencing number or version than the order before it.
func checkSwapOrders(t *testing.T, engine string, orders []wire.SwapOrder) {
	t.Helper()
	var last wire.SwapOrder
	for _, o := range orders {
		if o.Fencing < last.Fencing || o.Version < last.Version {
			t.Errorf("%s got order %+v after %+v", engine, o, last)
		}
		last = o
	}
}
