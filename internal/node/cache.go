package node

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/cachesync"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/member"
)

const (
	// minCacheReadGap is the minimum pause between two reads of a holder's cache events. Events
	// are some 80 ms old when read, so more frequent reads gain little, and each read costs
	// CPU time on both ends.
	minCacheReadGap = 100 * time.Millisecond
	// maxCacheReadsPerSecond is the maximum rate of event reads of one host. Each takes about
	// 0.15 ms of its CPU time.
	maxCacheReadsPerSecond = 240
	// maxFollowed is the maximum number of replicas that a host follows, as each takes a
	// connection and continuous reads. If there are more, it follows those that hold most
	// tokens.
	maxFollowed = 64
	// minFollowedTokens is the minimum number of cached tokens of a followed replica if there
	// are more than maxFollowed. Recomputing fewer costs less than following the replica.
	minFollowedTokens = 2048
	// scanInterval is how often the set of replicas to follow is updated.
	scanInterval = 200 * time.Millisecond
	// initialScanInterval replaces scanInterval until the first holder is followed. Requests that a
	// starting host sends before then may be recomputed although some replica caches their
	// prefix.
	initialScanInterval = 20 * time.Millisecond
)

// cacheEvents follows the cache contents of replicas and KV cache stores.
func (n *Node) cacheEvents(ctx context.Context) {
	following := map[cachesync.Holder]context.CancelFunc{}
	surveyed := false
	var sources sourceCache
	for ctx.Err() == nil {
		holders, tooMany := n.cacheHolders(&sources, following)
		n.follow(ctx, holders, following)
		if tooMany && !surveyed {
			surveyed = true
			go n.survey(ctx)
		}
		n.followedHolders.Store(int64(len(following)))
		pause := scanInterval
		if len(following) == 0 && !tooMany {
			pause = initialScanInterval
		}
		clock.Sleep(ctx, pause)
	}
}

// follow starts and stops followers so that exactly the given holders are followed.
func (n *Node) follow(ctx context.Context, holders map[cachesync.Holder]bool, following map[cachesync.Holder]context.CancelFunc) {
	for h, cancel := range following {
		if !holders[h] {
			cancel()
			delete(following, h)
		}
	}
	for h := range holders {
		if following[h] == nil {
			each, cancel := context.WithCancel(ctx)
			following[h] = cancel
			go n.follower(h).Run(each)
		}
	}
}

// survey reads once the cache contents of this host's part of the replicas, and announces them
// to the other hosts.
func (n *Node) survey(ctx context.Context) {
	s := cachesync.Survey{Engine: n.engines, Index: n.index, Log: n.log, Budget: n.bulkReads, OnFound: n.scheduler.AnnounceHeld}
	s.Run(ctx, n.eventSources(n.members.View(clock.Now()), func(int) int { return 1 }))
}

// eventSources returns the replicas whose events this host should read. readers returns how many
// hosts read a replica, given the number of readers that it serves.
func (n *Node) eventSources(v *member.View, readers func(served int) int) []cachesync.Holder {
	c := n.config.Load()
	var out []cachesync.Holder
	for _, server := range n.replicas.Endpoints() {
		service := c.Services[server.Service]
		if service == nil || service.Engine == nil || !shouldFollow(v.Rank, len(v.Routing), server.ID, readers(service.Engine.EventReaders)) {
			continue
		}
		out = append(out, cachesync.Holder{Name: server.ID, Address: server.Address, Started: server.Started, Capacity: service.Engine.CacheTokens})
	}
	return out
}

// sourceCache caches the result of eventSources together with the inputs that it depends on.
type sourceCache struct {
	generation    uint64
	rank, routing int
	config        *config.Config
	sources       []cachesync.Holder
}

// get returns the event sources, recomputed if their inputs have changed.
func (s *sourceCache) get(n *Node, v *member.View, c *config.Config) []cachesync.Holder {
	generation := n.replicas.Generation()
	if s.config != c || s.generation != generation || s.rank != v.Rank || s.routing != len(v.Routing) {
		*s = sourceCache{generation, v.Rank, len(v.Routing), c, n.eventSources(v, func(served int) int { return served })}
	}
	return s.sources
}

// cacheHolders returns the holders to follow, and whether there are more replicas than a host
// may follow. Standby hosts follow none.
func (n *Node) cacheHolders(cache *sourceCache, following map[cachesync.Holder]context.CancelFunc) (out map[cachesync.Holder]bool, tooMany bool) {
	out = map[cachesync.Holder]bool{}
	now := clock.Now()
	c := n.config.Load()
	v := n.members.View(now)
	if c == nil || !v.SelfRouting {
		return out, false
	}
	for _, s := range c.Stores() {
		if shouldFollow(v.Rank, len(v.Routing), s.Address, s.EventReaders) {
			out[cachesync.Holder{Name: s.Address, Address: s.Address, Capacity: s.CacheTokens, Store: true}] = true
		}
	}
	sources := cache.get(n, v, c)
	if len(sources) > maxFollowed {
		if now.Sub(n.started) < discoveryTime {
			// While a fleet starts, each host assumes that it is one of a few routing hosts, and
			// overestimates its part of the replicas.
			return out, false
		}
		tooMany = true
		sources = selectHolders(sources, n.index.Tokens, func(h cachesync.Holder) bool { return following[h] != nil })
	}
	for _, h := range sources {
		out[h] = true
	}
	return out, tooMany
}

// selectHolders returns the holders that hold most tokens. Holders already followed come first
// while they hold enough, as a new follower has to read everything from the start.
func selectHolders(holders []cachesync.Holder, tokens func(name string) int, followed func(cachesync.Holder) bool) []cachesync.Holder {
	tokensOf := map[string]int{}
	var selected []cachesync.Holder
	for _, h := range holders {
		if n := tokens(h.Name); n >= minFollowedTokens {
			tokensOf[h.Name] = n
			if followed(h) {
				tokensOf[h.Name] = math.MaxInt
			}
			selected = append(selected, h)
		}
	}
	slices.SortFunc(selected, func(a, b cachesync.Holder) int {
		return cmp.Or(cmp.Compare(tokensOf[b.Name], tokensOf[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return selected[:min(len(selected), maxFollowed)]
}

// shouldFollow reports whether the host with the given rank follows a holder that serves at most
// the given number of readers. If there are more hosts than readers, each host skips some
// holders, but every holder is followed.
func shouldFollow(rank, hosts int, holder string, readers int) bool {
	if hosts <= readers {
		return true
	}
	shift := xxh3.HashString(holder) % uint64(hosts)
	return (rank+int(shift))%hosts < readers
}

// follower returns a new follower of a holder.
func (n *Node) follower(h cachesync.Holder) *cachesync.Follower {
	return &cachesync.Follower{
		Engine: n.engines, Index: n.index, Holder: h, Log: n.log, Budget: n.bulkReads,
		PollInterval: func() time.Duration {
			return max(minCacheReadGap, time.Second*time.Duration(n.followedHolders.Load())/maxCacheReadsPerSecond)
		},
		Backoff:  func() time.Duration { return n.cacheEventsBackoff(h, clock.Now()) },
		NoLists:  n.off[mechanism.CacheLists],
		OnResult: func(err error) { n.recordStoreResult(h, err) },
	}
}

// recordStoreResult records whether a KV cache store answers. It ignores replicas, whose health
// is judged by their answers to requests.
func (n *Node) recordStoreResult(h cachesync.Holder, err error) {
	up := err == nil
	if !h.Store || n.scheduler.StoreUp(h.Address) == up {
		return
	}
	n.scheduler.SetStoreUp(h.Address, up)
	logEntry := n.log.WithField("store", h.Address)
	if up {
		logEntry.Info("store of KV cache reached")
		return
	}
	logEntry.WithError(err).Warn("store of KV cache lost")
}
