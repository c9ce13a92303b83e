package node

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/relay"
)

// addressed is a heartbeat and the peer addresses that it is sent to.
type addressed struct {
	heartbeat *pb.Heartbeat
	to        []string
}

// forStandby returns the heartbeats for standby hosts, given the part that all of them get. Those with requests
// in flight also get the loads of all hosts at servers and, if this host is their relay, what other hosts report
// about servers, as they receive the reports of no other host.
func (n *Node) forStandby(b *pb.Heartbeat, to []string, now time.Time) []addressed {
	var working, relayed []string
	if n.directoryByLoad() && b.Routing {
		hosts := n.replicas.HostsWithRequests()
		working = common(to, n.members.PeerAddresses(hosts))
		relayed = common(working, n.members.RelayedAddresses(hosts, now))
	}
	out := []addressed{{b, without(to, working)}}
	if len(working) == 0 {
		return out
	}
	withLoads := proto.CloneOf(b)
	withLoads.TotalLoads = n.replicas.TotalLoads(now)
	out = append(out, addressed{withLoads, without(working, relayed)})
	if len(relayed) > 0 {
		withReports := proto.CloneOf(withLoads)
		withReports.Named = n.replicas.NamedVersions(now)
		n.relayReports.Fill(withReports, now)
		out = append(out, addressed{withReports, relayed})
	}
	return out
}

// common returns the elements of a list that are also in another one.
func common(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return !slices.Contains(other, s) })
}

func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(other, s) })
}

// applyTotalLoads applies the loads of all hosts that a relay reports to this host. A routing host receives
// the loads of each host instead.
func (n *Node) applyTotalLoads(b *pb.Heartbeat, now time.Time) {
	switch {
	case !n.directoryByLoad():
	case n.members.View(now).SelfRouting:
		n.replicas.DropTotalLoads()
	case len(b.TotalLoads) > 0:
		n.replicas.SetTotalLoads(b.TotalLoads, now)
	}
}

// observeReports records what heartbeats of this or another host report, to pass it on to standby hosts.
func (n *Node) observeReports(parts []*pb.Heartbeat, now time.Time) {
	if n.relayReports == nil || !n.members.View(now).SelfRouting {
		return
	}
	for _, b := range parts {
		n.relayReports.Observe(b, now)
	}
}

// applyRelayed applies the reports of other hosts that a relay passes on to this host. A routing host receives
// them from the hosts themselves.
func (n *Node) applyRelayed(b *pb.Heartbeat, now time.Time) {
	if n.relayReceived == nil || len(b.RelayedReports)+len(b.RelayedPrefixes) == 0 || n.members.View(now).SelfRouting {
		return
	}
	reports, prefixes := n.relayReceived.Accept(b, now)
	counts := map[string]int{obs.RelayedPrefix: len(prefixes)}
	for _, r := range reports {
		switch r.Kind {
		case pb.RelayedReport_LOADING:
			n.replicas.MarkLoadingLonger(r.Server, r.Until)
			counts[obs.RelayedLoading]++
		case pb.RelayedReport_DOWN:
			n.replicas.SuspectUntil(b.Host, r.Server, r.At, r.Until, now)
			counts[obs.RelayedDown]++
		case pb.RelayedReport_WEIGHTS:
			if n.replicas.RecordWeights(r.Server, r.Model, r.Version) {
				n.index.Clear(r.Server)
			}
			counts[obs.RelayedWeights]++
		}
	}
	for _, p := range prefixes {
		n.applySentAt([]*pb.PrefixSent{p.Sent}, p.At)
	}
	if n.metrics != nil {
		for kind, count := range counts {
			n.metrics.Relayed(kind, count)
		}
	}
	if n.relayLog.begins(now) {
		n.log.WithFields(logrus.Fields{"relay": b.Host, "servers": len(reports), "prefixes": len(prefixes)}).Info("relays report what other hosts know of servers")
	}
}

// relayLog logs when relays start to pass on reports to this host. Its zero value is ready to use; it is safe for
// concurrent use.
type relayLog struct {
	mu   sync.Mutex
	last time.Time
}

// begins records that reports were received, and reports whether none were received for so long before that all
// earlier ones have lapsed.
func (r *relayLog) begins(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	begins := r.last.IsZero() || now.Sub(r.last) >= relay.Retention
	r.last = now
	return begins
}
