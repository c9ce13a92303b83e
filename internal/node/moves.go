package node

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/canary"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

const (
	// canaryTick is how often canary releases are evaluated.
	canaryTick = 100 * time.Millisecond
	// canaryRankDelay is the delay between two hosts' attempts to take the canary lease.
	canaryRankDelay = 200 * time.Millisecond
	// statusSavers is the number of hosts that write statuses again which are missing from a restored store,
	// and statusSaveDelay the time between two of them.
	statusSavers    = 3
	statusSaveDelay = 500 * time.Millisecond
	// canaryRetryDelay is the pause after a failed write of a status.
	canaryRetryDelay = 300 * time.Millisecond
)

// applyReleaseOrder applies an operators' order to move a service to another version.
func (n *Node) applyReleaseOrder(rec platform.Record) {
	o, ok, err := platform.DecodeCanaryOrder(rec)
	if !ok {
		return
	}
	if err != nil {
		n.log.WithError(err).WithField("offset", rec.Offset).Error("order to move a service not taken")
		return
	}
	n.canaries.ApplyOrder(o, clock.Now())
	n.firstRelease.Do(func() { close(n.releaseOrdered) })
}

// applyRewrittenOrder applies an order that was written again after the store was restored.
func (n *Node) applyRewrittenOrder(rec platform.Record) {
	if o, ok, err := platform.DecodeCanaryOrder(rec); ok && err == nil {
		n.canaries.MoveOrder(o)
	}
}

// applyStatusRecord applies the stored status of a service's last order.
func (n *Node) applyStatusRecord(rec platform.Record, _ topic.Origin) {
	st, ok, err := platform.DecodeCanaryStatus(rec)
	if err != nil {
		n.log.WithError(err).WithField("offset", rec.Offset).Error("status of an order not taken")
		return
	}
	if ok {
		n.canaries.ApplyStatus(st, clock.Now())
	}
}

// runCanaries runs canary releases once the first one is ordered.
func (n *Node) runCanaries(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.releaseOrdered:
	}
	go n.followStatuses(ctx)
	go n.canaryLease.Follow(ctx)
	clock.Every(ctx, canaryTick, func() {
		now := clock.Now()
		for _, service := range n.canaries.Active() {
			n.runCanary(ctx, service, now)
		}
		n.saveStatuses(ctx, now)
	})
}

// saveStatuses writes the statuses again that the store lost when it was restored from a copy. All
// hosts have the same ones; they try it one after another, by rank, until one is read again.
func (n *Node) saveStatuses(ctx context.Context, now time.Time) {
	unsaved := n.canaries.Unsaved()
	if len(unsaved) == 0 {
		n.unsavedSince = time.Time{}
		return
	}
	if n.unsavedSince.IsZero() {
		n.unsavedSince = now
	}
	if n.rank() >= statusSavers || now.Sub(n.unsavedSince) < time.Duration(n.rank()+1)*statusSaveDelay {
		return
	}
	n.unsavedSince = now
	for _, st := range unsaved {
		if _, err := n.store.Append(ctx, platform.StatusTopic, platform.EncodeCanaryStatus(st), -1); err != nil {
			n.log.WithError(err).WithField("service", st.Service).Warn("status of a move not written; trying again")
			return
		}
		n.log.WithFields(logrus.Fields{"service": st.Service, "target": st.Target, "state": st.State}).Info("status of a move written")
	}
}

// followStatuses reads the stored statuses of release orders.
func (n *Node) followStatuses(ctx context.Context) {
	f := &topic.Follower{
		Store: optionalTopic{n.store, n.store.Era}, Table: n.releaseStatuses, Access: n.access, Wait: operatorReadWait, Gap: operatorReadGap, Log: n.log, StoreEra: n.store.Era,
		NextWait: func() time.Duration { return operatorWait(n.rank()) },
		SkipRead: n.skipsOperatorRead,
		// A standby host gets the statuses through its relays.
		DelayFirstRead: func() bool { return n.delaysFirstRead() || n.members.HasActiveRelay(clock.Now()) },
	}
	f.Run(ctx)
}

// optionalTopic reads a topic that does not exist yet as an empty one.
type optionalTopic struct {
	topic.Reader
	// era returns the store's era.
	era func() int64
}

// Newest implements topic.Reader.
func (a optionalTopic) Newest(ctx context.Context, name string) (platform.Page, error) {
	page, err := a.Reader.Newest(ctx, name)
	return a.withoutNotFound(page, err)
}

// Read implements topic.Reader.
func (a optionalTopic) Read(ctx context.Context, name string, from int64, wait time.Duration) (platform.Page, error) {
	page, err := a.Reader.Read(ctx, name, from, wait)
	return a.withoutNotFound(page, err)
}

func (a optionalTopic) withoutNotFound(page platform.Page, err error) (platform.Page, error) {
	var status *platform.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return platform.Page{Era: a.era()}, nil
	}
	return page, err
}

// runCanary evaluates the answers of a service's canary release, and decides about it if this
// host holds the lease.
func (n *Node) runCanary(ctx context.Context, service string, now time.Time) {
	versions := n.replicas.Versions(service, now)
	target := n.canaries.Target(service)
	load := serviceLoad(versions, target)
	v := n.members.View(now)
	load.Hosts = addUnseenHosts(n.canaryHosts.observe(len(v.Routing), now), v.Live, n.unseenAddresses(v, now))
	n.canaries.Evaluate(service, load.TargetServers, now)
	if !n.releaseStatuses.Synced() || !n.acquireCanaryLease(ctx, now) {
		return
	}
	generation := n.canaryLease.Fencing()
	d, st := n.canaries.Decide(service, generation, load, slices.Sorted(maps.Keys(versions)), now)
	if st != nil {
		n.writeReleaseStatus(ctx, *st, d)
		return
	}
	n.requestHeartbeat()
}

// serviceLoad sums up the servers and requests of the target version and of the other ones.
func serviceLoad(versions map[string]replica.VersionLoad, target string) canary.ServiceLoad {
	var s canary.ServiceLoad
	for version, v := range versions {
		s.Running += v.Requests
		if version == target {
			s.TargetServers += v.Servers
			s.TargetSlots += v.Slots
			continue
		}
		s.OldServers += v.Servers
		s.OldRunning += v.Requests
	}
	return s
}

// acquireCanaryLease takes or renews the canary lease when it is this host's turn, and reports
// whether this host decides.
func (n *Node) acquireCanaryLease(ctx context.Context, now time.Time) bool {
	if _, _, held := n.canaryLease.Holder(); !held && !n.mayAcquireCanaryLease(now) {
		return false
	}
	return n.canaryLease.Try(ctx)
}

// mayAcquireCanaryLease reports whether it is this host's turn to take the lease. Routing hosts
// try it one after another, by rank.
func (n *Node) mayAcquireCanaryLease(now time.Time) bool {
	v := n.members.View(now)
	vacant := n.canaryLease.VacantSince(now)
	return !vacant.IsZero() && v.SelfRouting && now.Sub(vacant) >= time.Duration(v.Rank)*canaryRankDelay
}

// writeReleaseStatus writes the status of an order, unless another host has written one that
// this host has not read yet.
func (n *Node) writeReleaseStatus(ctx context.Context, st canary.Status, d canary.Decision) {
	logEntry := n.log.WithFields(logrus.Fields{
		"service": st.Service, "target": st.Target, "state": st.State, "fencing": st.Generation, "reason": d.Reason,
	})
	at := n.releaseStatuses.Position()
	rec := platform.EncodeCanaryStatus(st)
	offset, err := n.store.Append(ctx, platform.StatusTopic, rec, at.Offset)
	if err != nil {
		logEntry.WithError(err).Warn("status of a move not written; trying again")
		clock.Sleep(ctx, canaryRetryDelay)
		return
	}
	logEntry.Info("status of a move written")
	if n.store.Era() != at.Era {
		// The offsets of a restored store are not those of the table.
		return
	}
	rec.Offset = offset
	n.releaseStatuses.Merge([]platform.Record{rec}, topic.Position{Era: at.Era, Offset: offset + 1}, true)
	n.requestHeartbeatToAll()
}

// followsCanaryLease reports whether this host may take the canary lease.
func (n *Node) followsCanaryLease() bool {
	return len(n.canaries.Active()) > 0 && n.followsLease()
}
