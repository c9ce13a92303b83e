// Package schedule joins the table of backend servers, the prefix index and the
// routing decision: it picks a replica for a request, says from where the replica
// should fetch KV cache and where it should save it, and learns from answers.
package schedule

import (
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/platform"
)

// Request is a request to be scheduled.
type Request struct {
	Service      *config.Service
	Store        *config.CacheStore
	Organisation *config.Organisation
	Model        string
	Parts        []platform.Part
	PromptTokens int
	OutputTokens int
	Target       time.Duration
	// Repeatable requests may run again at another replica.
	Repeatable bool
	// MaxHold is the longest that the request may be held.
	MaxHold time.Duration
	// Exclude holds replicas that were tried.
	Exclude map[string]bool
}

// Choice is where a request goes and what its replica is told.
type Choice struct {
	route.Decision
	// Salt, Source and Sink are as in platform.ReplicaRequest.
	Salt   string
	Source string
	Sink   string
	Flight *replica.Flight
	// Shared is the number of shared tokens.
	Shared int
	// Hold is above 0 when the request had better wait and be scheduled anew: the
	// replica reads its parts for another request, and a request that is sent
	// before the end would read them too. Nothing is counted as sent then.
	Hold time.Duration

	prompt   prefix.Prompt
	capacity int
	// sharers and lasting name who may share the prompt, and its shared prefix,
	// whatever the weights.
	sharers uint64
	lasting prefix.Hash
	saving  time.Duration
}

const (
	// minFetch is the least number of tokens worth a fetch: it takes a replica
	// longer than reading so few, but they are not read again.
	minFetch = 32
	// tellAtOnce is the number of tokens to read from which other hosts are told
	// at once: they take a replica some twenty milliseconds, in which others would
	// send it requests that then wait behind them.
	tellAtOnce = 1000
	// minSave is the least number of shared tokens worth keeping in the store.
	minSave = 32
	// fetchSetup is the time a transfer takes beside its bytes.
	fetchSetup = 3500 * time.Microsecond
	// otherZone is how many times as long a transfer takes between zones.
	otherZone = 2
	// maxFetchWait is the longest expected transfer that is still asked for: a
	// replica does not start one that would wait 2 s.
	maxFetchWait = 700 * time.Millisecond
	// maxSaveWait is the longest queue of transfers at the store at which more is
	// saved there: fetches wait behind them.
	maxSaveWait = 150 * time.Millisecond
	// idleSaveWait is that queue for prompts of which nothing says that they will be
	// asked for again: they are saved while the store's link has little else to do.
	idleSaveWait = 30 * time.Millisecond
	// minHold is the least number of shared tokens for which a request is held.
	minHold = 512
	// holdMargin is added to a hold: readings are mostly a little later than
	// expected.
	holdMargin = 25 * time.Millisecond
	// anyWeights stands for no version in particular: what is asked for again does
	// not change with the weights.
	anyWeights = 0
	// cacheShare of a replica's memory is thought to hold parts of ended requests.
	cacheShare = 0.9
)

// Scheduler picks replicas. It is safe for concurrent use.
type Scheduler struct {
	replicas *replica.Table
	index    *prefix.Index
	policy   route.Policy
	zone     string
	share    bool
	links    links
	reuse    *reuse
	// Tell asks for the other hosts to be told at once.
	Tell func()
	// Off holds the mechanisms that are switched off; it is set before use.
	Off mechanism.Off

	mu   sync.Mutex
	sent []*pb.PrefixSent
	// storesUp holds the addresses of the stores of kept KV cache that answer.
	storesUp map[string]bool
}

// New returns a scheduler for a host in an availability zone. With share set,
// organisations that are not isolated share cached prompts.
func New(replicas *replica.Table, index *prefix.Index, policy route.Policy, zone string, share bool) *Scheduler {
	return &Scheduler{
		replicas: replicas, index: index, policy: policy, zone: zone, share: share,
		links: links{busy: map[string]time.Time{}}, reuse: newReuse(), Tell: func() {},
		storesUp: map[string]bool{},
	}
}

// Salt returns the text that separates cached prompts: by model, by weights
// version, and by organisation where it is isolated.
func (s *Scheduler) Salt(model string, version int64, o *config.Organisation) string {
	salt := model + "/w" + strconv.FormatInt(version, 10)
	if o != nil && (o.Isolated || !s.share) {
		salt += "/" + o.Name
	}
	return salt
}

// Pick chooses a replica and counts the request as sent to it.
func (s *Scheduler) Pick(req *Request, now time.Time) (*Choice, error) {
	capacity := 0
	if req.Service.Engine != nil {
		capacity = req.Service.Engine.CacheTokens
	}
	replicas := s.replicas.Snapshot(req.Service.Name, req.Model, capacity, now)
	prompts := map[int64]prefix.Prompt{}
	candidates := make([]route.Candidate, len(replicas))
	for i, r := range replicas {
		candidates[i].Replica = r
	}
	if capacity > 0 {
		s.caches(req, candidates, func(version int64) prefix.Prompt { return s.prompt(prompts, req, version) }, now)
	}
	decision, err := s.policy.Decide(&route.Request{
		AvailabilityZone: s.zone,
		PromptTokens:     req.PromptTokens,
		OutputTokens:     req.OutputTokens,
		SharedTokens:     s.prompt(prompts, req, anyWeights).Total(),
		LatencyTarget:    req.Target,
		Repeatable:       req.Repeatable,
		Exclude:          req.Exclude,
		Spread:           LeadingPart(req.Parts),
	}, candidates)
	if err != nil {
		return nil, err
	}
	return s.choose(req, decision, prompts, capacity, now)
}

// prompt returns the shared parts under the salt of a weights version.
func (s *Scheduler) prompt(prompts map[int64]prefix.Prompt, req *Request, version int64) prefix.Prompt {
	p, ok := prompts[version]
	if !ok {
		p = prefix.NewPrompt(s.Salt(req.Model, version, req.Organisation), req.Parts)
		prompts[version] = p
	}
	return p
}

// LeadingPart is equal for requests that share their first part.
func LeadingPart(parts []platform.Part) uint64 {
	if len(parts) == 0 {
		return 0
	}
	return uint64(prefix.HashOf("", parts[0].ID))
}

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

func (s *Scheduler) choose(req *Request, d route.Decision, prompts map[int64]prefix.Prompt, capacity int, now time.Time) (*Choice, error) {
	p := s.prompt(prompts, req, d.Weights)
	c := &Choice{Decision: d, Shared: p.Total(), prompt: p, capacity: int(float64(capacity) * cacheShare)}
	read := 0
	if hold := s.hold(c, now); !s.Off[mechanism.Holds] && hold > 0 && hold <= req.MaxHold {
		c.Hold = hold
		return c, nil
	}
	if capacity > 0 {
		c.Salt = s.Salt(req.Model, d.Weights, req.Organisation)
		c.sharers = xxh3.HashString(s.Salt(req.Model, anyWeights, req.Organisation))
		if shared := s.prompt(prompts, req, anyWeights).Parts; len(shared) > 0 {
			c.lasting = shared[len(shared)-1]
		}
		c.Source = d.Source
		read = max(0, req.PromptTokens-d.Cached-d.Fetched)
		s.links.use(d.Source, d.ID, d.Transfer, now)
		if s.worthSaving(req, c, now) {
			c.Sink = req.Store.Address
			c.saving = transferTime(req.Service.Engine, req.Store.LinkMbps, read, req.Store.AvailabilityZone != d.AvailabilityZone)
			s.links.use(c.Sink, d.ID, c.saving, now)
		}
	}
	work := replica.Work{
		Prefill: read, Memory: req.PromptTokens + req.OutputTokens,
		Expected: d.Expected, Reading: s.policy.Reading(read),
	}
	c.Flight = s.replicas.Begin(d.ID, work, now)
	if c.Flight == nil {
		req.Exclude[d.ID] = true
		return s.Pick(req, now)
	}
	s.learn(c, now)
	if read >= tellAtOnce && !s.Off[mechanism.TellAtOnce] {
		s.Tell()
	}
	return c, nil
}

// hold returns how long the request had better wait for the replica's reading of
// shared parts.
func (s *Scheduler) hold(c *Choice, now time.Time) time.Duration {
	if c.Reading < minHold {
		return 0
	}
	return s.index.ReadyAt(c.ID, c.prompt).Sub(now) + holdMargin
}

// worthSaving reports whether the store lacks shared parts of the prompt that
// will probably be asked for again, and has time to take them.
func (s *Scheduler) worthSaving(req *Request, c *Choice, now time.Time) bool {
	if req.Store == nil || !s.StoreUp(req.Store.Address) || len(c.prompt.Parts) == 0 {
		return false
	}
	held, _ := s.index.Held(req.Store.Address, c.prompt, now)
	if c.Shared-held < minSave {
		return false
	}
	limit := idleSaveWait
	if s.reuse.likely(c.sharers, c.lasting, now) {
		limit = maxSaveWait
	} else if s.Off[mechanism.IdleSaves] {
		return false
	}
	return s.links.wait(req.Store.Address, now) <= limit
}

// learn records that the chosen replica is about to read the prompt, so that
// the next request with the same parts follows this one.
func (s *Scheduler) learn(c *Choice, now time.Time) {
	if len(c.prompt.Parts) == 0 || c.capacity == 0 {
		return
	}
	s.index.Add(c.ID, c.prompt, c.capacity, now.Add(c.Expected))
	s.reuse.note(c.sharers, c.lasting, now)
	sent := &pb.PrefixSent{
		Replica: c.ID, ReadyMs: int32(c.Expected.Milliseconds()), Sharers: c.sharers, Prefix: uint64(c.lasting),
		Source: c.Source, FetchMs: int32(c.Transfer.Milliseconds()), Sink: c.Sink, SaveMs: int32(c.saving.Milliseconds()),
	}
	for i, part := range c.prompt.Parts {
		sent.Parts = append(sent.Parts, uint64(part))
		sent.Tokens = append(sent.Tokens, int32(c.prompt.Tokens[i]))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) < maxSent {
		s.sent = append(s.sent, sent)
	}
}

// Read records that the chosen replica has read the whole prompt.
func (s *Scheduler) Read(c *Choice, now time.Time) {
	if c.capacity > 0 {
		s.index.Add(c.ID, c.prompt, c.capacity, now)
	}
}

// Withdraw undoes a choice whose request is not sent.
func (s *Scheduler) Withdraw(c *Choice, now time.Time) {
	c.Flight.End(replica.Cancelled, now)
	s.Failed(c)
}

// Failed forgets what the chosen replica was about to read.
func (s *Scheduler) Failed(c *Choice) { s.index.Unlearn(c.ID, c.prompt) }

// maxSent bounds what one heartbeat tells of sent prompts.
const maxSent = 40

// TakeSent returns what was sent since the last call, for other hosts.
func (s *Scheduler) TakeSent() []*pb.PrefixSent {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent
	s.sent = nil
	return sent
}

// Heard takes what another host learned. capacity is the replicas' memory.
func (s *Scheduler) Heard(sent []*pb.PrefixSent, capacity int, now time.Time) {
	for _, item := range sent {
		var p prefix.Prompt
		for i, part := range item.Parts {
			if i < len(item.Tokens) {
				p.Parts = append(p.Parts, prefix.Hash(part))
				p.Tokens = append(p.Tokens, int(item.Tokens[i]))
			}
		}
		ready := now.Add(time.Duration(item.ReadyMs) * time.Millisecond)
		s.index.Add(item.Replica, p, int(float64(capacity)*cacheShare), ready)
		if len(p.Parts) > 0 {
			s.reuse.note(item.Sharers, prefix.Hash(item.Prefix), now)
		}
		s.links.use(item.Source, item.Replica, time.Duration(item.FetchMs)*time.Millisecond, now)
		s.links.use(item.Sink, item.Replica, time.Duration(item.SaveMs)*time.Millisecond, now)
	}
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

// Reloaded drops what a replica held before it loaded other weights.
func (s *Scheduler) Reloaded(id string) { s.index.Clear(id) }
