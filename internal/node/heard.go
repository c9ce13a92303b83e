package node

import (
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/internal/topic"
)

// loadingTimeout is how long a replica gets no requests after another host's heartbeat listed it
// as loading weights. Each further such heartbeat restarts the timeout.
const loadingTimeout = 600 * time.Millisecond

// receiveHeartbeat applies another host's heartbeat.
func (n *Node) receiveHeartbeat(b *pb.Heartbeat) {
	if b.Host == n.settings.Host.Id {
		return
	}
	now := clock.Now()
	before, fresh := n.members.ApplyHeartbeat(b, now)
	if !fresh {
		return
	}
	n.logHostChange(before, b, now)
	if before != nil && before.Incarnation != b.Incarnation {
		n.replicas.DropLoads(b.Host)
		n.reach.Drop(b.Host)
	}
	n.reach.Apply(b.Host, b.Contacts, now)
	n.replicas.SetLoads(b.Host, b.Loads, now)
	n.applyTotalLoads(b, now)
	n.limiter.ApplyReport(quota.UsageReport{Host: b.Host, Incarnation: b.Incarnation, Routing: b.Routing, LevelsUnknown: b.LevelsUnknown, Uses: b.Uses}, now)
	n.crashes.ApplyReport(b.Crashes, now)
	n.applyDemand(b, now)
	n.lease.ApplyHolderReport(b.Host, b.LeaseEra, b.LeaseEnd)
	n.canaries.ReceivePermits(b.MovePermits, now)
	n.canaries.ReceiveAnswers(b.Host, b.Incarnation, b.MoveAnswers)
	n.replicas.ApplySlowdowns(b.Host, b.Paces)
	n.replicas.Suspect(b.Host, b.Down, now)
	for _, m := range b.Brittle {
		n.replicas.ApplyBrittle(b.Host, m, now)
	}
	for _, l := range b.Limits {
		n.replicas.ApplyLimit(limitFromMessage(l), now)
	}
	for _, id := range b.Loading {
		n.replicas.MarkLoading(id, now.Add(loadingTimeout))
	}
	n.applyNamedVersions(b, now)
	for _, w := range b.Weights {
		if n.replicas.RecordWeights(w.Replica, w.Model, w.Version) {
			n.index.Clear(w.Replica)
		}
	}
	n.applySent(b)
	n.applyFreshness(b, now)
	n.catchUp(b)
}

// applyNamedVersions records when weights versions were named.
func (n *Node) applyNamedVersions(b *pb.Heartbeat, now time.Time) {
	for _, w := range b.Named {
		if n.replicas.ApplyNamed(w, now) {
			n.log.WithFields(logrus.Fields{"model": w.Model, "version": w.Version, "host": b.Host}).Info("weights wanted")
			n.requestHeartbeatToAll()
		}
	}
}

func (n *Node) applySent(b *pb.Heartbeat) {
	c := n.config.Load()
	if c == nil || len(b.Sent) == 0 {
		return
	}
	for _, s := range c.Services {
		if s.Engine != nil {
			n.scheduler.ApplySent(b.Sent, s.Engine.CacheTokens, clock.Now())
			return
		}
	}
}

// logHostChange logs a state change of another host, at most one line a second with a count of
// the suppressed ones, as hundreds of hosts may start at once.
func (n *Node) logHostChange(before, current *pb.Heartbeat, at time.Time) {
	changed := before == nil || before.Incarnation != current.Incarnation || before.Ready != current.Ready || before.Leaving != current.Leaving
	if !changed {
		return
	}
	others, ok := n.hostLogLimiter.Allow(at)
	if !ok {
		return
	}
	n.log.WithFields(logrus.Fields{
		"host": current.Host, "ready": current.Ready, "leaving": current.Leaving, "incarnation": current.Incarnation,
		"known_before": before != nil, "others": others,
	}).Info("host changed")
}

// applyFreshness records how recently another host read the topics.
func (n *Node) applyFreshness(b *pb.Heartbeat, now time.Time) {
	applyReadReport(&n.operatorsFreshness, n.operators, b, ageFromMs(b.OperatorsAgeMs), now)
	applyReadReport(&n.entriesFreshness, n.servers, b, ageFromMs(b.EntriesAgeMs), now)
}

// applyReadReport records a host's report of how long ago it had applied all of a topic.
func applyReadReport(f *topic.Freshness, t *topic.Table, b *pb.Heartbeat, age time.Duration, now time.Time) {
	if p := positionIn(b, t); p != nil {
		f.ApplyReport(topic.Position{Era: p.Era, Offset: p.End}, t.Position(), age, now)
	}
}

func ageFromMs(ms int64) time.Duration {
	if ms < 0 {
		return topic.NeverFresh
	}
	return time.Duration(ms) * time.Millisecond
}

// operatorsAge returns the time during which a newer configuration could have been missed: the
// time since the last read by this host, or by another one that has applied no more records.
func (n *Node) operatorsAge(now time.Time) time.Duration {
	return min(n.operatorsReadAge(now), n.operatorsFreshness.Age(now))
}

// operatorsReadAge is operatorsAge as known from this host's own reads only. A host that
// waits at the store for records misses none while the store answers its other calls, unless these
// show that it was restored from a copy.
func (n *Node) operatorsReadAge(now time.Time) time.Duration {
	age := n.operators.Age(now)
	if n.longPollsOperators.Load() && n.store.Era() <= n.operators.Position().Era {
		age = min(age, n.access.Age(now))
	}
	return age
}

// entriesAge is operatorsAge for the backend servers' entries.
func (n *Node) entriesAge(now time.Time) time.Duration {
	return min(n.servers.Age(now), n.entriesFreshness.Age(now))
}

// positionIn returns how far a host has applied a topic, or nil if the host has not synced it.
// Builds without eras state era 0, and so have nothing to offer once the store states a later one.
func positionIn(b *pb.Heartbeat, t *topic.Table) *pb.TopicPosition {
	for _, p := range b.Positions {
		if p.Topic == t.Name() {
			return p
		}
	}
	return nil
}
