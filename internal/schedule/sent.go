package schedule

import (
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/replica"
)

// notifyTokens is the number of tokens to prefill from which other hosts are notified at
// once. Such a prefill occupies a replica for some twenty milliseconds, during which other
// hosts would send it requests that then wait.
const notifyTokens = 1000

// recordSent records that the chosen replica is about to prefill the prompt, so that the
// next request with the same prefix blocks is sent to the same replica, and queues this for
// other hosts.
func (s *Scheduler) recordSent(c *Choice, now time.Time) {
	if len(c.prompt.Blocks) == 0 || c.capacity == 0 {
		return
	}
	s.index.Add(c.ID, c.prompt, c.capacity, now.Add(c.Expected))
	s.beginPrefill(c, now)
	s.reuse.record(c.sharingScope, c.stablePrefix, now)
	sent := &pb.PrefixSent{
		Replica: c.ID, ReadyMs: int32(c.Expected.Milliseconds()), Sharers: c.sharingScope, Prefix: uint64(c.stablePrefix),
		Source: c.Source, FetchMs: int32(c.TransferTime.Milliseconds()), Sink: c.Sink, SaveMs: int32(c.saveTime.Milliseconds()),
	}
	for i, block := range c.prompt.Blocks {
		sent.Parts = append(sent.Parts, uint64(block))
		sent.Tokens = append(sent.Tokens, int32(c.prompt.Tokens[i]))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingSent) < maxPendingSent {
		s.pendingSent = append(s.pendingSent, sent)
	}
}

// PrefillDone records that the chosen replica has finished the prefill of the prompt.
func (s *Scheduler) PrefillDone(c *Choice, now time.Time) {
	if c.capacity > 0 {
		s.index.Add(c.ID, c.prompt, c.capacity, now)
		s.awaited.End(c.ID, c.prompt.Blocks)
	}
}

// Cancel undoes a choice whose request was not sent.
func (s *Scheduler) Cancel(c *Choice, now time.Time) {
	c.Flight.End(replica.Cancelled, now)
	s.PrefillFailed(c)
}

// PrefillFailed removes what the chosen replica was expected to prefill from the index.
func (s *Scheduler) PrefillFailed(c *Choice) {
	s.index.RemoveFailed(c.ID, c.prompt)
	s.awaited.End(c.ID, c.prompt.Blocks)
}

// maxPendingSent limits the number of sent prompts reported in one heartbeat.
const maxPendingSent = 40

// AnnounceHeld adds prefix blocks that a replica was found to hold to the next heartbeat.
func (s *Scheduler) AnnounceHeld(id string, found prefix.Prompt) {
	sent := &pb.PrefixSent{Replica: id}
	for i, block := range found.Blocks {
		sent.Parts = append(sent.Parts, uint64(block))
		sent.Tokens = append(sent.Tokens, int32(found.Tokens[i]))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingSent) < maxPendingSent {
		s.pendingSent = append(s.pendingSent, sent)
	}
}

// TakeSent returns the prompts recorded since the last call, to be reported to other hosts.
func (s *Scheduler) TakeSent() []*pb.PrefixSent {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.pendingSent
	s.pendingSent = nil
	return sent
}

// ApplySent applies sent prompts reported by another host. capacity is the size of the replicas'
// KV cache in tokens.
func (s *Scheduler) ApplySent(sent []*pb.PrefixSent, capacity int, now time.Time) {
	for _, item := range sent {
		var p prefix.Prompt
		for i, block := range item.Parts {
			if i < len(item.Tokens) {
				p.Blocks = append(p.Blocks, prefix.Hash(block))
				p.Tokens = append(p.Tokens, int(item.Tokens[i]))
			}
		}
		ready := now.Add(time.Duration(item.ReadyMs) * time.Millisecond)
		s.index.Add(item.Replica, p, int(float64(capacity)*cacheShare), ready)
		if item.Prefix != 0 {
			s.reuse.record(item.Sharers, prefix.Hash(item.Prefix), now)
		}
		s.links.reserve(item.Source, item.Replica, time.Duration(item.FetchMs)*time.Millisecond, now)
		s.links.reserve(item.Sink, item.Replica, time.Duration(item.SaveMs)*time.Millisecond, now)
	}
}
