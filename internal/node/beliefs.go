package node

import (
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/entry"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

// applyOperatorRecord applies a record written by operators. Records are delivered one at a
// time, so the configuration does not change between the version check and its replacement.
func (n *Node) applyOperatorRecord(rec platform.Record, from topic.Origin) {
	if c, ok, err := platform.DecodeConfig(rec); ok {
		if err != nil {
			n.log.WithError(err).WithField("offset", rec.Offset).Error("configuration not taken")
			return
		}
		old := n.config.Load()
		if old != nil && old.Version >= c.Version {
			n.log.WithFields(logrus.Fields{"version": c.Version, "in_force": old.Version}).Info("older configuration ignored")
			return
		}
		n.config.Store(c)
		n.applyLimits(c)
		n.log.WithFields(logrus.Fields{
			"version": c.Version, "offset": rec.Offset,
			"routes": len(c.Routes), "organisations": len(c.Organisations), "keys": c.Keys(), "shared_scope": c.SharedScope(),
		}).Info("configuration in force")
		n.markReady()
		n.requestHeartbeatToAll()
		return
	}
	n.applyReleaseOrder(rec)
	w, ok, err := platform.DecodeWeights(rec)
	if err != nil {
		n.log.WithError(err).WithField("offset", rec.Offset).Error("wanted weights not taken")
		return
	}
	if !ok {
		return
	}
	want := n.replicas.Want
	if from.First {
		want = n.replicas.WantFound
	}
	if want(w.Model, w.Version, clock.Now()) {
		n.log.WithFields(logrus.Fields{"model": w.Model, "version": w.Version, "offset": rec.Offset}).Info("weights wanted")
		n.requestHeartbeatToAll()
	}
}

// isOlderOperatorRecord reports whether a record has an older version of the configuration, or of the
// wanted weights of a model, than another record of its key.
func isOlderOperatorRecord(rec, than platform.Record) bool {
	if c, ok, err := platform.DecodeConfig(rec); ok && err == nil {
		newer, ok, err := platform.DecodeConfig(than)
		return ok && err == nil && c.Version < newer.Version
	}
	if w, ok, err := platform.DecodeWeights(rec); ok && err == nil {
		newer, ok, err := platform.DecodeWeights(than)
		return ok && err == nil && w.Version < newer.Version
	}
	return false
}

// applyReplicaRecord applies a backend server's registration or removal.
func (n *Node) applyReplicaRecord(rec platform.Record, from topic.Origin) {
	if rec.Removed {
		n.replicas.Remove(rec.Key, from.Trusted)
		n.requestHeartbeatToAll()
		return
	}
	reg, err := platform.DecodeReplica(rec)
	if err != nil {
		n.logMalformedEntry(rec, err)
		return
	}
	n.replicas.Register(reg, rec.Offset)
	if reg.Draining {
		n.requestHeartbeatToAll()
	}
}

// logMalformedEntry counts an entry that is not a valid registration, and logs it at most once a
// second, as another writer may produce many.
func (n *Node) logMalformedEntry(rec platform.Record, err error) {
	n.metrics.Malformed.Inc(1)
	if others, ok := n.malformedLogLimiter.Allow(clock.Now()); ok {
		n.log.WithError(err).WithFields(logrus.Fields{"key": rec.Key, "offset": rec.Offset, "others": others}).Warn("backend server's entry not taken")
	}
}

// applyHostRecord applies an entry host's address, or the stored crash record of a request.
func (n *Node) applyHostRecord(rec platform.Record, _ topic.Origin) {
	if q, ok, err := platform.DecodeQuarantine(rec); ok {
		if err != nil {
			n.log.WithError(err).WithField("offset", rec.Offset).Error("crashes under a request not taken")
			return
		}
		if n.crashes.Load(q, clock.Now()) && n.rank() == 0 {
			n.crashes.Remove(quarantine.Digest(q.Digest))
		}
		return
	}
	if rec.Removed || rec.Key == n.settings.Host.Id {
		return
	}
	h, err := platform.DecodeHost(rec)
	if err != nil {
		n.log.WithError(err).Error("host's record not taken")
		return
	}
	n.members.AddPeer(h.PeerAddress, clock.Now())
}

// entryView returns the configuration and the time during which a newer one could have been
// missed.
func (n *Node) entryView() entry.View {
	return entry.View{Config: n.config.Load(), Age: n.operatorsAge(clock.Now())}
}

// rank returns this host's position in the order in which live hosts take the lease, read
// entries and follow cache events. All hosts compute the same order. Routing hosts come first,
// as they receive updates soonest.
func (n *Node) rank() int { return n.members.View(clock.Now()).Rank }

// status returns this host's answer to operators' status requests.
func (n *Node) status() *pb.StatusResponse {
	now := clock.Now()
	out := &pb.StatusResponse{Host: n.settings.Host.Id, State: n.machine.Current(), Replicas: n.replicas.Status(now), Lease: &pb.LeaseStatus{}}
	if c := n.config.Load(); c != nil {
		out.ConfigVersion = c.Version
	}
	for _, h := range n.members.Hosts(now) {
		out.Hosts = append(out.Hosts, &pb.HostStatus{
			Id: h.Heartbeat.Host, AvailabilityZone: h.Heartbeat.AvailabilityZone, CallerAddress: h.Heartbeat.CallerAddress,
			Alive: h.Alive, Ready: h.Heartbeat.Ready, Leaving: h.Heartbeat.Leaving, AgeMs: h.Age.Milliseconds(),
			Routing: h.Heartbeat.Routing, Direct: h.Direct,
		})
	}
	out.HostsByNumber = int32(n.members.View(now).Unknown)
	out.Quotas = n.quotas(now)
	out.Moves = n.canaries.Status(now)
	out.Lease.Holder, out.Lease.FencingToken, out.Lease.HeldHere = n.lease.Holder()
	return out
}
