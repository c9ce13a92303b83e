// Package prefix indexes which replica or KV cache store is assumed to hold which prefix blocks
// of prompts. A prompt is divided into blocks; its leading blocks may be shared with other requests.
package prefix

import (
	"container/list"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/platform"
)

// Hash identifies a prefix block under a salt. The same block has different hashes under
// different salts, so that they share nothing.
type Hash uint64

// Prompt holds the shareable prefix blocks of a prompt, in order, and their sizes in tokens.
type Prompt struct {
	Blocks []Hash
	Tokens []int
}

// HashOf returns the hash of a block ID under a salt.
func HashOf(salt, block string) Hash {
	return Hash(xxh3.HashStringSeed(block, xxh3.HashString(salt)))
}

// NewPrompt returns the shareable blocks of a prompt under a salt: all but the last one, which
// belongs to the request alone.
func NewPrompt(salt string, blocks []platform.Block) Prompt {
	var p Prompt
	for _, block := range blocks[:max(0, len(blocks)-1)] {
		p.Blocks = append(p.Blocks, HashOf(salt, block.ID))
		p.Tokens = append(p.Tokens, block.Tokens)
	}
	return p
}

// Total returns the number of shared tokens.
func (p Prompt) Total() int {
	sum := 0
	for _, n := range p.Tokens {
		sum += n
	}
	return sum
}

// cacheBlockTokens is the size of a block in an engine's KV cache. Engines cache only whole
// cache blocks, so the remainder of a prefix block that does not fill one is not held.
const cacheBlockTokens = 16

// Index records, for each holder (a replica or a KV cache store), the prefix blocks that it is
// assumed to hold. Beyond a holder's capacity, in tokens or in cache blocks, the least recently used blocks are dropped. Index is
// safe for concurrent use; mu is its only lock.
type Index struct {
	mu      sync.RWMutex
	holders map[string]*holder
}

type holder struct {
	blocks map[Hash]*list.Element
	// lru has the least recently used block in front.
	lru *list.List
	// tokens is the sum of the blocks' stored tokens; capacity limits it.
	tokens   int
	capacity int
}

type cachedBlock struct {
	block Hash
	// tokens is the size of the block; stored is how many of its tokens are held.
	tokens int
	stored int
	// ready is when the prefill of the block is expected to be complete. Before that, requests
	// at the same replica can share the block, but other replicas cannot fetch it.
	ready time.Time
	// confirmed is set once a cache event has reported the block.
	confirmed bool
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{holders: map[string]*holder{}} }

// Add records that a holder holds the prompt, or will have prefilled it at ready. capacity is the
// size of the holder's cache in tokens.
func (x *Index) Add(id string, p Prompt, capacity int, ready time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.holder(id)
	h.capacity = capacity
	for i, block := range p.Blocks {
		h.add(block, p.Tokens[i], ready)
	}
}

func (x *Index) holder(id string) *holder {
	h := x.holders[id]
	if h == nil {
		h = &holder{blocks: map[Hash]*list.Element{}, lru: list.New()}
		x.holders[id] = h
	}
	return h
}

func (h *holder) add(block Hash, tokens int, ready time.Time) {
	if e := h.blocks[block]; e != nil {
		v := e.Value.(*cachedBlock)
		h.tokens += tokens - v.stored
		v.tokens, v.stored = tokens, tokens
		if ready.Before(v.ready) {
			v.ready = ready
		}
		h.lru.MoveToBack(e)
	} else {
		h.blocks[block] = h.lru.PushBack(&cachedBlock{block: block, tokens: tokens, stored: tokens, ready: ready})
		h.tokens += tokens
	}
	for h.full() && h.lru.Len() > 1 {
		h.remove(h.lru.Front())
	}
}

// full reports whether there are more blocks than the holder can have. Callers choose the sizes of blocks: very small ones, or
// ones of no tokens, must not take more entries than the holder has cache blocks.
func (h *holder) full() bool {
	return h.tokens > h.capacity || h.lru.Len() > h.capacity/cacheBlockTokens
}

func (h *holder) remove(e *list.Element) {
	v := e.Value.(*cachedBlock)
	h.lru.Remove(e)
	delete(h.blocks, v.block)
	h.tokens -= v.stored
}

// Stored applies a cache event: the holder now holds stored tokens of a block, 0 if it has
// evicted the block. If that is more than the recorded size of the block, the size is raised.
func (x *Index) Stored(id string, block Hash, stored, capacity int, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.holder(id)
	h.capacity = capacity
	e := h.blocks[block]
	if e == nil {
		if stored > 0 {
			h.add(block, stored, now)
			h.blocks[block].Value.(*cachedBlock).confirmed = true
		}
		return
	}
	v := e.Value.(*cachedBlock)
	if stored == 0 {
		h.remove(e)
		return
	}
	h.tokens += stored - v.stored
	v.stored = stored
	v.tokens = max(v.tokens, stored)
	v.confirmed = true
	v.ready = now
}

// RemoveUnconfirmed removes the blocks whose prefill was expected to be complete by before, but
// which no cache event has reported: the prefill failed, or they were evicted immediately.
func (x *Index) RemoveUnconfirmed(id string, before time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.holders[id]
	if h == nil {
		return
	}
	for _, e := range h.blocks {
		v := e.Value.(*cachedBlock)
		if !v.confirmed && v.ready.Before(before) {
			h.remove(e)
		}
	}
}

// RemoveFailed removes the blocks of a prompt whose prefill failed, except those that a cache event
// has reported.
func (x *Index) RemoveFailed(id string, p Prompt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.holders[id]
	if h == nil {
		return
	}
	for _, block := range p.Blocks {
		if e := h.blocks[block]; e != nil && !e.Value.(*cachedBlock).confirmed {
			h.remove(e)
		}
	}
}

// Tokens returns the number of tokens that a holder is assumed to hold.
func (x *Index) Tokens(id string) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if h := x.holders[id]; h != nil {
		return h.tokens
	}
	return 0
}

// Clear removes all records of a holder. It is called when the holder restarted or loaded weights.
func (x *Index) Clear(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.holders, id)
}

// Held returns how many leading tokens of the prompt a holder is assumed to hold or to be
// prefilling, and how many of them are already prefilled. A block only counts if all blocks
// before it are held.
func (x *Index) Held(id string, p Prompt, now time.Time) (tokens, prefilled int) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	h := x.holders[id]
	if h == nil {
		return 0, 0
	}
	allPrefilled := true
	for i, block := range p.Blocks {
		e := h.blocks[block]
		if e == nil {
			break
		}
		v := e.Value.(*cachedBlock)
		stored := min(v.stored, p.Tokens[i])
		tokens += stored
		allPrefilled = allPrefilled && !v.ready.After(now)
		if allPrefilled {
			prefilled = tokens
		}
		if stored < p.Tokens[i]-cacheBlockTokens {
			break
		}
	}
	return tokens, prefilled
}

// ReadyAt returns when a holder is expected to have prefilled the blocks of the prompt that it
// holds or is prefilling, or the zero time if there are none. The time may be in the past.
func (x *Index) ReadyAt(id string, p Prompt) time.Time {
	x.mu.RLock()
	defer x.mu.RUnlock()
	h := x.holders[id]
	latest := time.Time{}
	if h == nil {
		return latest
	}
	for _, block := range p.Blocks {
		e := h.blocks[block]
		if e == nil {
			break
		}
		if ready := e.Value.(*cachedBlock).ready; ready.After(latest) {
			latest = ready
		}
	}
	return latest
}
