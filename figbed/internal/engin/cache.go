package engin

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// prefix is the newest prompt of those that share a head.
type prefix struct {
	hash  uint64
	words []string
}

type pending struct {
	event wire.CacheEvent
	shown time.Time
}

// cache holds the heads of prompts in limited memory, the least recently used leaving first.
type cache struct {
	capacity int
	lag      time.Duration
	gap      uint64

	mu     sync.Mutex
	order  *list.List
	byHash map[uint64]*list.Element
	used   int
	seq    uint64
	events []pending
}

func (c *cache) prepare(capacity int, lag time.Duration, gap uint64) {
	c.capacity, c.lag, c.gap = capacity, lag, gap
	c.order = list.New()
	c.byHash = map[uint64]*list.Element{}
}

// cached returns how many tokens from the prompt's start are cached.
func (c *cache) cached(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	el, ok := c.byHash[wire.PromptHead(prompt)]
	if !ok {
		return 0
	}
	c.order.MoveToFront(el)
	return common(el.Value.(prefix).words, strings.Fields(prompt))
}

// common returns the length of the common start of two prompts.
func common(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// add puts the prompt into the cache, in place of an earlier one with its head.
func (c *cache) add(prompt string) {
	p := prefix{hash: wire.PromptHead(prompt), words: strings.Fields(prompt)}
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.byHash[p.hash]
	if ok {
		c.used -= len(old.Value.(prefix).words)
		old.Value = p
		c.order.MoveToFront(old)
	} else {
		c.byHash[p.hash] = c.order.PushFront(p)
		c.tell(p.hash, true)
	}
	c.used += len(p.words)
	for c.used > c.capacity {
		c.evict()
	}
}

func (c *cache) evict() {
	el := c.order.Back()
	p := el.Value.(prefix)
	c.order.Remove(el)
	delete(c.byHash, p.hash)
	c.used -= len(p.words)
	c.tell(p.hash, false)
}

// clear empties the cache, as a new weight version does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.order.Len() > 0 {
		c.evict()
	}
}

func (c *cache) tell(hash uint64, added bool) {
	c.seq++
	if c.gap != 0 && c.seq%c.gap == 0 {
		return
	}
	event := wire.CacheEvent{Seq: c.seq, Prefix: hash, Added: added}
	c.events = append(c.events, pending{event: event, shown: time.Now().Add(c.lag)})
}

func (c *cache) after(after string, now time.Time) wire.CacheEvents {
	seq, _ := strconv.ParseUint(after, 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	var events wire.CacheEvents
	for _, p := range c.events {
		if p.event.Seq > seq && !p.shown.After(now) {
			events.Events = append(events.Events, p.event)
		}
	}
	return events
}
