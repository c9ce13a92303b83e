package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/forward"
	"github.com/briarlink/briarlink/internal/reach"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/silence"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// neverReachedAge is the reported age of the contact with a service that this host never reached.
const neverReachedAge = 24 * time.Hour

// isCutOff reports whether this host reaches no server of a service although another host does. Where
// none does, the servers are down, and requests are tried here.
func (n *Node) isCutOff(service string) bool {
	return n.replicas.LostContact(service) && n.reach.AnyReaches(service, clock.Now())
}

// reachesFew reports whether other hosts reach many more servers of a service than this host, so that its
// callers are better served there.
func (n *Node) reachesFew(service string) bool { return n.replicas.ReachesFew(service) }

// isDetachedFrom reports whether a service is better used by other hosts, because of this host's links.
func (n *Node) isDetachedFrom(service string) bool {
	return n.isCutOff(service) || n.reachesFew(service)
}

// compareCoverage updates of which services this host reaches few servers, by the other hosts' reports.
func (n *Node) compareCoverage(now time.Time) {
	for _, c := range n.replicas.Contacts() {
		n.replicas.SetReachesFew(c.Service, !c.Lost && c.Coverage.MuchLess(n.reach.BestCoverage(c.Service, now)))
	}
}

// forwardTarget returns a host to pass requests for a service on to.
func (n *Node) forwardTarget(service string, exclude map[string]bool) (forward.Host, bool) {
	now := clock.Now()
	var hosts []*pb.Heartbeat
	added := map[string]bool{}
	v := n.members.View(now)
	for _, b := range append(v.Serving[:len(v.Serving):len(v.Serving)], v.Routing...) {
		if !exclude[b.Host] && !added[b.Host] && b.Host != n.settings.Host.Id && b.Ready && !b.Leaving {
			added[b.Host] = true
			hosts = append(hosts, b)
		}
	}
	picked := n.reach.Pick(service, hosts, now)
	if picked == nil {
		return forward.Host{}, false
	}
	return forward.Host{ID: picked.Host, CallerAddress: picked.CallerAddress}, true
}

// recordForwardServed records that a host had a request run that was passed on to it: it reaches the service.
func (n *Node) recordForwardServed(host, service string) { n.reach.Served(host, service, clock.Now()) }

// contactMessages returns this host's contact with each service, for heartbeats; toStandby adds the coverage of
// the host that reaches most of it.
func (n *Node) contactMessages(toStandby bool, now time.Time) []*pb.ServiceContact {
	var out []*pb.ServiceContact
	for _, c := range n.replicas.Contacts() {
		age := neverReachedAge
		if !c.ReachedAt.IsZero() {
			age = now.Sub(c.ReachedAt)
		}
		m := &pb.ServiceContact{
			Service: reach.ServiceHash(c.Service), Lost: c.Lost, AgeMs: age.Milliseconds(),
			Reached: int32(c.Coverage.Reached), Missing: int32(c.Coverage.Missing),
		}
		if toStandby {
			best := n.reach.BestCoverage(c.Service, now)
			if !c.Lost && c.Coverage.Reached > best.Reached {
				best = c.Coverage
			}
			if best.Reached == 0 && n.reach.AnyReaches(c.Service, now) {
				// Builds before this one report no coverage.
				best.Reached = 1
			}
			m.BestReached, m.BestMissing = int32(best.Reached), int32(best.Missing)
		}
		out = append(out, m)
	}
	return out
}

// probeContacts checks whether this host reaches the services that it seems to be cut off from.
func (n *Node) probeContacts(ctx context.Context) {
	now := clock.Now()
	for _, p := range n.replicas.TakeContactProbes(now) {
		if p.Ask {
			go n.askContact(ctx, p)
			continue
		}
		go func() {
			began := clock.Now()
			err := n.pool.Probe(ctx, p.Address)
			n.replicas.RecordContactProbe(p.ID, err == nil, began, clock.Now())
		}()
	}
	for service, since := range n.replicas.SilentServices(now) {
		if n.reach.ReachedSince(service, since, now) || now.Sub(since) >= idleHostsSilence && n.reach.MayReach(service, now) {
			n.replicas.LoseContact(service, now)
		}
	}
	n.checkIdleContacts(now)
	n.compareCoverage(now)
}

const (
	// idleHostsSilence is how long a service must be silent for this host to count as cut off from it if no
	// other host is known to have reached it meanwhile, but one may be idle.
	idleHostsSilence = 3 * time.Second
	// maxContactAge is the age of this host's contact with a service from which it is checked while
	// another host is cut off from it. It is below reach.MaxAge.
	maxContactAge = 3 * time.Second
)

// checkIdleContacts has the contact with services checked that another host is cut off from, if this host
// may be asked to run that host's requests and has not reached them of late.
func (n *Node) checkIdleContacts(now time.Time) {
	for _, c := range n.replicas.Contacts() {
		if !c.Lost && now.Sub(c.ReachedAt) >= maxContactAge && n.reach.LostAnywhere(c.Service, now) && n.servesCallers(now) {
			n.replicas.CheckContact(c.Service, now)
		}
	}
}

// servesCallers reports whether callers are sent to this host, or may be.
func (n *Node) servesCallers(now time.Time) bool {
	v := n.members.View(now)
	return v.SelfRouting || slices.ContainsFunc(v.Serving, func(b *pb.Heartbeat) bool { return b.Host == n.settings.Host.Id })
}

// askContact sends a health check to a server. An answer of any kind proves contact. A server that limits
// its requests is asked with a permit.
func (n *Node) askContact(ctx context.Context, p replica.ContactProbe) {
	ctx, cancel := context.WithTimeout(ctx, silence.AskTimeout)
	defer cancel()
	if n.beforeEngineCall(ctx, p.Address, platform.CallReport) != nil {
		return
	}
	service := n.service(p.Service)
	method, target, header := platform.HealthCheck(service.Engine != nil, service.HealthPath, p.ID)
	began := clock.Now()
	n.replicas.RecordContactAsked(p.ID, began)
	err := n.pool.Ask(ctx, p.Address, &upstream.Request{Method: method, Target: target, Host: p.Address, Header: header})
	switch {
	case err == nil:
		n.replicas.RecordContactAnswer(p.ID, began, clock.Now())
	case ctx.Err() == nil:
		n.replicas.RecordContactProbe(p.ID, false, began, clock.Now())
	}
}

// service returns the configuration of a service, an empty one if there is none.
func (n *Node) service(name string) *config.Service {
	if c := n.config.Load(); c != nil && c.Services[name] != nil {
		return c.Services[name]
	}
	return &config.Service{Name: name}
}

// updateDetached announces to the other hosts whether this host is cut off from a service that others
// reach, or from most of its servers, so that directories name others.
func (n *Node) updateDetached() {
	var services []string
	for _, c := range n.replicas.Contacts() {
		if n.isDetachedFrom(c.Service) {
			services = append(services, c.Service)
		}
	}
	if !n.members.SetDetached(len(services) > 0) {
		return
	}
	n.log.WithFields(logrus.Fields{"detached": len(services) > 0, "services": services}).Warn("this host's callers are sent elsewhere while it reaches no server of a service, or few")
	n.requestHeartbeatToAll()
}

// updateSlotShare sets this host's share of the slots of brittle servers: the hosts that directories name
// share them.
func (n *Node) updateSlotShare() {
	serving := n.members.View(clock.Now()).Serving
	index := slices.IndexFunc(serving, func(b *pb.Heartbeat) bool { return b.Host == n.settings.Host.Id })
	n.replicas.SetSlotShare(replica.SlotShare{Hosts: len(serving), Index: index})
}
