package node

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/cachesync"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/mechanism"
)

const (
	// cacheGap bounds those calls at a busy replica: what is told is some 80 ms old
	// anyway, and each call costs processor time on both ends.
	cacheGap = 100 * time.Millisecond
	// cacheCalls bounds the calls of one host a second: each takes about 0.15 ms of
	// its processor.
	cacheCalls = 240
	// scanInterval is how often replicas to follow are looked for.
	scanInterval = 200 * time.Millisecond
	// firstScan is that interval until somebody is followed: what a starting host
	// sends until then is read again where it need not be.
	firstScan = 20 * time.Millisecond
)

// cacheEvents follows what replicas and the store of KV cache hold.
func (n *Node) cacheEvents(ctx context.Context) {
	following := map[cachesync.Holder]context.CancelFunc{}
	for ctx.Err() == nil {
		n.follow(ctx, following)
		pause := scanInterval
		if len(following) == 0 {
			pause = firstScan
		}
		clock.Sleep(ctx, pause)
	}
}

// follow begins and ends what is followed.
func (n *Node) follow(ctx context.Context, following map[cachesync.Holder]context.CancelFunc) {
	holders := n.cacheHolders()
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

// cacheHolders returns whom to follow. Standby hosts follow nobody.
func (n *Node) cacheHolders() map[cachesync.Holder]bool {
	out := map[cachesync.Holder]bool{}
	now := clock.Now()
	c := n.config.Load()
	v := n.members.View(now)
	if c == nil || !v.Here {
		return out
	}
	follow := func(t cachesync.Holder, readers int) {
		if follows(v.Rank, len(v.Routing), t.Name, readers) {
			out[t] = true
		}
	}
	for _, s := range c.Stores() {
		follow(cachesync.Holder{Name: s.Address, Address: s.Address, Capacity: s.CacheTokens, Store: true}, s.EventReaders)
	}
	for _, server := range n.replicas.Endpoints() {
		if service := c.Services[server.Service]; service != nil && service.Engine != nil {
			follow(cachesync.Holder{Name: server.ID, Address: server.Address, Started: server.Started, Capacity: service.Engine.CacheTokens}, service.Engine.EventReaders)
		}
	}
	return out
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
		Engine: n.engines, Index: n.index, Holder: h, Log: n.log,
		Gap: func() time.Duration {
			return max(cacheGap, time.Second*time.Duration(n.replicas.Count())/cacheCalls)
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
