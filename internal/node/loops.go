package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

const (
	// configWait is how long a read of the configuration waits at the store: the
	// price of a call against the time until a silent store is noticed.
	configWait = 20 * time.Second
	// frontWait is the same for the frontReaders hosts that come first: a read that a
	// short silence of the store has swallowed is noticed only at its end, and a
	// failed call elsewhere may not tell. The others then have records from them.
	frontWait    = 1500 * time.Millisecond
	frontReaders = 3
	// operatorReaders is how many hosts wait at the store for what operators write;
	// the others have it from them within a heartbeat. More would cost a call each
	// for each record. Where all of them are out of the store's reach, others step in.
	operatorReaders = 6
	// operatorsLate is the age of what is known of operators' records from which
	// other hosts wait for them too, one after the other. It lies above the wait of the
	// front readers.
	operatorsLate = 2 * time.Second
	// operatorsStagger is the pause between two hosts that step in, and operatorsSpread
	// the time in which the last one has, however many they are: together with
	// operatorsLate it lies below the time in which a configuration must be in force. In
	// a large fleet without routing hosts the store gets a call for each host in that time.
	operatorsStagger = 50 * time.Millisecond
	operatorsSpread  = 700 * time.Millisecond
	// hostInterval is how often hosts' addresses are read. Heartbeats tell of them
	// as well, and a read that waited would return for each host that starts.
	hostInterval = 25 * time.Second
	// configGap bounds the reads in a storm of configurations.
	configGap = 30 * time.Millisecond
	// sweepInterval is how often idle connections and dead hosts are looked for.
	sweepInterval = 250 * time.Millisecond
	// reconnectInterval is how often servers that are thought down are looked at.
	reconnectInterval = 100 * time.Millisecond
	// announceRetry is the pause before a host writes its address again.
	announceRetry = time.Second
)

// loops returns the host's background work.
func (n *Node) loops() []func(context.Context) {
	follow := func(t *topic.Table, wait, gap time.Duration) *topic.Follower {
		return &topic.Follower{Store: n.store, Table: t, Access: n.access, Wait: wait, Gap: gap, Log: n.log}
	}
	entries := follow(n.servers, 0, n.settings.Replica.PollInterval.AsDuration())
	entries.Fresh = n.entriesKnown
	entries.Hold = n.holdFirst
	entries.OnRead = func() {
		n.becomeReady()
		n.beatNow()
	}
	operators := follow(n.operators, configWait, configGap)
	operators.WaitNow = func() time.Duration { return operatorWait(n.rank()) }
	operators.Fresh = n.operatorsKnown
	operators.Hold = n.holdFirst
	relayed := func() bool { return n.members.Relayed(clock.Now()) }
	hosts := follow(n.hosts, 0, hostInterval)
	hosts.Fresh = relayed
	hosts.Hold = func() bool { return n.holdFirst() || relayed() || n.findsRelay() }
	return []func(context.Context){
		operators.Run,
		entries.Run,
		hosts.Run,
		n.announce,
		n.keepCrashes,
		n.heartbeats,
		func(ctx context.Context) { n.gossip.Receive(ctx, n.heard) },
		n.sweep,
		n.reconnect,
		n.lease.Follow,
		n.loader.Run,
		n.loader.Verify,
		n.moveServices,
		n.cacheEvents,
	}
}

// operatorWait returns how long the host of a rank waits for operators' records.
func operatorWait(rank int) time.Duration {
	if rank < frontReaders {
		return frontWait
	}
	return configWait
}

// announce writes this host's address to the store once.
func (n *Node) announce(ctx context.Context) {
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

// sweep does what is due now and then.
func (n *Node) sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		now := clock.Now()
		n.noteSuspension()
		n.pool.Sweep(now)
		n.expireHosts(now)
		if n.access.Stable(now) {
			n.replicas.Settle()
		}
		n.replicas.JoinPaces()
		n.shareBudget(now)
		n.noteRefusals(now)
		n.crashes.Expire(now)
		n.becomeReady()
		n.gauges(now)
	})
}

// noteSuspension writes a line when the machine was suspended.
func (n *Node) noteSuspension() {
	total := clock.Suspended()
	if total > n.suspended {
		n.log.WithField("ms", (total - n.suspended).Milliseconds()).Warn("this host's machine was suspended")
		n.suspended = total
	}
}

// expireHosts notes the hosts that died. Many may at once; some lines name a few and
// count the others.
func (n *Node) expireHosts(now time.Time) {
	n.replicas.ExpireLoads(now)
	died := n.members.Expire(now)
	if len(died) == 0 {
		return
	}
	for i, id := range died {
		n.replicas.DropLoads(id)
		if i < loggedHosts {
			n.log.WithFields(logrus.Fields{"host": id, "others": len(died) - 1}).Warn("host lost: no heartbeats")
		}
	}
}

// loggedHosts bounds the lines of hosts that died at once.
const loggedHosts = 10

// reconnect tries to connect to servers that are thought down, so that no
// request has to wait for a server that is dark.
func (n *Node) reconnect(ctx context.Context) {
	clock.Every(ctx, reconnectInterval, func() {
		n.lookAtBroken(ctx)
		_, due := n.replicas.Down(clock.Now())
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

// shareBudget divides the slack of the retry budget among the hosts that callers
// are sent to, once this one knows them.
func (n *Node) shareBudget(now time.Time) {
	slack := float64(n.settings.Retry.Slack) * slackShare
	v := n.members.View(now)
	if !v.Here || now.Sub(n.started) < firstView {
		slack = 0
	}
	hosts := n.sharers.most(len(v.Routing), now)
	// Hosts restarted during a partition have heard from their own side only.
	n.budget.SetHosts(slack, addUnheardHosts(hosts, v.Live, n.unheardAddresses(v, now)))
}

// firstView is how long a host that has just started may know of fewer hosts than share
// the slack. Until then it repeats by the ratio alone, as the share of a host that knows
// nobody is the whole: the shares of a fleet that starts at once add up to many times the
// slack. A lone host has its slack this much later.
const firstView = 4 * time.Second

// sharers remembers the most routing hosts of the last while. A host that is cut off
// knows of fewer; it must not spend the share of those that it no longer hears.
type sharers struct {
	hosts int
	since time.Time
}

// sharersFor is how long more hosts than are known now share the budget: two of its
// usual windows.
const sharersFor = 20 * time.Second

func (s *sharers) most(hosts int, now time.Time) int {
	if hosts >= s.hosts || now.Sub(s.since) > sharersFor {
		s.hosts, s.since = hosts, now
	}
	return s.hosts
}

func (n *Node) becomeReady() {
	if n.config.Load() == nil || !n.servers.Synced() {
		return
	}
	if statemachine.Fire(n.machine, eventKnow) {
		n.setState()
		n.log.WithFields(logrus.Fields{"config": n.config.Load().Version, "replicas": n.replicas.Count()}).Info("ready")
		n.beatNow()
	}
}

func (n *Node) gauges(now time.Time) {
	m := n.metrics
	if c := n.config.Load(); c != nil {
		m.ConfigVersion.Update(float64(c.Version))
	}
	m.StoreAge.Update(n.access.Age(now).Seconds())
	v := n.members.View(now)
	m.Hosts.Update(float64(v.Live))
	m.RoutingHosts.Update(float64(len(v.Routing)))
	m.Replicas.Update(float64(n.replicas.Count()))
	lacking, longest := n.replicas.Lacking(now)
	m.Lacking.Update(float64(lacking))
	m.LackingAge.Update(longest.Seconds())
	_, _, here := n.lease.Holder()
	held := 0.0
	if here {
		held = 1
	}
	m.LeaseHeld.Update(held)
	m.Connections.Update(float64(n.pool.Opened()))
	m.BulkRead.Update(float64(n.bulk.Spent()))
	m.Quarantined.Update(float64(n.crashes.Count(now)))
	m.DroppedLines.Update(float64(n.lines.Dropped()))
}
