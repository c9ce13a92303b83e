package node

import (
	"context"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// replicaCrashed attributes a server's crash to the requests that it was running, and notifies
// the other hosts at once, as the same request may reach them next.
func (n *Node) replicaCrashed(server quarantine.Server, running []quarantine.Fingerprint, at time.Time) {
	n.crashes.Crashed(server, running, at, clock.Now())
	n.requestHeartbeat()
}

// probeBroken probes the servers whose connections broke, so that a crash is detected before the
// request that caused it is sent again.
func (n *Node) probeBroken(ctx context.Context) {
	for id, address := range n.replicas.TakeProbeTargets() {
		go func() {
			began := clock.Now()
			err := n.pool.CheckReachable(ctx, address)
			if err == nil {
				n.replicas.ProbeAnswered(id, address, began)
			}
			if upstream.IsConnectionRefused(err) {
				n.replicas.ConnectionRefused(id, address, clock.Now())
				n.replicas.Reached(id, false, clock.Now())
				n.probeContacts(ctx)
			}
		}()
	}
}

// persistCrashes writes the crash records of requests to the store.
func (n *Node) persistCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.crashes.Dirty:
		}
		for _, q := range n.crashes.Unsaved() {
			n.persistCrash(ctx, q)
		}
	}
}

func (n *Node) persistCrash(ctx context.Context, q platform.QuarantineRecord) {
	for ctx.Err() == nil {
		_, err := n.store.Append(ctx, platform.HostTopic, q.Encode(), -1)
		if err == nil {
			n.crashes.Saved(q)
			return
		}
		n.log.WithError(err).WithField("digest", quarantine.Digest(q.Digest).String()).Info("crashes under a request were not kept in the store; trying again")
		clock.Sleep(ctx, announceRetry)
	}
}
