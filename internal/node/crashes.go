package node

import (
	"context"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// replicaCrashed puts the end of a server down to the requests that it was running, and
// tells the other hosts at once: its next crash may be one of theirs.
func (n *Node) replicaCrashed(server quarantine.Server, requests []quarantine.Digest, now time.Time) {
	n.crashes.Crashed(server, requests, now)
	n.beatSoon()
}

// lookAtBroken looks whether servers are gone whose connections broke: requests that
// crash their servers are to be known before they come again.
func (n *Node) lookAtBroken(ctx context.Context) {
	for id, address := range n.replicas.Broken() {
		go func() {
			if err := n.pool.Look(ctx, address); upstream.Refused(err) {
				n.replicas.ConnectionRefused(id, address, clock.Now())
				n.replicas.Reached(id, false, clock.Now())
			}
		}()
	}
}

// keepCrashes keeps in the store under which requests servers crash.
func (n *Node) keepCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.crashes.Dirty:
		}
		for _, q := range n.crashes.Unsaved() {
			n.keepCrashesOf(ctx, q)
		}
	}
}

func (n *Node) keepCrashesOf(ctx context.Context, q platform.QuarantineRecord) {
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
