package node

import (
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// addDemand adds the demand for services that are short of capacity, and the requests refused for that.
func (n *Node) addDemand(b *pb.Heartbeat, now time.Time) {
	if n.shares != nil {
		b.Demands, b.Refused = n.shares.Report(now)
	}
}

// applyDemand applies the same of another host.
func (n *Node) applyDemand(b *pb.Heartbeat, now time.Time) {
	if n.shares != nil {
		n.shares.Apply(b.Host, b.Demands, b.Refused, now)
	}
}

// logShortages logs the services that have become short of capacity or are no longer, and updates their
// metrics.
func (n *Node) logShortages(now time.Time) {
	if n.shares == nil {
		return
	}
	for _, s := range n.shares.TakeStatuses(now) {
		n.metrics.Shortage(s.Service, s.Short, s.Refused, s.Returned)
		switch {
		case !s.Changed:
		case s.Short:
			n.log.WithFields(logrus.Fields{"service": s.Service, "capacity": s.Capacity, "offered": s.Offered}).Warn("service short of capacity")
		default:
			n.log.WithFields(logrus.Fields{"service": s.Service, "refused": s.EpisodeRefused, "returned": s.EpisodeReturned}).Info("service no longer short of capacity")
		}
	}
}
