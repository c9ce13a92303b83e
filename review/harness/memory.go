package main

import (
	"context"
	"sync"
	"time"
)

// readRate is the number of prompt tokens that an engine reads in a millisecond.
const readRate = 49.6

// memoryPoll is how often a sequence that waits for memory looks for room.
const memoryPoll = 5 * time.Millisecond

// memory is an engine's memory for running requests. Cached parts yield to these.
type memory struct {
	mu       sync.Mutex
	capacity int
	used     int
	// running holds the sequences in memory, the newest last.
	running []*sequence
}

// sequence is a running request.
type sequence struct {
	memory *memory
	tokens int
	// preempted is set while its tokens are not in memory.
	preempted bool
}

// admit waits until a prompt fits, and reads it.
func (m *memory) admit(ctx context.Context, prompt int) (*sequence, bool) {
	s := &sequence{memory: m, tokens: prompt, preempted: true}
	return s, s.load(ctx)
}

// load waits until the sequence fits into memory, and reads its tokens.
func (s *sequence) load(ctx context.Context) bool {
	for !s.tryLoad() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(memoryPoll):
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(float64(s.tokens) / readRate * float64(time.Millisecond))):
		return true
	}
}

func (s *sequence) tryLoad() bool {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+s.tokens > m.capacity {
		return false
	}
	m.used += s.tokens
	m.running = append(m.running, s)
	s.preempted = false
	return true
}

// next makes room for one more token. It preempts the newest sequences while there is none, and waits while this
// one is preempted.
func (s *sequence) next(ctx context.Context) bool {
	m := s.memory
	m.mu.Lock()
	for !s.preempted && m.used+1 > m.capacity {
		m.preempt(m.running[len(m.running)-1])
	}
	if s.preempted {
		m.mu.Unlock()
		return s.load(ctx) && s.next(ctx)
	}
	m.used++
	s.tokens++
	m.mu.Unlock()
	return true
}

// preempt takes a sequence out of memory. m.mu is held.
func (m *memory) preempt(s *sequence) {
	for i, other := range m.running {
		if other == s {
			m.running = append(m.running[:i], m.running[i+1:]...)
			m.used -= s.tokens
			s.preempted = true
			return
		}
	}
}

// end frees the sequence's memory.
func (s *sequence) end() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.preempt(s)
}
