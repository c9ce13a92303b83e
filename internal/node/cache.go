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
	// cacheGap bounds those calls at a busy replica: what is told is some 80 ms old
	// anyway, and each call costs processor time on both ends.
	cacheGap = 100 * time.Millisecond
	// cacheCalls bounds the calls of one host a second: each takes about 0.15 ms of
	// its processor.
	cacheCalls = 240
	// maxFollowed bounds the replicas that one host follows, as each takes a connection and
	// calls all the time. Of more, it follows those that hold most.
	maxFollowed = 64
	// leastFollowed is the least number of tokens of such a replica: what is less is read
	// again sooner than it is looked after.
	leastFollowed = 2048
	// scanInterval is how often replicas to follow are looked for.
	scanInterval = 200 * time.Millisecond
	// firstScan is that interval until somebody is followed: what a starting host
	// sends until then is read again where it need not be.
	firstScan = 20 * time.Millisecond
)

// cacheEvents follows what replicas and the store of KV cache hold.
func (n *Node) cacheEvents(ctx context.Context) {
	following := map[cachesync.Holder]context.CancelFunc{}
	surveyed := false
	var known knownSources
	for ctx.Err() == nil {
		holders, many := n.cacheHolders(&known, following)
		n.follow(ctx, holders, following)
		if many && !surveyed {
			surveyed = true
			go n.survey(ctx)
		}
		n.followed.Store(int64(len(following)))
		pause := scanInterval
		if len(following) == 0 && !many {
			pause = firstScan
		}
		clock.Sleep(ctx, pause)
	}
}

// follow begins and ends what is followed.
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

// survey reads once what this host's own part of the replicas hold, and announces it to
// the other hosts.
func (n *Node) survey(ctx context.Context) {
	s := cachesync.Survey{Engine: n.engines, Index: n.index, Log: n.log, Budget: n.bulk, Found: n.scheduler.AnnounceHeld}
	s.Run(ctx, n.eventSources(n.members.View(clock.Now()), func(int) int { return 1 }))
}

// eventSources returns the replicas of whose readers this host is one, by the number of
// readers that each serves.
func (n *Node) eventSources(v *member.View, readers func(served int) int) []cachesync.Holder {
	c := n.config.Load()
	var out []cachesync.Holder
	for _, server := range n.replicas.Endpoints() {
		service := c.Services[server.Service]
		if service == nil || service.Engine == nil || !follows(v.Rank, len(v.Routing), server.ID, readers(service.Engine.EventReaders)) {
			continue
		}
		out = append(out, cachesync.Holder{Name: server.ID, Address: server.Address, Started: server.Started, Capacity: service.Engine.CacheTokens})
	}
	return out
}

// knownSources are the replicas of whose readers this host is one, and what they depend on.
type knownSources struct {
	generation    uint64
	rank, routing int
	config        *config.Config
	sources       []cachesync.Holder
}

// update looks for them where what they depend on has changed.
func (k *knownSources) update(n *Node, v *member.View, c *config.Config) []cachesync.Holder {
	generation := n.replicas.Generation()
	if k.config != c || k.generation != generation || k.rank != v.Rank || k.routing != len(v.Routing) {
		*k = knownSources{generation, v.Rank, len(v.Routing), c, n.eventSources(v, func(served int) int { return served })}
	}
	return k.sources
}

// cacheHolders returns whom to follow, and whether there are more replicas than that.
// Standby hosts follow nobody.
func (n *Node) cacheHolders(known *knownSources, following map[cachesync.Holder]context.CancelFunc) (out map[cachesync.Holder]bool, many bool) {
	out = map[cachesync.Holder]bool{}
	now := clock.Now()
	c := n.config.Load()
	v := n.members.View(now)
	if c == nil || !v.Here {
		return out, false
	}
	for _, s := range c.Stores() {
		if follows(v.Rank, len(v.Routing), s.Address, s.EventReaders) {
			out[cachesync.Holder{Name: s.Address, Address: s.Address, Capacity: s.CacheTokens, Store: true}] = true
		}
	}
	sources := known.update(n, v, c)
	if len(sources) > maxFollowed {
		if now.Sub(n.started) < firstView {
			// Of a fleet that starts, each host takes itself for one of a few that route.
			return out, false
		}
		many = true
		sources = worthFollowing(sources, n.index.Tokens, func(h cachesync.Holder) bool { return following[h] != nil })
	}
	for _, h := range sources {
		out[h] = true
	}
	return out, many
}

// worthFollowing returns the holders that hold most. Those that are followed already stay
// while they hold enough, as a new follower reads from the start.
func worthFollowing(holders []cachesync.Holder, tokens func(name string) int, followed func(cachesync.Holder) bool) []cachesync.Holder {
	held := map[string]int{}
	var worth []cachesync.Holder
	for _, h := range holders {
		if n := tokens(h.Name); n >= leastFollowed {
			held[h.Name] = n
			if followed(h) {
				held[h.Name] = math.MaxInt
			}
			worth = append(worth, h)
		}
	}
	slices.SortFunc(worth, func(a, b cachesync.Holder) int {
		return cmp.Or(cmp.Compare(held[b.Name], held[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return worth[:min(len(worth), maxFollowed)]
}

// follows reports whether the host of a rank among hosts follows a holder, which
// serves a bounded number of readers. Where there are more hosts, each leaves out
// some holders, so that none is left without any.
func follows(rank, hosts int, holder string, readers int) bool {
	if hosts <= readers {
		return true
	}
	shift := xxh3.HashString(holder) % uint64(hosts)
	return (rank+int(shift))%hosts < readers
}

// follower returns what follows one holder.
func (n *Node) follower(h cachesync.Holder) *cachesync.Follower {
	return &cachesync.Follower{
		Engine: n.engines, Index: n.index, Holder: h, Log: n.log, Budget: n.bulk,
		Gap: func() time.Duration {
			return max(cacheGap, time.Second*time.Duration(n.followed.Load())/cacheCalls)
		},
		Backoff: func() time.Duration { return n.replicas.Backoff(h.Name, clock.Now()) },
		NoLists: n.off[mechanism.CacheLists],
		Up:      func(err error) { n.cacheStoreUp(h, err) },
	}
}

// cacheStoreUp notes whether a store of KV cache answers; replicas are judged by
// their answers to requests.
func (n *Node) cacheStoreUp(h cachesync.Holder, err error) {
	up := err == nil
	if !h.Store || n.scheduler.StoreUp(h.Address) == up {
		return
	}
	n.scheduler.SetStoreUp(h.Address, up)
	line := n.log.WithField("store", h.Address)
	if up {
		line.Info("store of KV cache reached")
		return
	}
	line.WithError(err).Warn("store of KV cache lost")
	n.index.Clear(h.Name)
}
