package engine

import (
	"container/list"

	"github.com/briarlink/briarlink/internal/prefix"
)

// lru is a prefix cache that evicts the least recently used piece.
type lru struct {
	capacity int
	order    *list.List
	items    map[prefix.Hash]*list.Element
	evicted  func(prefix.Hash)
}

func newLRU(capacity int, evicted func(prefix.Hash)) *lru {
	return &lru{capacity: capacity, order: list.New(), items: map[prefix.Hash]*list.Element{}, evicted: evicted}
}

// match returns the number of leading pieces held and renews them.
func (c *lru) match(chain []prefix.Hash) int {
	for i, h := range chain {
		e := c.items[h]
		if e == nil {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(chain)
}

// add stores a piece and reports whether it is new.
func (c *lru) add(h prefix.Hash) bool {
	if e := c.items[h]; e != nil {
		c.order.MoveToFront(e)
		return false
	}
	c.items[h] = c.order.PushFront(h)
	if c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(prefix.Hash)
		delete(c.items, oldest)
		c.evicted(oldest)
	}
	return true
}
