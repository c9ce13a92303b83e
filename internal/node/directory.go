package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/directory"
	"github.com/briarlink/briarlink/internal/hostload"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/obs"
)

// directoryByLoad reports whether hosts report their utilisation and directories consider it.
func (n *Node) directoryByLoad() bool { return n.settings.Overload.GetDirectoryByLoad() }

// measureLoad returns this host's utilisation for its heartbeats, 0 if it is unknown or not reported.
func (n *Node) measureLoad(now time.Time) int32 {
	if !n.directoryByLoad() {
		return 0
	}
	cpu, err := hostload.ProcessTime()
	if err != nil {
		n.log.WithError(err).Debug("CPU time not read")
		return 0
	}
	n.load.Observe(cpu, now)
	return n.load.Utilisation()
}

// workRetention is how long after its last request a standby host still reports to all routing hosts:
// twice the time over which utilisation is measured. They would otherwise keep a high one for seconds.
const workRetention = time.Second

// hasWork reports whether the routing hosts need the reports of this host.
func (n *Node) hasWork(now time.Time) bool {
	if n.replicas.HasRequests() {
		n.workedAt = now
		return true
	}
	return n.directoryByLoad() && !n.workedAt.IsZero() && now.Sub(n.workedAt) < workRetention
}

// answerDirectory answers a directory query of callers in an availability zone.
func (n *Node) answerDirectory(zone string) []string {
	now := clock.Now()
	plan := n.directoryPlan(zone, now)
	names := plan.Addresses(newRandom())
	n.metrics.DirectoryHosts.Update(float64(len(names)))
	n.directoryLog.record(n.log, zone, plan, now)
	return names
}

// directory returns, in random order, addresses of hosts for callers in an availability zone.
func (n *Node) directory(zone string) []string {
	return n.directoryPlan(zone, clock.Now()).Addresses(newRandom())
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// directoryPlans are the plans for a view. They are computed once for each view and zone, as hundreds of
// callers may ask in the time, and thousands of hosts may be on standby.
type directoryPlans struct {
	view  *member.View
	fleet directory.Fleet
	// byZone maps zones to plans. Callers may state any zone; all those without a host have the plan of "".
	byZone sync.Map
}

// hasZone reports whether a host of an availability zone may be named.
func (p *directoryPlans) hasZone(zone string) bool {
	inZone := func(h directory.Host) bool { return h.Zone == zone }
	return slices.ContainsFunc(p.fleet.Serving, inZone) || slices.ContainsFunc(p.fleet.Standby, inZone)
}

func (n *Node) directoryPlan(zone string, now time.Time) *directory.Plan {
	v := n.members.View(now)
	plans := n.directoryPlans.Load()
	if plans == nil || plans.view != v {
		plans = &directoryPlans{view: v, fleet: directory.Fleet{Serving: n.directoryHosts(v.Serving), Standby: n.directoryHosts(v.Standby)}}
		n.directoryPlans.Store(plans)
	}
	if known, ok := plans.byZone.Load(zone); ok {
		return known.(*directory.Plan)
	}
	if zone != "" && !plans.hasZone(zone) {
		return n.directoryPlan("", now)
	}
	target := 0.0
	// Standby hosts have no slots of brittle servers, and would refuse most of their requests.
	if n.directoryByLoad() && !n.replicas.HasBrittle() {
		target = n.settings.Overload.TargetUtilisation
	}
	plan := directory.NewPlan(zone, plans.fleet, target)
	plans.byZone.Store(zone, plan)
	return plan
}

func (n *Node) directoryHosts(hosts []*pb.Heartbeat) []directory.Host {
	out := make([]directory.Host, len(hosts))
	for i, b := range hosts {
		out[i] = directory.Host{Address: b.CallerAddress, Zone: b.AvailabilityZone, Cores: b.Cores, Utilisation: b.Utilisation}
		if b.Host == n.settings.Host.Id {
			out[i].Utilisation = n.load.Utilisation()
		}
	}
	return out
}

// maxLoggedZones limits the number of zones that a directoryLog tracks, as callers state the zone.
const maxLoggedZones = 64

// directoryLog logs when directory answers of this host start and stop naming further hosts because of
// load. Its zero value is ready to use; it is safe for concurrent use.
type directoryLog struct {
	mu sync.Mutex
	// further holds the zones for which further hosts are named.
	further map[string]bool
	limiter obs.Limiter
}

func (r *directoryLog) record(log *logrus.Logger, zone string, p *directory.Plan, now time.Time) {
	if !r.changes(zone, p.Further > 0) {
		return
	}
	others, ok := r.limiter.Allow(now)
	if !ok {
		return
	}
	log.WithFields(logrus.Fields{"zone": zone, "further": p.Further, "usual": p.Usual, "others": others}).Info("directory names other hosts by load")
}

// changes reports whether further hosts are named for a zone from now on, or no longer.
func (r *directoryLog) changes(zone string, further bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.further[zone] == further || further && len(r.further) >= maxLoggedZones {
		return false
	}
	if r.further == nil {
		r.further = map[string]bool{}
	}
	if further {
		r.further[zone] = true
	} else {
		delete(r.further, zone)
	}
	return true
}

// sendToStandby sends a heartbeat to standby hosts. Those with requests in flight also get the loads of
// all hosts at servers, as they receive the reports of no other host.
func (n *Node) sendToStandby(b *pb.Heartbeat, to []string, now time.Time) {
	var working, rest []string
	if n.directoryByLoad() && b.Routing {
		withRequests := n.members.PeerAddresses(n.replicas.HostsWithRequests())
		for _, address := range to {
			if slices.Contains(withRequests, address) {
				working = append(working, address)
			}
		}
	}
	for _, address := range to {
		if !slices.Contains(working, address) {
			rest = append(rest, address)
		}
	}
	if len(rest) > 0 {
		n.send(b, rest)
	}
	if len(working) > 0 {
		b.TotalLoads = n.replicas.TotalLoads(now)
		n.send(b, working)
	}
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
