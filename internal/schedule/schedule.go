// Package schedule combines the table of backend servers, the prefix index and the routing
// policy: it picks a replica for a request, decides from where the replica should fetch KV
// cache and where it should save it, and updates the prefix index from the results.
package schedule

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/await"
	"github.com/briarlink/briarlink/internal/canary"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/platform"
)

// Request is a request to be scheduled.
type Request struct {
	Service       *config.Service
	Store         *config.CacheStore
	Organisation  *config.Organisation
	Model         string
	Blocks        []platform.Block
	PromptTokens  int
	OutputTokens  int
	LatencyTarget time.Duration
	// Repeatable requests may be run again on another replica.
	Repeatable bool
	// NotSilent requests are sent to no replica that may be silent, not even as a last resort.
	NotSilent bool
	// MaxHold is the maximum time for which the request may be held.
	MaxHold time.Duration
	// TimeLeft is what is left of the request's latency target or, if that is less, of its
	// deadline. The request is not held for another replica's prefill beyond it.
	TimeLeft time.Duration
	// Exclude holds the replicas that have already been tried.
	Exclude map[string]bool
	// Fingerprint identifies the request and its prefix blocks for the quarantine.
	Fingerprint quarantine.Fingerprint
	// AcquirePermit acquires a permit to send the request to a server that limits its requests,
	// and reports whether it did. It may wait for another host's answer.
	AcquirePermit func(id string) bool

	// scope is set by Pick.
	scope scope
}

// Choice is the replica that a request is sent to and the instructions for the replica.
type Choice struct {
	route.Decision
	// Salt and Sink have the same meaning as in platform.ReplicaRequest.
	Salt   string
	Sink   string
	Flight *replica.Flight
	// Shared is the number of tokens in the shared prefix blocks of the prompt.
	Shared int
	// Hold is above 0 if the request should wait and be scheduled again: the replica, or with
	// AwaitsSource the replica's source, is prefilling the same prefix blocks for another request,
	// and a request sent before this is done would prefill them too. The request is not counted
	// as sent then.
	Hold time.Duration

	prompt   prefix.Prompt
	capacity int
	// sharingScope identifies who may share the prompt's cached state, and stablePrefix its
	// shared prefix; both are independent of the weights version.
	sharingScope uint64
	stablePrefix prefix.Hash
	saveTime     time.Duration
}

const (
	// minHoldTokens is the minimum number of shared tokens being prefilled for which a request
	// is held.
	minHoldTokens = 512
	// holdMargin is added to a hold because prefills mostly finish a little later than
	// expected.
	holdMargin = 25 * time.Millisecond
	// anyWeights is used instead of a weights version where hashes must not depend on it:
	// which prefixes are requested again does not change with the weights.
	anyWeights = 0
	// cacheShare is the share of a replica's KV cache that is assumed to hold prefix blocks of
	// ended requests.
	cacheShare = 0.9
)

// Scheduler picks replicas. It is safe for concurrent use.
type Scheduler struct {
	replicas   *replica.Table
	index      *prefix.Index
	policy     route.Policy
	zone       string
	shareCache bool
	links      links
	// awaited holds the planned fetches of what replicas are prefilling.
	awaited    await.Table
	reuse      *reuseTracker
	rejections *rejectionQueue
	// NotifyPeers requests that other hosts be notified at once.
	NotifyPeers func()
	// Canaries decides which software versions of a service a request may be sent to. It is set
	// before use.
	Canaries *canary.Table
	// Off holds the mechanisms that are disabled. It is set before use.
	Off mechanism.Off
	// Config returns the configuration in force, nil without one. It is set before use.
	Config func() *config.Config
	// AwaitPrefill makes a replica a source of the prefix blocks that it is prefilling: requests
	// may be held until they are ready and be sent to a replica that fetches them. It is set
	// before use.
	AwaitPrefill bool

	mu          sync.Mutex
	pendingSent []*pb.PrefixSent
	// reachableStores holds the addresses of the KV cache stores that respond.
	reachableStores map[string]bool
}

// New returns a scheduler for a host in an availability zone. If shareCache is set,
// organisations that are not isolated share cached prompts.
func New(replicas *replica.Table, index *prefix.Index, policy route.Policy, zone string, shareCache bool) *Scheduler {
	return &Scheduler{
		replicas: replicas, index: index, policy: policy, zone: zone, shareCache: shareCache,
		links: links{busyUntil: map[string]time.Time{}}, reuse: newReuseTracker(), rejections: newRejectionQueue(), NotifyPeers: func() {}, Config: func() *config.Config { return nil },
		reachableStores: map[string]bool{}, Canaries: canary.NewTable(canary.Terms{}, logrus.StandardLogger()),
	}
}

// Pick chooses a replica and counts the request as sent to it, unless it is to be held.
func (s *Scheduler) Pick(req *Request, now time.Time) (*Choice, error) {
	capacity := 0
	if req.Service.Engine != nil {
		capacity = req.Service.Engine.CacheTokens
	}
	req.scope = s.scopeOf(req.Organisation)
	for {
		filter := s.Canaries.Choose(req.Service.Name, now)
		prompts := map[int64]prefix.Prompt{}
		decision, err := s.decideByVersion(req, &filter, capacity, prompts, now)
		if err != nil {
			return nil, s.spaceRetries(req.Service.Name, err, now)
		}
		c, full := s.commit(req, decision, prompts, capacity, now)
		if filter.Target && (c == nil || c.Hold > 0) {
			s.Canaries.Withdraw(req.Service.Name)
		}
		if c == nil {
			// A brittle replica that is full now may have room again while the request waits.
			if !full {
				req.Exclude[decision.ID] = true
			}
			continue
		}
		if c.Hold == 0 {
			s.Canaries.CountRequest(req.Service.Name)
		}
		return c, nil
	}
}

// decideByVersion picks among the replicas with the software versions that the request may
// be sent to. If it is meant for the target version of a canary release but no replica with
// that version can accept it, it is sent to the other versions.
func (s *Scheduler) decideByVersion(req *Request, filter *canary.ServerFilter, capacity int, prompts map[int64]prefix.Prompt, now time.Time) (route.Decision, error) {
	if !filter.Target {
		return s.decideFromCandidates(req, filter, capacity, prompts, now)
	}
	all := s.replicas.Snapshot(req.Service.Name, req.Model, capacity, now)
	decision, err := s.decide(req, allowed(all, filter), prompts, now)
	if err != nil {
		*filter = s.Canaries.Withdraw(req.Service.Name)
		return s.decideFromCandidates(req, filter, capacity, prompts, now)
	}
	return decision, nil
}

func allowed(replicas []route.Replica, filter *canary.ServerFilter) []route.Replica {
	return canary.Servers(filter, replicas, func(r route.Replica) (id, version string) { return r.ID, r.Software })
}

// busyTargets is the expected queue time, in multiples of the latency target, above which the
// replicas of a first selection count as busy. Another decision is then made among a random
// selection of the same size, and the better of the two is used.
const busyTargets = 0.25

// decideFromCandidates picks among the replicas to which requests with the same prefix
// blocks are sent. With many replicas these are only some of them: if they are busy, others
// are considered too, and if none is usable, all are.
func (s *Scheduler) decideFromCandidates(req *Request, filter *canary.ServerFilter, capacity int, prompts map[int64]prefix.Prompt, now time.Time) (route.Decision, error) {
	key := StoreKey(req.Blocks)
	if len(req.Blocks) == 0 {
		key = rand.Uint64()
	}
	some, all := s.replicas.Candidates(req.Service.Name, req.Model, key, capacity, now)
	decision, err := s.decide(req, allowed(some, filter), prompts, now)
	switch {
	case all:
		return decision, err
	case err != nil:
		return s.decide(req, allowed(s.replicas.Snapshot(req.Service.Name, req.Model, capacity, now), filter), prompts, now)
	case float64(decision.QueueTime) <= busyTargets*float64(req.LatencyTarget):
		return decision, nil
	}
	others, _ := s.replicas.Candidates(req.Service.Name, req.Model, rand.Uint64(), capacity, now)
	other, err := s.decide(req, allowed(others, filter), prompts, now)
	if err == nil && other.Score < decision.Score {
		return other, nil
	}
	return decision, nil
}

// decide picks among the given replicas.
func (s *Scheduler) decide(req *Request, replicas []route.Replica, prompts map[int64]prefix.Prompt, now time.Time) (route.Decision, error) {
	candidates := make([]route.Candidate, len(replicas))
	for i, r := range replicas {
		candidates[i].Replica = r
	}
	prompt := func(version int64) prefix.Prompt { return s.prompt(prompts, req, version) }
	caches := req.Service.Engine != nil && req.Service.Engine.CacheTokens > 0
	if caches {
		s.addCaches(req, candidates, prompt, now)
	}
	r := &route.Request{
		AvailabilityZone: s.zone,
		PromptTokens:     req.PromptTokens,
		OutputTokens:     req.OutputTokens,
		SharedTokens:     s.prompt(prompts, req, anyWeights).Total(),
		LatencyTarget:    req.LatencyTarget,
		Repeatable:       req.Repeatable,
		NotSilent:        req.NotSilent,
		Exclude:          req.Exclude,
		Affinity:         LeadingBlockKey(req.Blocks),
	}
	decision, err := s.policy.Decide(r, candidates)
	if err != nil || !caches || !s.awaits() {
		return decision, err
	}
	return s.decideAwaited(req, decision, r, candidates, prompt, now), nil
}

// prompt returns the shared prefix blocks, hashed with the salt of a weights version.
func (s *Scheduler) prompt(prompts map[int64]prefix.Prompt, req *Request, version int64) prefix.Prompt {
	p, ok := prompts[version]
	if !ok {
		p = prefix.NewPrompt(req.scope.salt(req.Model, version), req.Blocks)
		prompts[version] = p
	}
	return p
}

// LeadingBlockKey returns a key that is equal for requests with the same first prefix block.
func LeadingBlockKey(blocks []platform.Block) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	return uint64(prefix.HashOf("", blocks[0].ID))
}

// StoreKey returns the key by which the KV cache store for a prompt is chosen. Many prompts
// begin with one of a few texts, such as the instructions of a route. With the leading block
// as key, the load of the stores was as uneven as the use of these texts: of three stores in
// a fleet of 60 replicas, one received 73 % of the requested shared tokens and another 3 %.
// The second shared block identifies the document or the conversation. Whatever follows it
// stays in the same store, and each store keeps the leading blocks that its prompts need.
func StoreKey(blocks []platform.Block) uint64 {
	const document = 1
	if len(blocks) <= document+1 {
		return LeadingBlockKey(blocks)
	}
	return uint64(prefix.HashOf("", blocks[document].ID))
}

// commit turns a decision into a choice that is counted as sent, or into one with Hold set.
// It returns nil if the replica accepts no more requests, or, with full set, if it is brittle and has no room.
func (s *Scheduler) commit(req *Request, d route.Decision, prompts map[int64]prefix.Prompt, capacity int, now time.Time) (c *Choice, full bool) {
	p := s.prompt(prompts, req, d.Weights)
	c = &Choice{Decision: d, Shared: p.Total(), prompt: p, capacity: int(float64(capacity) * cacheShare)}
	if d.AwaitsSource {
		c.Hold = d.AwaitTime
		s.recordHold(req, c, now)
		return c, false
	}
	if hold := s.holdTime(c, now); !s.Off[mechanism.Holds] && !d.Limited && hold > 0 && hold <= req.MaxHold {
		c.Hold = hold
		s.recordHold(req, c, now)
		return c, false
	}
	// Checked before anything is reserved for the request, and again as it is recorded.
	if !s.replicas.HasRoom(d.ID, now) {
		return nil, true
	}
	if d.Limited {
		if !req.AcquirePermit(d.ID) {
			return nil, false
		}
		s.rejections.recordPermit(req.Service.Name, now)
	}
	prefill := 0
	if capacity > 0 {
		prefill = max(0, req.PromptTokens-d.Cached-d.Fetched)
		s.instruct(req, c, s.prompt(prompts, req, anyWeights).Blocks, prefill, now)
	}
	work := replica.Work{
		Prefill: prefill, Memory: req.PromptTokens + req.OutputTokens,
		Expected: d.Expected, PrefillTime: time.Duration(d.Slowdown * float64(s.policy.PrefillTime(prefill))),
		ServiceTime: d.ServiceTime, Slowdown: d.Slowdown, Engine: capacity > 0, Fingerprint: req.Fingerprint,
	}
	c.Flight, full = s.replicas.BeginIfRoom(d.ID, work, now)
	if c.Flight == nil {
		return nil, full
	}
	s.recordSent(c, now)
	if prefill >= notifyTokens && !s.Off[mechanism.TellAtOnce] || s.replicas.IsBrittle(d.ID) {
		s.NotifyPeers()
	}
	return c, false
}

// instruct sets the instructions for a model's replica: the salt under which it looks up
// cached prefix blocks, where it fetches from, and where it saves what it prefills. shared
// are the prompt's shared prefix blocks independent of the weights.
func (s *Scheduler) instruct(req *Request, c *Choice, shared []prefix.Hash, prefill int, now time.Time) {
	c.Salt = req.scope.salt(req.Model, c.Weights)
	c.sharingScope = xxh3.HashString(req.scope.salt(req.Model, anyWeights))
	if len(shared) > 0 {
		c.stablePrefix = shared[len(shared)-1]
	}
	s.links.reserve(c.Source, c.ID, c.TransferTime, now)
	if s.worthSaving(req, c, now) {
		c.Sink = req.Store.Address
		c.saveTime = transferTime(req.Service.Engine, req.Store.LinkMbps, prefill, req.Store.AvailabilityZone != c.AvailabilityZone)
		s.links.reserve(c.Sink, c.ID, c.saveTime, now)
	}
}

// holdTime returns how long the request should wait for the replica to finish the prefill of
// shared prefix blocks.
func (s *Scheduler) holdTime(c *Choice, now time.Time) time.Duration {
	if c.Prefilling < minHoldTokens {
		return 0
	}
	return s.readyAt(c.ID, c.prompt, now).Sub(now) + holdMargin
}
