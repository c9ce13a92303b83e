package node

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/quota"
)

// maxLoggedLimits is the maximum number of limit changes logged per configuration.
const maxLoggedLimits = 20

// applyLimits applies a configuration's rate limits.
func (n *Node) applyLimits(c *config.Config) {
	if n.off[mechanism.RateLimits] {
		return
	}
	for _, o := range c.Organisations {
		if o.LimitError != nil {
			n.log.WithError(o.LimitError).WithFields(logrus.Fields{"organisation": o.Name, "version": c.Version}).Error("rate limit not taken")
		}
	}
	changes := n.limiter.SetLimits(c.Organisations, clock.Now())
	for i, change := range changes {
		if i == maxLoggedLimits {
			break
		}
		n.log.WithFields(logrus.Fields{
			"organisation": change.Organisation, "version": c.Version, "others": len(changes) - 1,
			"before": describeLimit(change.Before), "limit": describeLimit(change.Now),
		}).Info("rate limit changed")
	}
}

// describeLimit formats a limit for a log line.
func describeLimit(l *config.RateLimit) string {
	if l == nil {
		return "none"
	}
	return l.String()
}

// isolatedDivisor reduces the share of a limit that an isolated host in a large fleet admits: a
// host that receives no usage reports divides its equal share, over all hosts, by this number.
// The other hosts cannot know how many hosts are isolated, and reserve nothing for them. If a
// third of all hosts are isolated, they admit a ninth of a limit, which the tolerance covers.
const isolatedDivisor = 3

// updateLimitShares updates the limiter with the number of hosts that share limits, and of those
// whose usage reports reach this host. A routing host receives reports from the other routing
// hosts; a standby host receives the levels through its relays, once these know them.
func (n *Node) updateLimitShares(now time.Time) {
	v := n.members.View(now)
	hosts, live := len(v.Routing), n.limitLiveHosts.observe(v.Live, now)
	if now.Sub(n.started) >= discoveryTime {
		// Before discoveryTime has passed, this host may know only a few large hosts, and so
		// count small ones among the routing hosts.
		hosts = n.limitHosts.observe(hosts, now)
	}
	hosts = max(1, hosts)
	lost := 0
	if v.SelfRouting {
		lost = n.routingHistory.countLost(v.Routing, n.members.HasFailed, now)
	}
	n.reachableShare.Store(math.Float64bits(float64(max(1, hosts-lost)) / float64(hosts)))
	unseen := n.unseenHosts(v, now)
	others := n.limiter.CountReachable(v.Routing, now)
	reachable := 1.0
	switch {
	case v.SelfRouting && others > 0:
		remaining := max(1, hosts-lost)
		reachable = float64(remaining) * min(1, float64(others+1)/float64(len(v.Routing)))
		hosts = addUnseenHosts(hosts, v.Live, unseen)
	case !v.SelfRouting && n.limiter.CountInformed(v.Relays, now) > 0:
		reachable = float64(hosts)
	case live == 1:
		hosts = addUnseenHosts(hosts, v.Live, unseen)
	case live > member.MaxSmallFleet && n.limiter.CountReachable(v.Relays, now) == 0:
		hosts = max(hosts, isolatedDivisor*live)
	default:
		// Leaving hosts are no longer routing hosts but still admit requests; so does each standby host whose relays do
		// not know the levels.
		hosts = max(hosts, live)
	}
	n.limiter.SetHosts(hosts, reachable, !v.SelfRouting, now)
	n.logShareChange(hosts, v.Live, unseen, now)
}

// unseenHosts returns an upper estimate of the number of running hosts from which this host
// receives no heartbeats. It counts the known addresses from which none was received. Until a
// starting host has read all addresses from the store, it assumes at least quota.AssumedHosts in
// total.
func (n *Node) unseenHosts(v *member.View, now time.Time) int {
	unseen := n.unseenAddresses(v, now)
	if !n.hosts.Synced() && n.members.HasPeers() && now.Sub(n.started) < countRetention {
		unseen = max(unseen, quota.AssumedHosts-v.Live)
	}
	return unseen
}

// unseenAddresses returns the number of known addresses from which no heartbeat was received,
// less the live hosts of which this host knows only the number.
func (n *Node) unseenAddresses(v *member.View, now time.Time) int {
	return max(0, n.members.UnseenAddresses(countRetention, now)-v.Unknown)
}

// addUnseenHosts returns the number of hosts that share limits, including unseen ones. The same
// fraction of unseen hosts as of live ones is assumed to share limits, rounded up.
func addUnseenHosts(hosts, live, unseen int) int {
	return hosts + (hosts*unseen+live-1)/max(1, live)
}

// minLoggedShareChange is the smallest change of the share of rate limits that is logged.
const minLoggedShareChange = 0.05

// logShareChange logs a change of this host's share of the rate limits since the last logged
// value.
func (n *Node) logShareChange(hosts, live, unseen int, now time.Time) {
	share := n.limiter.Share(now)
	if math.Abs(share-n.loggedShare) < minLoggedShareChange {
		return
	}
	others, ok := n.shareLogLimiter.Allow(now)
	if !ok {
		return
	}
	n.log.WithFields(logrus.Fields{
		"share": share, "before": n.loggedShare, "hosts": hosts, "live": live, "unheard": unseen, "others": others,
	}).Info("share of rate limits changed")
	n.loggedShare = share
}

// routingHistory holds the recent routing hosts and when each was last one.
type routingHistory map[string]time.Time

// countLost returns how many recent routing hosts have failed. Other hosts have replaced them
// here, but they may be running on the other side of a partition, where others have replaced
// this host and its peers.
func (r routingHistory) countLost(routing []*pb.Heartbeat, isLost func(host string) bool, now time.Time) int {
	for _, h := range routing {
		r[h.Host] = now
	}
	n := 0
	for host, at := range r {
		switch {
		case now.Sub(at) > countRetention:
			delete(r, host)
		case at.Before(now) && isLost(host):
			n++
		}
	}
	return n
}

// logEndedEpisodes logs the organisations that are no longer over their limit.
func (n *Node) logEndedEpisodes(now time.Time) {
	for _, e := range n.limiter.EndedEpisodes(now) {
		n.log.WithFields(logrus.Fields{"organisation": e.Organisation, "refused": e.Refused}).Info("organisation below its rate limit again")
	}
}

// quotas returns the organisations' limits for operators, the most used first.
func (n *Node) quotas(now time.Time) []*pb.QuotaStatus {
	states := n.limiter.Status(now)
	slices.SortFunc(states, func(a, b quota.Status) int {
		return cmp.Or(cmp.Compare(b.Level/b.Limit.PerSecond, a.Level/a.Limit.PerSecond), cmp.Compare(a.Organisation, b.Organisation))
	})
	out := make([]*pb.QuotaStatus, 0, len(states))
	for _, s := range states {
		out = append(out, &pb.QuotaStatus{
			Organisation: s.Organisation, Unit: s.Limit.Unit.String(), PerSecond: s.Limit.PerSecond, Burst: s.Limit.Burst,
			Level: s.Level, Used: s.Used, Refused: s.Refused,
		})
	}
	return out
}
