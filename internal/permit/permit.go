// Package permit grants permits for requests to backend servers that limit how many requests a
// second they take from all hosts together. Each limited server has one owner among the hosts,
// on which the hosts agree without the store. It keeps the server's token bucket, and the others
// ask it for a permit before they send a request. The sum over all hosts thus does not depend on
// their number, and a host may use the whole limit if it alone has callers.
package permit

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// Server is one incarnation of a backend server.
type Server struct {
	ID string
	// Started is the incarnation's start time, or 0 if it is unknown.
	Started int64
}

// Owner returns the host that grants permits for a server, by rendezvous hashing: a host that
// joins or leaves changes only the owners of the servers that it gains or loses. It returns "" if
// there are no hosts.
func Owner(s Server, hosts []string) string {
	seed := xxh3.HashStringSeed(s.ID, uint64(s.Started))
	owner, best := "", uint64(0)
	for _, host := range hosts {
		rank := xxh3.HashStringSeed(host, seed)
		if owner == "" || rank > best || rank == best && host < owner {
			owner, best = host, rank
		}
	}
	return owner
}

const (
	// minPerSecond is the lowest rate of permits. A server that takes hardly any requests must
	// get one now and then, as only an answer shows that its limit has changed.
	minPerSecond = 0.25
	// minBurst and burstTime set how many permits an idle bucket holds: minBurst and those of
	// burstTime.
	minBurst  = 1.0
	burstTime = 250 * time.Millisecond
	// askSpacing is the time between the next requests of two refused hosts, in multiples of the
	// time between two permits. Below 1, some host asks by the time that a permit is available.
	askSpacing = 0.5
	// maxWait limits the time after which a host may ask again.
	maxWait = 2 * time.Second
	// bucketTTL is how long the bucket of a server is kept without permit requests.
	bucketTTL = time.Minute
)

// Kind is the kind of call that a permit is for.
type Kind int

// Kinds of calls. An order follows a report of the server, and must not fail because that report
// took the last permit.
const (
	Request Kind = iota
	Report
	Order
)

// maxDebt returns how many permits for a kind of call may be granted in advance; later ones are
// delayed by them. A server with outdated weights gets no requests, and must be loaded in time.
func (k Kind) maxDebt() float64 { return [...]float64{Request: 0, Report: 2, Order: 3}[k] }

// Grant is the answer to a permit request.
type Grant struct {
	Granted bool
	// Wait is how long a host without a permit is to wait before it asks again.
	Wait time.Duration
}

// Granter keeps the buckets of the servers that this host owns. It is safe for concurrent use; mu
// is its only lock.
type Granter struct {
	mu      sync.Mutex
	buckets map[Server]*bucket
}

// bucket is the token bucket of one server.
type bucket struct {
	tokens float64
	// filledAt is when tokens was last updated, askedAt when a host last asked.
	filledAt, askedAt time.Time
	// nextAsk is when the host that was last refused is to ask again.
	nextAsk time.Time
}

// NewGranter returns a granter without buckets.
func NewGranter() *Granter { return &Granter{buckets: map[Server]*bucket{}} }

// Take takes a permit from the bucket of a server that gets perSecond of them. The bucket of a server
// that this host has not owned before is empty: the previous owner may just have granted all that
// the server takes.
func (g *Granter) Take(s Server, perSecond float64, kind Kind, now time.Time) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.buckets[s]
	if b == nil {
		b = &bucket{filledAt: now}
		g.buckets[s] = b
	}
	b.askedAt = now
	rate := max(perSecond, minPerSecond)
	b.fill(rate, now)
	needed := 1 - kind.maxDebt()
	if b.tokens >= needed {
		b.tokens--
		return Grant{Granted: true}
	}
	return Grant{Wait: b.wait(needed, rate, now)}
}

// fill adds the tokens since the last call.
func (b *bucket) fill(rate float64, now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, minBurst+rate*burstTime.Seconds())
}

// wait returns when a refused host is to ask again: not before a permit can be available, and
// after the hosts refused before it, so that an owner gets few permit requests for each permit.
func (b *bucket) wait(needed, rate float64, now time.Time) time.Duration {
	available := now.Add(seconds((needed - b.tokens) / rate))
	spaced := b.nextAsk.Add(seconds(askSpacing / rate))
	b.nextAsk = available
	if spaced.After(available) {
		b.nextAsk = spaced
	}
	if latest := now.Add(maxWait); b.nextAsk.After(latest) {
		b.nextAsk = latest
	}
	return b.nextAsk.Sub(now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Retain drops the buckets of servers that this host no longer owns, and of those for which no
// host has asked for long.
func (g *Granter) Retain(owned func(Server) bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, b := range g.buckets {
		if now.Sub(b.askedAt) > bucketTTL || !owned(s) {
			delete(g.buckets, s)
		}
	}
}
