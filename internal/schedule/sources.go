package schedule

import (
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/route"
)

const (
	// minFetchTokens is the minimum number of tokens worth a fetch. Fetching so few takes
	// longer than prefilling them, but saves the repeated computation.
	minFetchTokens = 32
	// transferSetup is the fixed part of the duration of a transfer.
	transferSetup = 3500 * time.Microsecond
	// crossZoneFactor is the factor by which transfers between zones take longer.
	crossZoneFactor = 2
	// maxFetchTime is the maximum expected duration of a fetch, including the wait for the
	// links. Replicas do not start a fetch that would wait for 2 s.
	maxFetchTime = 700 * time.Millisecond
)

// source is a replica that holds a prefix of the prompt.
type source struct {
	*route.Candidate
	held int
}

// addCaches fills in what each candidate holds and what it could fetch. Only few replicas
// hold a prefix of the prompt, so only these are compared for each candidate.
func (s *Scheduler) addCaches(req *Request, candidates []route.Candidate, prompt func(version int64) prefix.Prompt, now time.Time) {
	var sources []source
	for i := range candidates {
		c := &candidates[i]
		held, prefilled := s.index.Held(c.ID, prompt(c.Weights), now)
		prefilled = s.prefilled(c.ID, prompt(c.Weights), prefilled, now)
		c.Cached, c.Prefilling = held, held-prefilled
		s.addOwnHold(req, c, prompt(c.Weights), now)
		if prefilled >= minFetchTokens && !s.Off[mechanism.ReplicaFetch] && canBeSource(c) {
			sources = append(sources, source{c, prefilled})
		}
	}
	for i := range candidates {
		c := &candidates[i]
		p := prompt(c.Weights)
		if p.Total()-c.Cached < minFetchTokens {
			continue
		}
		s.considerStore(req, c, p, now)
		for _, from := range sources {
			if from.ID != c.ID && from.Weights == c.Weights {
				s.considerSource(req, c, from.Address, from.AvailabilityZone, req.Service.Engine.LinkMbps, from.held, now)
			}
		}
	}
}

// canBeSource reports whether other replicas may fetch from a replica.
func canBeSource(c *route.Candidate) bool {
	return c.Usable && !c.Suspected && !c.Limited && !c.Trial && !c.Loading && c.UnresponsiveFor < maxSourceSilence
}

// maxSourceSilence is the time without an answer from which a replica is no longer used as a
// source. A dead source delays a request by some hundred milliseconds.
const maxSourceSilence = 250 * time.Millisecond

func (s *Scheduler) considerStore(req *Request, c *route.Candidate, p prefix.Prompt, now time.Time) {
	if req.Store == nil || !s.StoreUp(req.Store.Address) || s.Off[mechanism.StoreFetch] {
		return
	}
	_, held := s.index.Held(req.Store.Address, p, now)
	s.considerSource(req, c, req.Store.Address, req.Store.AvailabilityZone, req.Store.LinkMbps, held, now)
}

// considerSource makes a source the candidate's if it provides more tokens, or as many
// sooner.
func (s *Scheduler) considerSource(req *Request, c *route.Candidate, address, zone string, linkMbps float64, held int, now time.Time) {
	tokens := held - c.Cached
	if tokens < minFetchTokens || tokens < c.Fetched {
		return
	}
	transfer := transferTime(req.Service.Engine, linkMbps, tokens, zone != c.AvailabilityZone)
	fetchTime := s.links.expected(address, c.ID, transfer, now)
	if fetchTime > maxFetchTime || tokens == c.Fetched && fetchTime >= c.FetchTime {
		return
	}
	c.Fetched, c.Source, c.FetchTime, c.TransferTime = tokens, address, fetchTime, transfer
}

// transferTime returns the duration of a transfer of the tokens' KV cache over the slower of
// the two links.
func transferTime(e *config.Engine, linkMbps float64, tokens int, crossZone bool) time.Duration {
	mbps := min(linkMbps, e.LinkMbps)
	if mbps <= 0 {
		return maxFetchTime + 1
	}
	bits := float64(tokens) * float64(e.TokenBytes) * 8
	d := time.Duration(bits / (mbps * 1e6) * float64(time.Second))
	if crossZone {
		d *= crossZoneFactor
	}
	return d + transferSetup
}

// SetStoreUp records whether a KV cache store responds.
func (s *Scheduler) SetStoreUp(address string, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if up {
		s.reachableStores[address] = true
		return
	}
	delete(s.reachableStores, address)
}

// StoreUp reports whether a KV cache store responds.
func (s *Scheduler) StoreUp(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachableStores[address]
}
