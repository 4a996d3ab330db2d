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
	// handOverBound is the time in which a duty that its holder releases has another holder.
	handOverBound = statedBound
	// takeOverBound is the time in which a duty whose holder has failed has another holder.
	takeOverBound = 15 * time.Second
)

// usageRecord reads the lease of the duty Usage in the store.
func usageRecord(c *proc.Cluster) lease.Record {
	var record lease.Record
	if o, ok := c.Object(lease.Prefix + event.DutyUsage); ok {
		_ = json.Unmarshal(o.Value, &record)
	}
	return record
}

// claims returns the hosts that show themselves as the holder of the duty Usage.
func claims(hosts []*proc.Host) []string {
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

func usageHolder(t *testing.T, c *proc.Cluster) *proc.Host {
	t.Helper()
	var holder *proc.Host
	proc.WaitUntil(t, takeOverBound, "the duty has a holder", func() bool {
		for _, h := range c.Hosts {
			if names := claims(c.Hosts); len(names) == 1 && names[0] == h.Name {
				holder = h
			}
		}
		return holder != nil
	})
	return holder
}

func TestDutyChangesHands(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		signal syscall.Signal
		bound  time.Duration
	}{
		"stopped gracefully": {signal: syscall.SIGTERM, bound: handOverBound},
		"killed":             {signal: syscall.SIGKILL, bound: takeOverBound},
		"frozen":             {signal: syscall.SIGSTOP, bound: takeOverBound},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := &proc.Cluster{Daemons: 3}
			c.Start(t)
			first := usageHolder(t, c)
			before := usageRecord(c)
			first.Signal(test.signal)
			began := time.Now()
			var others []*proc.Host
			for _, h := range c.Hosts {
				if h != first {
					others = append(others, h)
				}
			}
			proc.WaitUntil(t, test.bound, "another host holds the duty", func() bool { return len(claims(others)) == 1 })
			t.Logf("another host holds the duty after %v", time.Since(began))
			if diff := cmp.Diff(before.Epoch+1, usageRecord(c).Epoch); diff != "" {
				t.Errorf("epoch (-want +got):\n%s", diff)
			}
			if test.signal != syscall.SIGSTOP {
				return
			}
			first.Signal(syscall.SIGCONT)
			for range 100 {
				if names := claims(c.Hosts); len(names) > 1 {
					t.Fatalf("the duty is claimed by %v", names)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// The answers to all writes of leases are lost after they took effect: the holder finds its own writes and keeps the
// duty, and a successor takes it in one step.
func TestDutyAnswersLost(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3}
	c.Start(t)
	holder := usageHolder(t, c)
	before := usageRecord(c)
	c.SetFaults(wire.Faults{LoseAnswers: 1 << 20, LosePrefix: lease.Prefix})
	time.Sleep(2 * statedBound)
	after := usageRecord(c)
	got := []any{after.Holder, after.Epoch, after.Renewals > before.Renewals}
	if diff := cmp.Diff([]any{holder.Name, before.Epoch, true}, got); diff != "" {
		t.Errorf("holder, epoch and progress (-want +got):\n%s", diff)
	}
	holder.Kill()
	var others []*proc.Host
	for _, h := range c.Hosts {
		if h != holder {
			others = append(others, h)
		}
	}
	proc.WaitUntil(t, takeOverBound, "another host holds the duty", func() bool { return len(claims(others)) == 1 })
	if diff := cmp.Diff(before.Epoch+1, usageRecord(c).Epoch); diff != "" {
		t.Errorf("epoch after the takeover (-want +got):\n%s", diff)
	}
}

// Two operators withdraw keys of one shard at once while answers are lost: no change covers another.
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 1}
	c.Start(t)
	var hashes []string
	for i := 0; len(hashes) < 8; i++ {
		key := fmt.Sprintf("key-%d", i)
		if hash := keys.Hash(key); keys.ShardOf(hash) == keys.Prefix+"0" {
			c.GiveKey("North", key)
			hashes = append(hashes, hash)
		}
	}
	c.SetFaults(wire.Faults{LoseAnswers: 3, LosePrefix: keys.Prefix})
	var group sync.WaitGroup
	for operatorIndex := range 2 {
		group.Go(func() {
			for i := operatorIndex; i < len(hashes); i += 2 {
				if _, err := keys.Withdraw(context.Background(), operator(c), hashes[i]); err != nil {
					t.Errorf("operator %d: %v", operatorIndex, err)
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
