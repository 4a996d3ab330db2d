package engin

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// cachedPrompt is the newest prompt of those that start with the same prefix.
type cachedPrompt struct {
	prefixHash uint64
	words      []string
}

type delayedEvent struct {
	event     wire.CacheEvent
	visibleAt time.Time
}

// promptCache is a least-recently-used cache of prompts, one for each prefix. Its events become visible after eventLag; each
// eventGap-th one is lost.
type promptCache struct {
	capacityTokens int
	eventLag       time.Duration
	eventGap       uint64

	mu         sync.Mutex
	recency    *list.List
	byHash     map[uint64]*list.Element
	usedTokens int
	seq        uint64
	events     []delayedEvent
}

func (c *promptCache) prepare(capacityTokens int, eventLag time.Duration, eventGap uint64) {
	c.capacityTokens, c.eventLag, c.eventGap = capacityTokens, eventLag, eventGap
	c.recency = list.New()
	c.byHash = map[uint64]*list.Element{}
}

// cachedTokens returns how many tokens at the start of the prompt are cached.
func (c *promptCache) cachedTokens(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	el, ok := c.byHash[wire.PromptPrefixHash(prompt)]
	if !ok {
		return 0
	}
	c.recency.MoveToFront(el)
	return commonPrefixLength(el.Value.(cachedPrompt).words, strings.Fields(prompt))
}

// commonPrefixLength returns the number of words that two prompts have in common at their start.
func commonPrefixLength(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// add stores a prompt and replaces an earlier one with the same prefix.
func (c *promptCache) add(prompt string) {
	p := cachedPrompt{prefixHash: wire.PromptPrefixHash(prompt), words: strings.Fields(prompt)}
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.byHash[p.prefixHash]
	if ok {
		c.usedTokens -= len(old.Value.(cachedPrompt).words)
		old.Value = p
		c.recency.MoveToFront(old)
	} else {
		c.byHash[p.prefixHash] = c.recency.PushFront(p)
		c.addEvent(p.prefixHash, true)
	}
	c.usedTokens += len(p.words)
	for c.usedTokens > c.capacityTokens {
		c.evict()
	}
}

func (c *promptCache) evict() {
	el := c.recency.Back()
	p := el.Value.(cachedPrompt)
	c.recency.Remove(el)
	delete(c.byHash, p.prefixHash)
	c.usedTokens -= len(p.words)
	c.addEvent(p.prefixHash, false)
}

// clear evicts all prompts, which a new weight version makes invalid.
func (c *promptCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.recency.Len() > 0 {
		c.evict()
	}
}

func (c *promptCache) addEvent(prefixHash uint64, added bool) {
	c.seq++
	if c.eventGap != 0 && c.seq%c.eventGap == 0 {
		return
	}
	event := wire.CacheEvent{Seq: c.seq, Prefix: prefixHash, Added: added}
	c.events = append(c.events, delayedEvent{event: event, visibleAt: time.Now().Add(c.eventLag)})
}

func (c *promptCache) eventsAfter(after string, now time.Time) wire.CacheEvents {
	seq, _ := strconv.ParseUint(after, 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	var events wire.CacheEvents
	for _, p := range c.events {
		if p.event.Seq > seq && !p.visibleAt.After(now) {
			events.Events = append(events.Events, p.event)
		}
	}
	return events
}
