// Package config defines the operators' configuration as the router uses it: the routes,
// services, organisations and limits of one version. It is immutable once built.
package config

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Kind says whether and how requests of a route may be retried.
type Kind int

// Kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming answers are event streams; Resumable says whether they may be
	// continued elsewhere.
	Streaming
)

// Share is one service of a route, and its weight relative to the route's other services.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests for an HTTP host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Kind     Kind
	Services []Share
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout time.Duration
	// LatencyTarget is the target time to a complete answer, or to a stream's first event.
	LatencyTarget time.Duration
	// PauseTarget is the target for the longest pause between events of a stream.
	PauseTarget time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of replicas that may run one request.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Prompts means that requests list the prefix blocks of their prompts.
	Prompts bool
	// Resumable streams may be continued by another replica.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// CacheTokens is the KV cache capacity of one replica, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkMbps is the bandwidth of a replica's link for KV cache, in Mbit/s.
	LinkMbps float64
	// EventReaders is the maximum number of concurrent calls for cache events to one replica.
	EventReaders int
}

// Service is a kind of backend server.
type Service struct {
	Name string
	// MaxConnections is the limit for each replica, over all hosts.
	MaxConnections int
	// HealthPath is the path at which replicas answer health checks, "" if it is not known.
	HealthPath string
	// Engine is nil for services without a model engine and for KV cache stores.
	Engine *Engine
	// Store is set for a KV cache store only.
	Store *CacheStore
	// UrgentTarget is the latency target of the most urgent streaming route to the
	// service, and UrgentPriority that route's priority.
	UrgentTarget   time.Duration
	UrgentPriority int
}

// CacheStore is a KV cache store.
type CacheStore struct {
	Address          string
	AvailabilityZone string
	CacheTokens      int
	LinkMbps         float64
	EventReaders     int
}

// Organisation is a customer with API keys, limits and a priority of its own.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated organisations share no cached prompts with any other organisation.
	Isolated bool
	// RateLimit limits what all hosts together may admit; nil means no limit.
	RateLimit *RateLimit
	// LimitError says why the limit set by operators is not enforced; nil if it is.
	LimitError error
}

// Limits are the limits on the connections and requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with each configuration, but not always by one.
	Version       int64
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        Limits

	byHost map[string][]*Route
	byKey  map[string]*Organisation
	stores []*CacheStore
	// isolated holds the names of the isolated organisations, and sharedScope identifies this set.
	isolated    map[string]bool
	sharedScope string
}

// Build fills the lookup tables and returns c. It must be called once, before the
// configuration is shared.
func (c *Config) Build() *Config {
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.findUrgent()
	c.findStores()
	c.findIsolated()
	c.byKey = map[string]*Organisation{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			c.byKey[key] = o
		}
	}
	return c
}

// findUrgent sets each service's latency target and priority from its most urgent streaming
// route.
func (c *Config) findUrgent() {
	for _, r := range c.Routes {
		if r.Kind != Streaming || r.LatencyTarget <= 0 {
			continue
		}
		for _, share := range r.Services {
			s := c.Services[share.Service]
			if s != nil && (s.UrgentTarget == 0 || r.moreUrgent(s)) {
				s.UrgentTarget, s.UrgentPriority = r.LatencyTarget, r.Priority
			}
		}
	}
}

func (r *Route) moreUrgent(s *Service) bool {
	if r.Priority != s.UrgentPriority {
		return r.Priority < s.UrgentPriority
	}
	return r.LatencyTarget < s.UrgentTarget
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that an API key belongs to, or nil.
func (c *Config) Organisation(key string) *Organisation { return c.byKey[key] }

// IsIsolated reports whether an organisation of that name is isolated.
func (c *Config) IsIsolated(name string) bool { return c.isolated[name] }

// SharedScope identifies the set of isolated organisations; it is "" if none is. Organisations
// outside of the set share cached prompts with each other under this scope. What an organisation
// left in the scope of another set is therefore not found once the organisation is isolated, and
// hosts agree on the scope without knowing earlier configurations.
func (c *Config) SharedScope() string { return c.sharedScope }

func (c *Config) findIsolated() {
	c.isolated = map[string]bool{}
	for _, o := range c.Organisations {
		if o.Isolated {
			c.isolated[o.Name] = true
		}
	}
	if len(c.isolated) == 0 {
		return
	}
	var names strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.isolated)) {
		names.WriteString(strconv.Quote(name))
	}
	c.sharedScope = fmt.Sprintf("%x", xxh3.HashString128(names.String()).Bytes())
}

// Keys returns the number of API keys of all organisations.
func (c *Config) Keys() int { return len(c.byKey) }

// NeedsKeys reports whether requests must have an API key.
func (c *Config) NeedsKeys() bool { return len(c.Organisations) > 0 }

// Stores returns the KV cache stores, sorted by address.
func (c *Config) Stores() []*CacheStore { return c.stores }

// Store returns the KV cache store for prompts with a prefix block, or nil without stores.
// Rendezvous hashing spreads the blocks over all stores, so that a store that is added or
// removed does not move the blocks of the others.
func (c *Config) Store(block uint64) *CacheStore {
	var best *CacheStore
	bestRank := uint64(0)
	for _, s := range c.stores {
		if rank := xxh3.HashStringSeed(s.Address, block); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// findStores collects the KV cache stores, sorted by address.
func (c *Config) findStores() {
	for _, s := range c.Services {
		if s.Store != nil {
			c.stores = append(c.stores, s.Store)
		}
	}
	sort.Slice(c.stores, func(i, j int) bool { return c.stores[i].Address < c.stores[j].Address })
}
