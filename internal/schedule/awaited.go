package schedule

import (
	"time"

	"github.com/briarlink/briarlink/internal/await"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/route"
)

// awaits reports whether requests may wait for what another replica is prefilling.
func (s *Scheduler) awaits() bool {
	return s.AwaitPrefill && !s.Off[mechanism.Holds] && !s.Off[mechanism.ReplicaFetch]
}

// prefilled returns how many of the held tokens other replicas can fetch. Without
// AwaitPrefill it relies on the expected time alone.
func (s *Scheduler) prefilled(id string, p prefix.Prompt, byExpectation int, now time.Time) int {
	if !s.AwaitPrefill || byExpectation == 0 {
		return byExpectation
	}
	return min(byExpectation, s.awaited.Done(id, p, now))
}

// readyAt returns when a replica is expected to have prefilled the blocks of a prompt. With
// AwaitPrefill, blocks that are overdue are expected later.
func (s *Scheduler) readyAt(id string, p prefix.Prompt, now time.Time) time.Time {
	expected := s.index.ReadyAt(id, p)
	if !s.AwaitPrefill {
		return expected
	}
	return s.awaited.ReadyAt(id, p, expected, holdMargin, now)
}

// decideAwaited returns the decision made among the candidates that wait for another replica's
// prefill and then fetch the blocks, if it is better than one without such a wait and the
// first event is expected in time.
func (s *Scheduler) decideAwaited(req *Request, decision route.Decision, r *route.Request, candidates []route.Candidate, prompt func(version int64) prefix.Prompt, now time.Time) route.Decision {
	waiting := s.awaitingCandidates(req, candidates, prompt, now)
	if len(waiting) == 0 {
		return decision
	}
	awaited, err := s.policy.Decide(r, waiting)
	if err != nil || awaited.Score >= decision.Score || awaited.Expected > req.TimeLeft {
		return decision
	}
	return awaited
}

// awaitingCandidates returns the candidates that could fetch what another one is prefilling.
func (s *Scheduler) awaitingCandidates(req *Request, candidates []route.Candidate, prompt func(version int64) prefix.Prompt, now time.Time) []route.Candidate {
	if req.MaxHold <= 0 || req.TimeLeft <= 0 {
		return nil
	}
	var out []route.Candidate
	for i := range candidates {
		from := &candidates[i]
		if from.Prefilling < minHoldTokens || !canBeSource(from) {
			continue
		}
		readyAt := s.readyAt(from.ID, prompt(from.Weights), now)
		for j := range candidates {
			c := &candidates[j]
			if c.ID == from.ID || c.Weights != from.Weights || !mayAwait(c) {
				continue
			}
			if w, ok := s.await(req, *c, from, prompt(c.Weights), readyAt, now); ok {
				out = append(out, w)
			}
		}
	}
	return out
}

// mayAwait reports whether a request may be held for a fetch by the candidate. Requests for
// servers with a request limit are not held, as the permit may be refused afterwards, and those
// whose replica is prefilling the blocks itself are held for that.
func mayAwait(c *route.Candidate) bool {
	return c.Usable && !c.Suspected && !c.Limited && !c.Trial && c.Prefilling < minHoldTokens
}

// await returns the candidate with a fetch of what a source is prefilling. ok is false if the
// wait gains fewer than minHoldTokens tokens or exceeds a limit.
func (s *Scheduler) await(req *Request, c route.Candidate, from *route.Candidate, p prefix.Prompt, readyAt, now time.Time) (route.Candidate, bool) {
	tokens := from.Cached - c.Cached
	if tokens-c.Fetched < minHoldTokens {
		return c, false
	}
	engine := req.Service.Engine
	transfer := transferTime(engine, engine.LinkMbps, tokens, from.AvailabilityZone != c.AvailabilityZone)
	plan, ok := s.awaited.Plan(await.Fetch{
		Source: from.Address, Replica: c.ID, Last: lastBlock(p), ReadyAt: readyAt, Transfer: transfer,
		LinksFree: now.Add(s.links.expected(from.Address, c.ID, 0, now)),
	}, await.Limits{Margin: holdMargin, MaxHold: req.MaxHold, MaxFetch: maxFetchTime}, now)
	c.Fetched, c.Source, c.FetchTime, c.TransferTime = tokens, from.Address, plan.FetchTime, transfer
	c.AwaitTime, c.HeldAhead, c.AwaitsSource = plan.Hold, s.awaited.HeldAhead(c.ID, now), true
	return c, ok
}

func lastBlock(p prefix.Prompt) prefix.Hash {
	if len(p.Blocks) == 0 {
		return 0
	}
	return p.Blocks[len(p.Blocks)-1]
}

// addOwnHold fills in how long a request is held at a replica that is prefilling its blocks, so
// that it is compared with a fetch of them. If it cannot be held, the replica would prefill them
// for it too.
func (s *Scheduler) addOwnHold(req *Request, c *route.Candidate, p prefix.Prompt, now time.Time) {
	if !s.awaits() || c.Prefilling < minHoldTokens {
		return
	}
	hold := s.readyAt(c.ID, p, now).Sub(now) + holdMargin
	switch {
	case hold <= 0:
	case c.Limited || hold > req.MaxHold:
		c.Cached, c.Prefilling = c.Cached-c.Prefilling, 0
	default:
		c.AwaitTime, c.HeldAhead = hold, s.awaited.HeldAhead(c.ID, now)
	}
}

// recordHold records a request that is held, so that others are not planned for the same moment.
func (s *Scheduler) recordHold(req *Request, c *Choice, now time.Time) {
	if !s.awaits() {
		return
	}
	f := await.Fetch{Replica: c.ID}
	if c.AwaitsSource {
		f.Source, f.Last, f.Transfer = c.Source, lastBlock(c.prompt), c.TransferTime
	}
	work := float64(s.policy.PrefillTime(max(0, req.PromptTokens-c.Cached-c.Fetched)))
	s.awaited.Hold(f, time.Duration(max(1, c.Slowdown)*work), c.Hold, now)
}

// beginPrefill records that the chosen replica is about to prefill the blocks that it neither
// holds nor shares.
func (s *Scheduler) beginPrefill(c *Choice, now time.Time) {
	if !s.AwaitPrefill {
		return
	}
	held := c.Cached - c.Prefilling
	for i, tokens := range c.prompt.Tokens {
		if held -= tokens; held < -cacheBlockTokens*(i+1) {
			s.awaited.Begin(c.ID, c.prompt.Blocks[i:], now.Add(c.Expected), now)
			return
		}
	}
}

// cacheBlockTokens is the size of an engine's cache block: each held prefix block may lack fewer
// tokens than that.
const cacheBlockTokens = 16
