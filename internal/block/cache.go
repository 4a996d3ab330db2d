package block

import (
	"container/list"
	"sync"
)

// Cache holds the most recently used blocks, up to MaxBytes. Its methods may be called concurrently.
type Cache struct {
	MaxBytes int

	mu     sync.Mutex
	bytes  int
	order  list.List // of entry, most recently used first
	byName map[string]*list.Element
}

type entry struct {
	name  string
	value []byte
}

// Add puts a block into the cache and evicts the least recently used others beyond MaxBytes.
func (c *Cache) Add(name string, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]*list.Element{}
	}
	if _, ok := c.byName[name]; ok {
		return
	}
	c.byName[name] = c.order.PushFront(entry{name, value})
	c.bytes += len(value)
	for c.bytes > c.MaxBytes && c.order.Len() > 1 {
		c.remove(c.order.Back())
	}
}

// Get returns a block's value, which the caller must not change.
func (c *Cache) Get(name string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byName[name]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(entry).value, true
}

// Remove removes a block from the cache.
func (c *Cache) Remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.byName[name]; ok {
		c.remove(e)
	}
}

func (c *Cache) remove(e *list.Element) {
	old := c.order.Remove(e).(entry)
	delete(c.byName, old.name)
	c.bytes -= len(old.value)
}
