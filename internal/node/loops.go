package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

const (
	// operatorReadWait is how long a read of operators' records waits at the store. A longer
	// wait costs fewer calls, but an unresponsive store is detected later.
	operatorReadWait = 20 * time.Second
	// frontReadWait is the same for the frontReaders hosts that come first by rank. If the store
	// loses a read while it is briefly unresponsive, the loss shows only when the wait ends, as
	// all other calls may succeed. The other hosts then get the records from these.
	frontReadWait = 1500 * time.Millisecond
	frontReaders  = 3
	// operatorReaders is the number of hosts that wait at the store for operators' records. The
	// others get the records from them within a heartbeat interval; with more readers each
	// record would cost a call per reader. If none of them reaches the store, other hosts step
	// in.
	operatorReaders = 6
	// operatorsStaleAge is the age of the known operators' records from which other hosts read
	// them too, one after another. It exceeds frontReadWait.
	operatorsStaleAge = 2 * time.Second
	// operatorsStagger is the delay between two hosts that step in, and operatorsSpread the
	// maximum delay of the last one in a fleet of any size. operatorsSpread and
	// operatorsStaleAge together are less than the time within which a configuration must be in
	// force. In a large fleet without routing hosts the store gets a call from every host in
	// that time.
	operatorsStagger = 50 * time.Millisecond
	operatorsSpread  = 700 * time.Millisecond
	// hostReadInterval is how often hosts' addresses are read. Heartbeats carry them as well,
	// and a read that waited at the store would return whenever a host starts.
	hostReadInterval = 25 * time.Second
	// operatorReadGap is the pause between reads, which limits their rate when many
	// configurations are written at once.
	operatorReadGap = 30 * time.Millisecond
	// sweepInterval is the interval of periodic maintenance, such as the removal of idle
	// connections and dead hosts.
	sweepInterval = 250 * time.Millisecond
	// reconnectInterval is how often servers that are marked down are probed.
	reconnectInterval = 100 * time.Millisecond
	// maxCopyAge is the age of the oldest copy from which a store is restored, with a margin: what
	// hosts wrote before is in it. After a restoration, hosts write their addresses again within
	// announceSpread.
	maxCopyAge     = time.Minute
	announceSpread = time.Second
	// announceRetry is the delay before a failed write to the host topic is repeated.
	announceRetry = time.Second
)

// loops returns the host's background loops.
func (n *Node) loops() []func(context.Context) {
	follow := func(t *topic.Table, wait, gap time.Duration) *topic.Follower {
		return &topic.Follower{Store: n.store, Table: t, Access: n.access, Wait: wait, Gap: gap, Log: n.log, StoreEra: n.store.Era}
	}
	entries := follow(n.servers, 0, n.settings.Replica.PollInterval.AsDuration())
	entries.SkipRead = n.skipsEntryRead
	entries.DelayFirstRead = n.delaysFirstRead
	entries.OnRead = func() {
		n.markReady()
		n.requestHeartbeatToAll()
	}
	operators := follow(n.operators, operatorReadWait, operatorReadGap)
	operators.NextWait = func() time.Duration { return operatorWait(n.rank()) }
	operators.SkipRead = n.skipsOperatorRead
	operators.DelayFirstRead = n.delaysFirstRead
	hasRelay := func() bool { return n.members.HasActiveRelay(clock.Now()) }
	hosts := follow(n.hosts, 0, hostReadInterval)
	hosts.SkipRead = hasRelay
	hosts.DelayFirstRead = func() bool { return n.delaysFirstRead() || hasRelay() || n.awaitsRelay() }
	return []func(context.Context){
		operators.Run,
		entries.Run,
		hosts.Run,
		n.announce,
		n.persistCrashes,
		n.heartbeats,
		func(ctx context.Context) { n.gossip.Receive(ctx, n.receiveHeartbeat) },
		n.sweep,
		n.reconnect,
		n.lease.Follow,
		n.loader.Run,
		n.loader.Verify,
		n.runCanaries,
		n.cacheEvents,
	}
}

// operatorWait returns how long reads of operators' records wait at the store, for the host of a
// rank.
func operatorWait(rank int) time.Duration {
	if rank < frontReaders {
		return frontReadWait
	}
	return operatorReadWait
}

// announce writes this host's address to the store, and again if the store was restored from a copy
// that may not have it.
func (n *Node) announce(ctx context.Context) {
	n.writeAddress(ctx)
	written := clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.restored:
			if clock.Since(written) < maxCopyAge {
				clock.Sleep(ctx, rand.N(announceSpread))
				n.writeAddress(ctx)
			}
		}
	}
}

// writeAddress writes this host's address to the store once.
func (n *Node) writeAddress(ctx context.Context) {
	value := platform.HostRecord{PeerAddress: n.settings.Listen.Peer}.Encode()
	for ctx.Err() == nil {
		_, err := n.store.Append(ctx, platform.HostTopic, platform.Record{Key: n.settings.Host.Id, Value: value}, -1)
		if err == nil {
			return
		}
		n.log.WithError(err).Info("this host's address was not written; trying again")
		clock.Sleep(ctx, announceRetry)
	}
}

// sweep does periodic maintenance.
func (n *Node) sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		now := clock.Now()
		n.logSuspension()
		n.pool.Sweep(now)
		n.forwardPool.Sweep(now)
		n.expireHosts(now)
		if n.access.Stable(now) {
			n.replicas.RemoveLapsed()
		}
		n.replicas.MergeSlowdowns()
		n.replicas.LogLimitedCalls(now)
		n.retainPermits(now)
		n.servers.ReleaseWithheld(now)
		n.updateRetryBudget(now)
		n.logEndedEpisodes(now)
		n.crashes.Expire(now)
		n.replicas.ConfirmAnswers(now)
		n.markReady()
		n.reclaimMemory(now)
		n.updateGauges(now)
		n.logShortages(now)
	})
}

// logSuspension logs that the machine was suspended.
func (n *Node) logSuspension() {
	total := clock.Suspended()
	if total > n.loggedSuspension {
		n.log.WithField("ms", (total - n.loggedSuspension).Milliseconds()).Warn("this host's machine was suspended")
		n.loggedSuspension = total
	}
}

// expireHosts drops the reported loads of hosts that died, and logs them. Many may die at once,
// so only some are logged by name, with a count of the others.
func (n *Node) expireHosts(now time.Time) {
	n.replicas.ExpireLoads(now)
	died := n.members.Expire(now)
	if len(died) == 0 {
		return
	}
	for i, id := range died {
		n.replicas.DropLoads(id)
		n.reach.Drop(id)
		if i < maxLoggedHosts {
			n.log.WithFields(logrus.Fields{"host": id, "others": len(died) - 1}).Warn("host lost: no heartbeats")
		}
	}
}

// maxLoggedHosts is the maximum number of log lines about hosts that died at once.
const maxLoggedHosts = 10

// reconnect probes servers that are marked down, so that no request has to wait for an
// unresponsive server.
func (n *Node) reconnect(ctx context.Context) {
	clock.Every(ctx, reconnectInterval, func() {
		n.probeBroken(ctx)
		n.probeContacts(ctx)
		n.updateDetached()
		n.updateSlotShare()
		_, due := n.replicas.DownServers(clock.Now())
		for id, address := range due {
			n.pool.Forget(address)
			go func() {
				err := n.pool.Probe(ctx, address)
				if err != nil {
					n.log.WithError(err).WithField("replica", id).Debug("replica still unreachable")
				}
				n.replicas.Reached(id, err == nil, clock.Now())
			}()
		}
	})
}

// updateRetryBudget divides the slack of the retry budget among the routing hosts. A host has a part only
// once it has been one of them for a whole window: it does not know what it spent in an earlier life, or what
// the host spent whose place it took. All hosts that spend slack within a window were thus routing hosts at its
// start, and counted each other.
func (n *Node) updateRetryBudget(now time.Time) {
	v := n.members.View(now)
	switch {
	case !v.SelfRouting:
		n.routingSince = time.Time{}
	case n.routingSince.IsZero():
		n.routingSince = now
	}
	slack := 0.0
	if !n.routingSince.IsZero() && now.Sub(n.routingSince) >= max(discoveryTime, n.settings.Retry.Window.AsDuration()) {
		slack = float64(n.settings.Retry.Slack) * slackShare
	}
	hosts := n.budgetHosts.observe(len(v.Routing), now)
	// Hosts restarted during a partition have received heartbeats from their own side only.
	n.budget.SetHosts(slack, addUnseenHosts(hosts, v.Live, n.unseenAddresses(v, now)))
}

// discoveryTime is how long a starting host may know fewer hosts than share a limit. A host that knows no
// other would take the whole limit, and the shares of a fleet that starts at once would add up to many times
// the limit.
const discoveryTime = 4 * time.Second

// recentMax is a recent maximum of a number of hosts. A partitioned host sees fewer hosts and
// must not spend the share of those that it can no longer reach.
type recentMax struct {
	count int
	since time.Time
}

// countRetention is how long a higher number of hosts is remembered: two of the retry budget's
// usual windows.
const countRetention = 20 * time.Second

func (m *recentMax) observe(count int, now time.Time) int {
	if count >= m.count || now.Sub(m.since) > countRetention {
		m.count, m.since = count, now
	}
	return m.count
}

func (n *Node) markReady() {
	if n.config.Load() == nil || !n.servers.Synced() {
		return
	}
	if statemachine.Fire(n.machine, eventSynced) {
		n.setState()
		n.log.WithFields(logrus.Fields{"config": n.config.Load().Version, "replicas": n.replicas.Count(), "era": n.store.Era()}).Info("ready")
		n.requestHeartbeatToAll()
	}
}

func (n *Node) updateGauges(now time.Time) {
	m := n.metrics
	if c := n.config.Load(); c != nil {
		m.ConfigVersion.Update(float64(c.Version))
	}
	m.StoreAge.Update(n.access.Age(now).Seconds())
	m.StoreEra.Update(float64(n.store.Era()))
	v := n.members.View(now)
	m.Hosts.Update(float64(v.Live))
	m.RoutingHosts.Update(float64(len(v.Routing)))
	m.Replicas.Update(float64(n.replicas.Count()))
	outdated, longest := n.replicas.OutdatedStats(now)
	m.Lacking.Update(float64(outdated))
	m.LackingAge.Update(longest.Seconds())
	_, _, here := n.lease.Holder()
	held := 0.0
	if here {
		held = 1
	}
	m.LeaseHeld.Update(held)
	m.MissingServers.Update(float64(n.replicas.MissingServers()))
	m.LostContacts.Update(float64(n.replicas.LostContacts()))
	m.Connections.Update(float64(n.pool.Opened()))
	m.BulkRead.Update(float64(n.bulkReads.Spent()))
	requests, blocks := n.crashes.Count(now)
	m.Quarantined.Update(float64(requests))
	m.QuarantinedBlocks.Update(float64(blocks))
	m.Utilisation.Update(float64(n.load.Utilisation()) / 1000)
	m.DroppedLines.Update(float64(n.logWriter.Dropped()))
}
