package node

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/platform"
)

const (
	// cacheWait is how long a call for cache events waits; calls under 200 ms are
	// dear.
	cacheWait = 900 * time.Millisecond
	// cacheGap bounds those calls at a busy replica: what is told is some 80 ms old
	// anyway, and each call costs processor time on both ends.
	cacheGap = 100 * time.Millisecond
	// cacheCalls bounds the calls of one host a second: each takes about 0.15 ms of
	// its processor.
	cacheCalls = 240
	// cacheRetry follows a failed call for cache events.
	cacheRetry = 400 * time.Millisecond
	// scanInterval is how often replicas to follow are looked for.
	scanInterval = 200 * time.Millisecond
	// confirmWithin is how long after its reading an event must tell of a part.
	confirmWithin = 1500 * time.Millisecond
)

// cacheTarget is a replica or store whose cache events are followed.
type cacheTarget struct {
	// holder is its name in the index: a replica's ID, or a store's address.
	holder   string
	address  string
	capacity int
	store    bool
}

// cacheEvents follows what replicas and the store of KV cache hold.
func (n *Node) cacheEvents(ctx context.Context) {
	following := map[string]context.CancelFunc{}
	every(ctx, scanInterval, func() {
		targets := n.cacheTargets()
		for holder, cancel := range following {
			if _, ok := targets[holder]; !ok {
				cancel()
				delete(following, holder)
			}
		}
		for holder, t := range targets {
			if following[holder] == nil {
				each, cancel := context.WithCancel(ctx)
				following[holder] = cancel
				go (&cacheFollower{n: n, target: t}).run(each)
			}
		}
	})
}

// cacheTargets returns whom to follow. Standby hosts follow nobody.
func (n *Node) cacheTargets() map[string]cacheTarget {
	out := map[string]cacheTarget{}
	now := time.Now()
	c := n.config.Load()
	hosts, here := n.primaries(now)
	if c == nil || !here {
		return out
	}
	rank := n.rank()
	follow := func(t cacheTarget, readers int) {
		if follows(rank, len(hosts), t.holder, readers) {
			out[t.holder] = t
		}
	}
	for _, s := range c.Stores() {
		follow(cacheTarget{s.Address, s.Address, s.CacheTokens, true}, s.EventReaders)
	}
	for _, server := range n.replicas.Servers(now) {
		if service := c.Services[server.Service]; service != nil && service.Engine != nil {
			follow(cacheTarget{server.ID, server.Address, service.Engine.CacheTokens, false}, service.Engine.EventReaders)
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

// cacheFollower reads the cache events of one holder.
type cacheFollower struct {
	n      *Node
	target cacheTarget
	epoch  int64
	next   int64
}

func (f *cacheFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step reads once and returns how long to wait before the next read.
func (f *cacheFollower) step(ctx context.Context) time.Duration {
	events, err := f.n.engines.CacheEvents(ctx, f.target.address, f.next, cacheWait)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		f.up(false, err)
		return cacheRetry
	}
	f.up(true, nil)
	if f.epoch != 0 && events.Epoch != f.epoch {
		f.n.log.WithField("holder", f.target.holder).Info("holder of KV cache restarted; what it held is forgotten")
		f.n.index.Clear(f.target.holder)
		f.epoch, f.next = events.Epoch, 0
		return 0
	}
	f.epoch = events.Epoch
	if events.Lost {
		// Removals may be among what is missing: only what is told again counts.
		f.n.log.WithField("holder", f.target.holder).Info("cache events were lost; what was held is forgotten")
		f.n.index.Clear(f.target.holder)
	}
	for _, ev := range events.Events {
		f.take(ev)
	}
	f.next = events.Next
	if !f.target.store {
		f.n.index.Unconfirmed(f.target.holder, time.Now().Add(-confirmWithin))
	}
	return max(cacheGap, time.Second*time.Duration(f.n.replicas.Count())/cacheCalls)
}

func (f *cacheFollower) take(ev platform.CacheEvent) {
	part := prefix.HashOf(ev.Salt, ev.Part)
	f.n.index.Stored(f.target.holder, part, ev.Tokens, f.target.capacity, time.Now())
}

// up notes whether the store of KV cache answers; replicas are judged by their
// answers to requests.
func (f *cacheFollower) up(up bool, err error) {
	if !f.target.store || f.n.scheduler.StoreUp(f.target.address) == up {
		return
	}
	f.n.scheduler.SetStoreUp(f.target.address, up)
	line := f.n.log.WithField("store", f.target.address)
	if up {
		line.Info("store of KV cache reached")
		return
	}
	line.WithError(err).Warn("store of KV cache lost")
	f.n.index.Clear(f.target.holder)
}
