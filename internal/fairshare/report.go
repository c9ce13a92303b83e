package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// maxReported limits the organisations that a host reports for one service, at about 22 bytes
	// each. A report then fits into a datagram.
	maxReported = 32
	// reportExpiry is the age from which a host's report no longer counts.
	reportExpiry = time.Second
	// isolationTime is how long a host that receives no reports any more keeps to its last known part
	// of the shares.
	isolationTime = 5 * time.Second
	// peerTime is the age at which a host's reports are dropped.
	peerTime = 10 * time.Second
)

// peer is what another host last reported, by service.
type peer struct {
	lastSeen time.Time
	services map[uint32]report
}

// report is the demand for a service at another host.
type report struct {
	at time.Time
	// shortAt is when the service was last short of capacity there, or zero.
	shortAt time.Time
	served  float64
	offered map[uint64]float64
}

// Apply takes another host's report.
func (t *Table) Apply(host string, demands []*pb.ServiceDemand, refused []uint64, now time.Time) {
	if len(demands) == 0 && len(refused) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[host]
	if p == nil {
		p = &peer{services: map[uint32]report{}}
		t.peers[host] = p
	}
	p.lastSeen = now
	for _, d := range demands {
		r := report{at: now, served: sane(d.Served), offered: make(map[uint64]float64, len(d.Organisations))}
		if d.ShortMs != nil && *d.ShortMs >= 0 {
			r.shortAt = now.Add(-time.Duration(min(unknownTime.Milliseconds(), *d.ShortMs)) * time.Millisecond)
		}
		for _, o := range d.Organisations {
			r.offered[o.Organisation] += sane(o.Offered)
		}
		p.services[d.Service] = r
	}
	for _, digest := range refused {
		t.refused.add(digest, 0, now)
	}
}

// sane returns a reported rate, or 0 if it is none.
func sane(rate float64) float64 {
	if rate >= 0 && rate <= math.MaxFloat32 {
		return rate
	}
	return 0
}

// Report returns what this host reports to the others: the demand for services that are or were
// recently short of capacity, and the digests of requests that it refused.
func (t *Table) Report(now time.Time) ([]*pb.ServiceDemand, []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []*pb.ServiceDemand
	for key, s := range t.services {
		if t.sinceShort(s, now) < reportTime {
			out = append(out, s.demand(key, now))
		}
	}
	slices.SortFunc(out, func(a, b *pb.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return out, t.refused.report(now)
}

func (s *service) demand(key uint32, now time.Time) *pb.ServiceDemand {
	d := &pb.ServiceDemand{Service: key, Served: s.served.perSecond(now)}
	if !s.lastShort.IsZero() {
		age := now.Sub(s.lastShort).Milliseconds()
		d.ShortMs = &age
	}
	for org, a := range s.accounts {
		if offered := a.offered.perSecond(now); offered > 0 {
			d.Organisations = append(d.Organisations, &pb.OrganisationDemand{Organisation: org, Offered: offered})
		}
	}
	slices.SortFunc(d.Organisations, func(a, b *pb.OrganisationDemand) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Organisation, b.Organisation))
	})
	d.Organisations = d.Organisations[:min(maxReported, len(d.Organisations))]
	return d
}

// expire drops reports of hosts and accounts of organisations that are no longer needed.
func (t *Table) expire(now time.Time) {
	for host, p := range t.peers {
		if now.Sub(p.lastSeen) >= peerTime {
			delete(t.peers, host)
		}
	}
	for _, s := range t.services {
		for key, a := range s.accounts {
			if now.Sub(a.lastSeen) >= accountTime {
				delete(s.accounts, key)
			}
		}
		for server, until := range s.fullUntil {
			if !now.Before(until) {
				delete(s.fullUntil, server)
			}
		}
	}
}
