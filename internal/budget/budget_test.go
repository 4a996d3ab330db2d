package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/kinds"
)

const testLimit = 8 << 20

// testClock is a clock that tests set.
type testClock struct{ now int64 }

func (c *testClock) time() int64 { return c.now }

// client is a claim that is closed when it is ended.
type client struct {
	*Claim
	ended bool
}

func open(b *Budget) *client {
	c := &client{}
	c.Claim = b.Open(func() {
		c.ended = true
		c.Close()
	})
	return c
}

// A crowd that held the whole budget and sent nothing more kept all other clients out.
func TestWhoGivesWay(t *testing.T) {
	const crowd, share = 14, testLimit / 16
	cases := map[string]struct {
		policy  Policy
		awaited bool
		bytes   int64
		age     int64
		want    kinds.Kind
		ended   int
		// unawaited newcomers ask for memory before their clients are awaited.
		unawaited bool
	}{
		"Baseline":          {Newcomer{}, true, share, 10, kinds.MemoryShort, 0, false},
		"HeldLonger":        {Heaviest{}, true, share, 10, "", 1, false},
		"NotYetAwaited":     {Heaviest{}, true, share, 10, "", 1, true},
		"TwoForOne":         {Heaviest{}, true, 2 * share, 10, "", 2, false},
		"CameAtOnce":        {Heaviest{}, true, share, 0, kinds.MemoryShort, 0, false},
		"BeingAnswered":     {Heaviest{}, false, share, 10, kinds.MemoryShort, 0, false},
		"SmallFromReserve":  {Newcomer{}, false, smallBytes, 0, "", 0, false},
		"MoreThanThereIs":   {Heaviest{}, true, testLimit, 10, kinds.BodyTooLarge, 0, false},
		"HeavierThanOthers": {Heaviest{}, true, 12 * share, 0, kinds.MemoryShort, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := &testClock{}
			b := &Budget{Limit: testLimit, Policy: c.policy, Now: clock.time}
			var clients []*client
			for range crowd {
				clients = append(clients, open(b))
				if err := clients[len(clients)-1].Grow(Bodies, share); err != nil {
					t.Fatal(err)
				}
				clients[len(clients)-1].Await(c.awaited)
			}
			clock.now = c.age
			newcomer := open(b)
			if !c.unawaited {
				newcomer.Await(true)
			}
			if diff := cmp.Diff(c.want, kinds.KindOf(newcomer.Grow(Bodies, c.bytes))); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
			ended := 0
			for _, c := range clients {
				if c.ended {
					ended++
				}
			}
			if diff := cmp.Diff(c.ended, ended); diff != "" {
				t.Errorf("ended (-want +got):\n%s", diff)
			}
			if held := b.Held(Bodies); held > testLimit {
				t.Errorf("%d bytes are held, the limit is %d", held, testLimit)
			}
		})
	}
}

// A client that was ended while it waited for memory got it afterwards.
func TestEndedWhileWaiting(t *testing.T) {
	clock := &testClock{}
	b := &Budget{Limit: testLimit, Policy: Heaviest{}, Now: clock.time}
	old := b.Open(func() {})
	old.Await(true)
	if err := old.Grow(Heads, testLimit/2); err != nil {
		t.Fatal(err)
	}
	clock.now = 10
	waiting := b.Open(func() {})
	waiting.Await(true)
	result := make(chan error, 1)
	go func() { result <- waiting.Grow(Bodies, testLimit/2) }()
	for b.Held(Heads) == testLimit/2 && len(result) == 0 && !b.waits() {
		time.Sleep(time.Millisecond)
	}
	clock.now = 20
	b.mu.Lock()
	b.giveUp(waiting)
	b.mu.Unlock()
	if diff := cmp.Diff(kinds.MemoryShort, kinds.KindOf(<-result)); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
	old.Close()
	waiting.Close()
	for p := range purposes {
		if held := b.Held(p); held != 0 {
			t.Errorf("%d bytes of %v are held by nobody", held, p)
		}
	}
}

func (b *Budget) waits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0
}

func TestNoBudget(t *testing.T) {
	var b *Budget
	c := b.Open(func() {})
	c.Await(true)
	if err := c.Grow(Heads, 1<<40); err != nil {
		t.Error(err)
	}
	c.Shrink(Heads, 1)
	c.Reset(Connections)
	c.Close()
}

func ExampleBudget() {
	b := &Budget{Limit: 8 << 20, Policy: Heaviest{}, Now: func() int64 { return 0 }}
	c := b.Open(func() {})
	fmt.Println(c.Grow(Bodies, 1<<20), b.Held(Bodies))
	fmt.Println(c.Grow(Bodies, 8<<20))
	c.Close()
	fmt.Println(b.Held(Bodies))
	// Output:
	// <nil> 1048576
	// BodyTooLarge: the request needs more memory than clients may use
	// 0
}
