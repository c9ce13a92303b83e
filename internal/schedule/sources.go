package schedule

import (
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/route"
)

const (
	// minFetch is the least number of tokens worth a fetch: it takes a replica
	// longer than reading so few, but they are not read again.
	minFetch = 32
	// fetchSetup is the time a transfer takes beside its bytes.
	fetchSetup = 3500 * time.Microsecond
	// otherZone is how many times as long a transfer takes between zones.
	otherZone = 2
	// maxFetchWait is the longest expected transfer that is still asked for: a
	// replica does not start one that would wait 2 s.
	maxFetchWait = 700 * time.Millisecond
)

// source is a replica that holds some of a prompt.
type source struct {
	*route.Candidate
	held int
}

// caches fills in what each candidate holds and what it would fetch. Few replicas
// hold a prompt, so that only those are looked at for each candidate.
func (s *Scheduler) caches(req *Request, candidates []route.Candidate, prompt func(version int64) prefix.Prompt, now time.Time) {
	var sources []source
	for i := range candidates {
		c := &candidates[i]
		held, read := s.index.Held(c.ID, prompt(c.Weights), now)
		c.Cached, c.Reading = held, held-read
		if read >= minFetch && !s.Off[mechanism.ReplicaFetch] && c.Usable && !c.Doubted && !c.Trial && !c.Loading && c.Silence < silentSource {
			sources = append(sources, source{c, read})
		}
	}
	for i := range candidates {
		c := &candidates[i]
		p := prompt(c.Weights)
		if p.Total()-c.Cached < minFetch {
			continue
		}
		s.tryStore(req, c, p, now)
		for _, from := range sources {
			if from.ID != c.ID && from.Weights == c.Weights {
				s.trySource(req, c, from.Address, from.AvailabilityZone, req.Service.Engine.LinkMbps, from.held, now)
			}
		}
	}
}

// silentSource is the silence from which nothing is fetched from a replica: a
// dead source delays a request by some hundred milliseconds.
const silentSource = 250 * time.Millisecond

func (s *Scheduler) tryStore(req *Request, c *route.Candidate, p prefix.Prompt, now time.Time) {
	if req.Store == nil || !s.StoreUp(req.Store.Address) || s.Off[mechanism.StoreFetch] {
		return
	}
	_, held := s.index.Held(req.Store.Address, p, now)
	s.trySource(req, c, req.Store.Address, req.Store.AvailabilityZone, req.Store.LinkMbps, held, now)
}

// trySource makes a source the candidate's if it brings more, or as much sooner.
func (s *Scheduler) trySource(req *Request, c *route.Candidate, address, zone string, linkMbps float64, held int, now time.Time) {
	tokens := held - c.Cached
	if tokens < minFetch || tokens < c.Fetched {
		return
	}
	transfer := transferTime(req.Service.Engine, linkMbps, tokens, zone != c.AvailabilityZone)
	took := s.links.expected(address, c.ID, transfer, now)
	if took > maxFetchWait || tokens == c.Fetched && took >= c.FetchTime {
		return
	}
	c.Fetched, c.Source, c.FetchTime, c.Transfer = tokens, address, took, transfer
}

// transferTime is how long the tokens' KV cache is on the slower of two links.
func transferTime(e *config.Engine, linkMbps float64, tokens int, zones bool) time.Duration {
	mbps := min(linkMbps, e.LinkMbps)
	if mbps <= 0 {
		return maxFetchWait + 1
	}
	bits := float64(tokens) * float64(e.TokenBytes) * 8
	d := time.Duration(bits / (mbps * 1e6) * float64(time.Second))
	if zones {
		d *= otherZone
	}
	return d + fetchSetup
}

// SetStoreUp records whether a store of kept KV cache answers.
func (s *Scheduler) SetStoreUp(address string, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if up {
		s.storesUp[address] = true
		return
	}
	delete(s.storesUp, address)
}

// StoreUp reports whether a store of kept KV cache answers.
func (s *Scheduler) StoreUp(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storesUp[address]
}
