package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// handOverTimeout is the time within which another host holds a duty after its holder released it.
	handOverTimeout = propagationTimeout
	// takeoverTimeout is the time within which another host holds a duty after its holder failed.
	takeoverTimeout = 15 * time.Second
)

// usageLease reads the lease of the duty Usage from the store.
func usageLease(c *proc.Cluster) lease.Record {
	var record lease.Record
	if o, ok := c.Object(lease.Prefix + event.DutyUsage); ok {
		_ = json.Unmarshal(o.Value, &record)
	}
	return record
}

// usageClaimants returns the hosts whose own status names them as the holder of the duty Usage.
func usageClaimants(hosts []*proc.Host) []string {
	var names []string
	for _, h := range hosts {
		s, _ := h.Status()
		for _, d := range s.Duties {
			if d.Duty == event.DutyUsage && d.Holder == h.Name {
				names = append(names, h.Name)
			}
		}
	}
	return names
}

func waitUsageHolder(t *testing.T, c *proc.Cluster) *proc.Host {
	t.Helper()
	var holder *proc.Host
	proc.WaitUntil(t, takeoverTimeout, "the duty has a holder", func() bool {
		for _, h := range c.Hosts {
			if names := usageClaimants(c.Hosts); len(names) == 1 && names[0] == h.Name {
				holder = h
			}
		}
		return holder != nil
	})
	return holder
}

// The holder of a duty is stopped, killed or suspended. Another host must hold the duty in time, under the next epoch,
// and a resumed former holder must not claim it.
func TestDutyChangesHands(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		signal  syscall.Signal
		timeout time.Duration
	}{
		"stopped gracefully": {signal: syscall.SIGTERM, timeout: handOverTimeout},
		"killed":             {signal: syscall.SIGKILL, timeout: takeoverTimeout},
		"suspended":          {signal: syscall.SIGSTOP, timeout: takeoverTimeout},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := &proc.Cluster{Daemons: 3}
			c.Start(t)
			first := waitUsageHolder(t, c)
			before := usageLease(c)
			first.Signal(test.signal)
			began := time.Now()
			var others []*proc.Host
			for _, h := range c.Hosts {
				if h != first {
					others = append(others, h)
				}
			}
			proc.WaitUntil(t, test.timeout, "another host holds the duty", func() bool { return len(usageClaimants(others)) == 1 })
			t.Logf("another host holds the duty after %v", time.Since(began))
			if diff := cmp.Diff(before.Epoch+1, usageLease(c).Epoch); diff != "" {
				t.Errorf("epoch (-want +got):\n%s", diff)
			}
			if test.signal != syscall.SIGSTOP {
				return
			}
			first.Signal(syscall.SIGCONT)
			for range 100 {
				if names := usageClaimants(c.Hosts); len(names) > 1 {
					t.Fatalf("several hosts claim the duty: %v", names)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// The responses to all writes of leases are lost after the writes took effect. The holder must recognise its own writes
// and keep the duty, and after it is killed another host must take the duty over with one increment of the epoch.
func TestDutyAnswersLost(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3}
	c.Start(t)
	holder := waitUsageHolder(t, c)
	before := usageLease(c)
	c.SetFaults(wire.Faults{LoseAnswers: 1 << 20, LosePrefix: lease.Prefix})
	time.Sleep(2 * propagationTimeout)
	after := usageLease(c)
	got := []any{after.Holder, after.Epoch, after.Renewals > before.Renewals}
	if diff := cmp.Diff([]any{holder.Name, before.Epoch, true}, got); diff != "" {
		t.Errorf("holder, epoch and whether the lease was renewed (-want +got):\n%s", diff)
	}
	holder.Kill()
	var others []*proc.Host
	for _, h := range c.Hosts {
		if h != holder {
			others = append(others, h)
		}
	}
	proc.WaitUntil(t, takeoverTimeout, "another host holds the duty", func() bool { return len(usageClaimants(others)) == 1 })
	if diff := cmp.Diff(before.Epoch+1, usageLease(c).Epoch); diff != "" {
		t.Errorf("epoch after the takeover (-want +got):\n%s", diff)
	}
}

// Two operators withdraw keys of the same shard concurrently while responses are lost. No change may overwrite another.
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 1}
	c.Start(t)
	var hashes []string
	for i := 0; len(hashes) < 8; i++ {
		key := fmt.Sprintf("key-%d", i)
		if hash := keys.Hash(key); keys.ShardOf(hash) == keys.Prefix+"0" {
			c.AddKey("North", key)
			hashes = append(hashes, hash)
		}
	}
	c.SetFaults(wire.Faults{LoseAnswers: 3, LosePrefix: keys.Prefix})
	var group sync.WaitGroup
	for operator := range 2 {
		group.Go(func() {
			for i := operator; i < len(hashes); i += 2 {
				if _, err := keys.Revoke(context.Background(), operatorStore(c), hashes[i]); err != nil {
					t.Errorf("operator %d: %v", operator, err)
				}
			}
		})
	}
	group.Wait()
	var shard keys.Shard
	object, _ := c.Object(keys.Prefix + "0")
	if err := json.Unmarshal(object.Value, &shard); err != nil {
		t.Fatal(err)
	}
	for _, hash := range hashes {
		if diff := cmp.Diff(keys.Withdrawn, shard.Keys[hash].State); diff != "" {
			t.Errorf("state of %s (-want +got):\n%s", hash, diff)
		}
	}
}
