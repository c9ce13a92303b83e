package node

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/cachesync"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/permit"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
)

const (
	// permitTimeout is the timeout of a permit request, for which a caller's request waits.
	permitTimeout = 150 * time.Millisecond
	// permitRetryDelay is the wait after an owner that did not answer, or that does not consider
	// itself the owner. Within it, heartbeats bring the views of the hosts into line.
	permitRetryDelay = 250 * time.Millisecond
	// limitedPollDelay is how often a follower of cache events checks whether its server still
	// limits its requests.
	limitedPollDelay = 500 * time.Millisecond
)

// settled reports whether this host has run long enough to have discovered the others. Before, it
// could consider itself the owner of servers that another host owns.
func (n *Node) settled(now time.Time) bool { return now.Sub(n.started) >= discoveryTime }

// permitOwner returns the host that grants permits for a server, nil if there is none: one of the
// settled routing hosts, or of all while none has settled.
func (n *Node) permitOwner(s permit.Server, now time.Time) *pb.Heartbeat {
	v := n.members.View(now)
	hosts := map[string]*pb.Heartbeat{}
	var all, settled []string
	for _, h := range v.Routing {
		hosts[h.Host] = h
		all = append(all, h.Host)
		if h.Settled || h.Host == n.settings.Host.Id && n.settled(now) {
			settled = append(settled, h.Host)
		}
	}
	if len(settled) == 0 {
		settled = all
	}
	return hosts[permit.Owner(s, settled)]
}

func (n *Node) ownsPermits(s permit.Server, now time.Time) bool {
	owner := n.permitOwner(s, now)
	return owner != nil && owner.Host == n.settings.Host.Id
}

// retainPermits drops the buckets of servers that other hosts own now.
func (n *Node) retainPermits(now time.Time) {
	n.permits.Retain(func(s permit.Server) bool { return n.ownsPermits(s, now) }, now)
}

// permitShare returns the share of each limit that the owners on this side of a partition may
// grant: all with more than half of the recent routing hosts, otherwise the share of the hosts that
// are left. Both sides together grant less than one and a half times a limit. A host that crashed
// counts like one that cannot be reached, until it is back or is no longer in the table of hosts.
func (n *Node) permitShare() float64 {
	const majority = 0.5
	reachable := math.Float64frombits(n.reachableShare.Load())
	if reachable > majority {
		return 1
	}
	return reachable
}

// acquireRequestPermit acquires a permit for a caller's request to a server, if it needs one.
// Without a permit, no further request is sent there for a while.
func (n *Node) acquireRequestPermit(ctx context.Context, id string) bool {
	limit, ok := n.replicas.Limit(id, clock.Now())
	if !ok || !limit.Limited {
		return ok
	}
	grant := n.askForPermit(ctx, limit, permit.Request)
	if !grant.Granted {
		n.replicas.DeferRequests(id, grant.Wait, clock.Now())
	}
	return grant.Granted
}

// askForPermit asks the owner of a server for a permit.
func (n *Node) askForPermit(ctx context.Context, limit replica.Limit, kind permit.Kind) permit.Grant {
	grant := n.askOwner(ctx, limit, kind)
	n.metrics.Permit(grant.Granted)
	return grant
}

func (n *Node) askOwner(ctx context.Context, limit replica.Limit, kind permit.Kind) permit.Grant {
	now := clock.Now()
	owner := n.permitOwner(limit.Server, now)
	switch {
	case owner == nil:
		return permit.Grant{Wait: permitRetryDelay}
	case owner.Host == n.settings.Host.Id:
		return n.takePermit(limit, kind, now)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	resp, err := n.permitPeers.RequestPermit(ctx, owner.PeerAddress, &pb.PermitRequest{Limit: limitMessage(limit), Call: pb.PermitRequest_Call(kind)})
	if err != nil {
		n.log.WithError(err).WithField("host", owner.Host).Debug("no answer to a permit request")
		return permit.Grant{Wait: permitRetryDelay}
	}
	if resp.Limit != nil {
		n.replicas.ApplyLimit(limitFromMessage(resp.Limit), clock.Now())
	}
	return permit.Grant{Granted: resp.Granted, Wait: time.Duration(resp.WaitMs) * time.Millisecond}
}

// takePermit takes a permit for a server that this host owns.
func (n *Node) takePermit(asked replica.Limit, kind permit.Kind, now time.Time) permit.Grant {
	limit, ok := n.replicas.Limit(asked.Server.ID, now)
	if !ok || limit.Server != asked.Server {
		// The asking host has received the server's entry before this one.
		limit = asked
	}
	if !limit.Limited {
		return permit.Grant{Granted: true}
	}
	return n.permits.Take(limit.Server, limit.PerSecond*n.permitShare(), kind, now)
}

// errNotOwner rejects a permit request that only another host may grant.
var errNotOwner = errors.New("this host does not own the server")

// RequestPermit implements the PeerService RPC.
func (p *peerService) RequestPermit(_ context.Context, in *pb.PermitRequest) (*pb.PermitResponse, error) {
	now := clock.Now()
	asked := limitFromMessage(in.Limit)
	if !p.n.ownsPermits(asked.Server, now) {
		return nil, errNotOwner
	}
	p.n.replicas.ApplyLimit(asked, now)
	grant := p.n.takePermit(asked, kindOf(in.Call), now)
	out := &pb.PermitResponse{Granted: grant.Granted, WaitMs: grant.Wait.Milliseconds()}
	if limit, ok := p.n.replicas.Limit(asked.Server.ID, now); ok {
		out.Limit = limitMessage(limit)
	}
	return out, nil
}

func kindOf(call pb.PermitRequest_Call) permit.Kind {
	switch call {
	case pb.PermitRequest_REPORT:
		return permit.Report
	case pb.PermitRequest_ORDER:
		return permit.Order
	default:
		return permit.Request
	}
}

func limitMessage(l replica.Limit) *pb.ServerLimit {
	return &pb.ServerLimit{
		Replica: l.Server.ID, Started: l.Server.Started, Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: l.Age.Milliseconds(),
	}
}

func limitFromMessage(m *pb.ServerLimit) replica.Limit {
	return replica.Limit{
		Server:  permit.Server{ID: m.GetReplica(), Started: m.GetStarted()},
		Limited: m.GetLimited(), PerSecond: m.GetPerSecond(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
}

var errLimited = errors.New("the server limits its requests")

// beforeEngineCall is called before each control call to a backend server. A server that limits
// its requests gets no calls about its cache. A report or an order, which it needs, waits for a
// permit.
func (n *Node) beforeEngineCall(ctx context.Context, address string, kind platform.CallKind) error {
	for {
		limit, limited := n.replicas.LimitOfAddress(address, clock.Now())
		if !limited {
			return nil
		}
		if kind == platform.CallEvents || kind == platform.CallList {
			return errLimited
		}
		wanted := permit.Report
		if kind == platform.CallOrder {
			wanted = permit.Order
		}
		grant := n.askForPermit(ctx, limit, wanted)
		if grant.Granted {
			n.replicas.CountCall(address, kind)
			return nil
		}
		clock.Sleep(ctx, grant.Wait)
		if ctx.Err() != nil {
			return errors.Wrap(errLimited, "no permit in time")
		}
	}
}

// cacheEventsBackoff returns how long this host must not poll a holder of KV cache.
func (n *Node) cacheEventsBackoff(h cachesync.Holder, now time.Time) time.Duration {
	if limit, ok := n.replicas.Limit(h.Name, now); ok && limit.Limited {
		return limitedPollDelay
	}
	return n.replicas.Backoff(h.Name, now)
}
