package node

import (
	"context"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/platform"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/state"
)

const (
	listInterval = time.Second
	workInterval = 10 * time.Millisecond
	// workTimeout keeps work from being told when it is no longer new.
	workTimeout      = 100 * time.Millisecond
	catchUpInterval  = 200 * time.Millisecond
	checkInterval    = time.Second
	warmUpPieces     = 200_000
	warmUpPeers      = 2
	peerCallTimeout  = 2 * time.Second
	stateCallTimeout = 10 * time.Second
	// checkpointRecords is how many records may follow the newest checkpoint.
	checkpointRecords = 500
	// checkpointParts: a checkpoint is written when this part of the retention
	// has passed, so that several always lie within it.
	checkpointParts = 8
	// checkpointStagger separates hosts that could all write the next one.
	checkpointStagger = 5 * time.Second
)

// every calls f at once and then each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyConfig hands each new configuration to the tables that enforce it.
func (n *Node) applyConfig(ctx context.Context) {
	for {
		changed := n.store.Changed()
		if cur := n.store.Current(); cur != nil {
			view := cur.View()
			n.replicas.Configure(view.BackendServers, view.Models)
			n.poller.Kick()
			for id, o := range view.Organisations {
				n.limiter.Configure(id, o.Limit)
			}
		}
		n.metrics.ConfigLag.Update(float64(n.store.Known() - n.store.Next()))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// watchList follows the platform's list of hosts.
func (n *Node) watchList(ctx context.Context) {
	every(ctx, listInterval, func() {
		listed, err := n.list.Live(ctx)
		if err != nil {
			n.log.WithError(err).Debug("host list not read")
			return
		}
		n.members.SetListed(listed)
	})
}

// heartbeats exchanges membership, replica hints and demand with some peers.
func (n *Node) heartbeats(ctx context.Context) {
	every(ctx, n.settings.Member.HeartbeatInterval.AsDuration(), func() {
		now := time.Now()
		n.members.Beat(member.Progress{
			Applied:    n.store.Next(),
			Known:      n.store.Known(),
			ClaimsRead: n.claimer.Touched(),
			Ready:      n.isReady(),
		})
		n.outOfTouch(now)
		n.limiter.SetHosts(len(n.members.Serving(now)))
		for _, h := range n.members.Hosts(now) {
			if !h.Alive {
				n.limiter.Forget(h.Entry.Id)
			}
		}
		req := &pb.HeartbeatRequest{
			From:     n.settings.Host.Id,
			Hosts:    n.members.Entries(now),
			Replicas: n.replicas.Hints(),
			Demand:   n.limiter.Demand(now),
		}
		for _, p := range n.members.Targets(now, int(n.settings.Member.FanOut), n.rng) {
			go n.heartbeat(ctx, p, req)
		}
	})
}

func (n *Node) heartbeat(ctx context.Context, p member.Peer, req *pb.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := n.peers.Heartbeat(ctx, p.Address, req)
	if err != nil {
		n.log.WithError(err).WithField("peer", p.ID).Debug("heartbeat failed")
		return
	}
	n.members.Merge(resp.Hosts, time.Now())
}

// tellWork passes on to some peers what this host just sent, since their load
// reports are older than that.
func (n *Node) tellWork(ctx context.Context) {
	every(ctx, workInterval, func() {
		work := n.replicas.TakeSent()
		if len(work) == 0 {
			return
		}
		for _, p := range n.members.Targets(time.Now(), int(n.settings.Member.FanOut), n.rng) {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, workTimeout)
				defer cancel()
				// Best effort: the next load report shows the work as well.
				_, _ = n.workPeers.TellWork(ctx, p.Address, &pb.TellWorkRequest{Work: work})
			}()
		}
	})
}

// catchUp fetches the configuration from a peer that has applied more, and
// warms the prefix index once after the start.
func (n *Node) catchUp(ctx context.Context) {
	warm := 0
	every(ctx, catchUpInterval, func() {
		now := time.Now()
		known, best := n.members.NewestKnown(now)
		n.store.SetKnown(known)
		if best.Address != "" && (n.store.Current() == nil || n.behind(now)) {
			n.fetchState(ctx, best)
		}
		if warm < warmUpPeers && best.Address != "" && n.replicas.Polled() && n.fetchIndex(ctx, best) {
			warm++
		}
	})
}

// behind reports whether peers know of records that the log does not give us.
func (n *Node) behind(now time.Time) bool {
	return n.store.Known() > n.store.Next() && !n.touch.log(now, n.tailer.Follower().Touched())
}

func (n *Node) fetchState(ctx context.Context, p member.Peer) {
	ctx, cancel := context.WithTimeout(ctx, stateCallTimeout)
	defer cancel()
	resp, err := n.peers.FetchState(ctx, p.Address, &pb.FetchStateRequest{HaveOffset: n.store.Next()})
	if err != nil || resp.State == nil {
		return
	}
	if n.store.Offer(state.Decode(resp.State)) {
		n.log.WithField("peer", p.ID).WithField("next_offset", resp.State.NextOffset).Info("configuration taken from a peer")
	}
}

// fetchIndex merges a peer's prefix index. Beliefs about an incarnation other
// than the one this host polled are dropped by the index itself.
func (n *Node) fetchIndex(ctx context.Context, p member.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, stateCallTimeout)
	defer cancel()
	resp, err := n.peers.FetchIndex(ctx, p.Address, &pb.FetchIndexRequest{Limit: warmUpPieces})
	if err != nil || resp.Busy {
		return false
	}
	now := time.Now()
	for _, run := range resp.Runs {
		pieces := make([]prefix.Hash, len(run.Hashes))
		for i, h := range run.Hashes {
			pieces[i] = prefix.Hash(h)
		}
		n.index.Adopt(run.BackendServer, run.Incarnation, now, pieces)
	}
	return true
}

// checkpoints writes the state to the log when the newest checkpoint there is
// old. No host is in charge: each waits in its own rank's turn, and two
// checkpoints of one state are equal.
func (n *Node) checkpoints(ctx context.Context) {
	due := checkpointClock{}
	every(ctx, checkInterval, func() {
		cur := n.store.Current()
		if cur == nil || n.tailer.Gap() {
			return
		}
		now := time.Now()
		if !due.due(cur.Next, n.tailer.LastCheckpoint(), now, n.settings.Platform.Retention.AsDuration(), n.rank(now)) {
			return
		}
		if err := n.writeCheckpoint(ctx, cur); err != nil {
			n.log.WithError(err).Warn("checkpoint not written")
		}
	})
}

// rank is this host's place in the order in which hosts write checkpoints.
func (n *Node) rank(now time.Time) int {
	var ids []string
	for _, h := range n.members.Serving(now) {
		ids = append(ids, h.Id)
	}
	for i, id := range member.Rank("checkpoint", ids) {
		if id == n.settings.Host.Id {
			return i
		}
	}
	return len(ids)
}

func (n *Node) writeCheckpoint(ctx context.Context, s *state.State) error {
	records, err := state.Checkpoint(s)
	if err != nil {
		return err
	}
	for _, rec := range records {
		if _, err := n.platform.Append(ctx, platform.ConfigStream, rec); err != nil {
			return err
		}
	}
	n.log.WithField("next_offset", s.Next).Info("checkpoint written")
	return nil
}

// checkpointClock decides when a checkpoint is due.
type checkpointClock struct {
	seen  uint64
	since time.Time
}

// due reports whether this host should write a checkpoint of a state that
// reaches to next, when the newest on the log reaches to last.
func (c *checkpointClock) due(next, last uint64, now time.Time, retention time.Duration, rank int) bool {
	if c.since.IsZero() || last != c.seen {
		c.seen, c.since = last, now
	}
	wait := retention / checkpointParts
	if next-last >= checkpointRecords {
		wait = 0
	}
	if now.Sub(c.since) < wait+time.Duration(rank)*checkpointStagger || next == last {
		return false
	}
	c.since = now
	return true
}
