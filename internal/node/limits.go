package node

import (
	"cmp"
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

// loggedLimits bounds the lines about limits that changed at once.
const loggedLimits = 20

// takeLimits puts a configuration's rate limits in force.
func (n *Node) takeLimits(c *config.Config) {
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
		if i == loggedLimits {
			break
		}
		n.log.WithFields(logrus.Fields{
			"organisation": change.Organisation, "version": c.Version, "others": len(changes) - 1,
			"before": describeLimit(change.Before), "limit": describeLimit(change.Now),
		}).Info("rate limit changed")
	}
}

// describeLimit returns a limit for a line of the log.
func describeLimit(l *config.RateLimit) string {
	if l == nil {
		return "none"
	}
	return l.String()
}

// isolatedPart divides an equal share, over all hosts, for a host of a large fleet
// that hears no other. The others cannot know how many such hosts there are, and leave
// them nothing: a third of all hosts, out of sight, takes a ninth of a limit, which the
// tolerance covers.
const isolatedPart = 3

// shareLimits tells the limiter of whom this host knows what they let in. A routing host
// hears the other ones; one on standby hears of all of them from its relays.
func (n *Node) shareLimits(now time.Time) {
	v := n.members.View(now)
	hosts, live := len(v.Routing), n.limitLive.most(v.Live, now)
	if now.Sub(n.started) >= firstView {
		// A host that has just started may have counted small hosts among the routing ones,
		// while it knew of few large ones.
		hosts = n.limitSharers.most(hosts, now)
	}
	hosts = max(1, hosts)
	others := n.limiter.Hears(v.Routing, now)
	heard := 1.0
	switch {
	case v.Here && others > 0:
		left := max(1, hosts-n.routed.lost(v.Routing, n.members.Lost, now))
		heard = float64(left) * min(1, float64(others+1)/float64(len(v.Routing)))
	case !v.Here && n.limiter.Hears(v.Relays, now) > 0:
		heard = float64(hosts)
	case live == 1 && n.members.KnowsOthers() && now.Sub(n.started) < sharersFor:
		// Those that it knows of may be at work out of its sight.
		hosts = quota.StartHosts
	case live > member.FewHosts:
		hosts = max(hosts, isolatedPart*live)
	}
	n.limiter.SetHosts(hosts, heard, !v.Here, now)
}

// routed remembers the hosts that routed in the last while, and when they last did.
type routed map[string]time.Time

// lost returns how many hosts that routed a while ago are lost. Others have taken their
// places here; but those that are lost may be cut off and at work, with others in the places
// of this one and those that it hears.
func (r routed) lost(routing []*pb.Heartbeat, isLost func(host string) bool, now time.Time) int {
	for _, h := range routing {
		r[h.Host] = now
	}
	n := 0
	for host, at := range r {
		switch {
		case now.Sub(at) > sharersFor:
			delete(r, host)
		case at.Before(now) && isLost(host):
			n++
		}
	}
	return n
}

// noteRefusals writes a line for each organisation that is no longer over its limit.
func (n *Node) noteRefusals(now time.Time) {
	for _, e := range n.limiter.Ended(now) {
		n.log.WithFields(logrus.Fields{"organisation": e.Organisation, "refused": e.Refused}).Info("organisation below its rate limit again")
	}
}

// quotas returns the organisations' limits for operators, the fullest first.
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
