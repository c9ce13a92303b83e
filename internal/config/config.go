// Package config holds the operators' configuration as the router uses it:
// routes, services, organisations and limits of one version, immutable once
// built.
package config

import (
	"sort"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Kind says what of a route's requests may be repeated.
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

// Share is one service of a route with its weight among the others.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix   string
	Kind     Kind
	Services []Share
	// Timeout is the longest a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to a full answer, or to a stream's first event.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between events of a stream.
	PauseTarget time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Attempts is the largest number of replicas that may run one request.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Prompts means that requests name the parts of their prompt.
	Prompts   bool
	Resumable bool
}

// Repeatable reports whether a request may be run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// CacheTokens is the memory of one replica, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkMbps is the speed of a replica's link for KV cache.
	LinkMbps float64
	// EventReaders is how many calls for cache events one replica holds at once.
	EventReaders int
}

// Service is a kind of backend server.
type Service struct {
	Name string
	// MaxConnections is per replica, over all hosts.
	MaxConnections int
	// Engine is nil for plain services and stores.
	Engine *Engine
	// Store is set for a store of kept KV cache.
	Store *CacheStore
	// UrgentTarget is the latency target of the most urgent streaming route to the
	// service, and UrgentPriority that route's priority.
	UrgentTarget   time.Duration
	UrgentPriority int
}

// CacheStore is a store of kept KV cache.
type CacheStore struct {
	Address          string
	AvailabilityZone string
	CacheTokens      int
	LinkMbps         float64
	EventReaders     int
}

// Organisation is a customer whose traffic is kept apart.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated organisations share no cached prompt with any other.
	Isolated bool
	// RateLimit is what all hosts together may let in; nil for no limit.
	RateLimit *RateLimit
	// LimitError says why the operators' limit is not held to, nil where it is.
	LimitError error
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version grows with each version; steps are uneven.
	Version       int64
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        Limits

	byHost map[string][]*Route
	byKey  map[string]*Organisation
	stores []*CacheStore
}

// Build fills the lookups; call it once before the configuration is shared.
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
	c.byKey = map[string]*Organisation{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			c.byKey[key] = o
		}
	}
	return c
}

// findUrgent fills in the most urgent route of each service.
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

// Route returns the route with the longest prefix of path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the holder of an API key, or nil.
func (c *Config) Organisation(key string) *Organisation { return c.byKey[key] }

// Keys returns the number of API keys that some organisation holds.
func (c *Config) Keys() int { return len(c.byKey) }

// NeedsKeys reports whether requests must carry a key.
func (c *Config) NeedsKeys() bool { return len(c.Organisations) > 0 }

// Stores returns the stores of kept KV cache by address.
func (c *Config) Stores() []*CacheStore { return c.stores }

// Store returns the store that keeps the prompts with a part, or nil. The parts
// spread over all stores, by rendezvous hashing: each keeps its own share,
// and one that comes or goes moves no other's.
func (c *Config) Store(part uint64) *CacheStore {
	var best *CacheStore
	bestRank := uint64(0)
	for _, s := range c.stores {
		if rank := xxh3.HashStringSeed(s.Address, part); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// findStores lists the stores of kept KV cache.
func (c *Config) findStores() {
	for _, s := range c.Services {
		if s.Store != nil {
			c.stores = append(c.stores, s.Store)
		}
	}
	sort.Slice(c.stores, func(i, j int) bool { return c.stores[i].Address < c.stores[j].Address })
}
