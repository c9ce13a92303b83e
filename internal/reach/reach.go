// Package reach keeps which hosts reach the backend servers of which services, as they report it, and
// picks a host to pass a request on to.
package reach

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/replica"
)

const (
	// MaxAge is how long after a host reached a service it counts as reaching it, unless it reports that
	// it is cut off.
	MaxAge = 5 * time.Second
	// freshAge is the age below which a host's contact with a service is preferred to an older one: the host may
	// be cut off as well and not know, if it has had no requests since. It is several heartbeats.
	freshAge = time.Second
	// reportTTL is how long a report counts. It is repeated with each heartbeat.
	reportTTL = 3 * time.Second
	// trialInterval is the minimum time between requests for a service that are passed on to a host
	// which has not reached it recently.
	trialInterval = 300 * time.Millisecond
	// sameZoneWeight is how much likelier a host of the own availability zone is picked.
	sameZoneWeight = 3.0
)

// Table holds the reports of other hosts. It is safe for concurrent use; mu is its only lock.
type Table struct {
	zone string

	mu    sync.Mutex
	hosts map[string]map[uint32]report
	// trials holds, by service, when a request was last passed on as a trial.
	trials map[uint32]time.Time
}

// report is what a host reported about one service.
type report struct {
	lost       bool
	reachedAt  time.Time
	receivedAt time.Time
	coverage   replica.Coverage
	// best is the coverage of the host that reaches most, as far as the reporting host knows; zero if it does
	// not say.
	best replica.Coverage
}

// NewTable returns the table of a host in an availability zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, hosts: map[string]map[uint32]report{}, trials: map[uint32]time.Time{}}
}

// ServiceHash returns the hash by which reports name a service.
func ServiceHash(service string) uint32 { return uint32(xxh3.HashString(service)) }

// Apply applies a host's report. It replaces the earlier ones about the same services.
func (t *Table) Apply(host string, contacts []*pb.ServiceContact, now time.Time) {
	if len(contacts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	services := t.hosts[host]
	if services == nil {
		services = map[uint32]report{}
		t.hosts[host] = services
	}
	for _, c := range contacts {
		services[c.Service] = report{
			lost: c.Lost, reachedAt: now.Add(-time.Duration(c.AgeMs) * time.Millisecond), receivedAt: now,
			coverage: replica.Coverage{Reached: int(c.Reached), Missing: int(c.Missing)},
			best:     replica.Coverage{Reached: int(c.BestReached), Missing: int(c.BestMissing)},
		}
	}
}

// Drop forgets the reports of a host that is lost or has restarted.
func (t *Table) Drop(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hosts, host)
}

// AnyReaches reports whether some host has recently reached a service, by its own report or another's.
func (t *Table) AnyReaches(service string, now time.Time) bool {
	return t.any(service, func(r report) bool { return r.reaches(now) || r.knowsBetter(now) })
}

// ReachedSince reports whether some host has reached a service since the given time.
func (t *Table) ReachedSince(service string, since, now time.Time) bool {
	return t.any(service, func(r report) bool { return r.reaches(now) && r.reachedAt.After(since) })
}

// MayReach reports whether some host does not report that it is cut off from a service. It may be idle and
// not know.
func (t *Table) MayReach(service string, now time.Time) bool {
	return t.any(service, func(r report) bool { return !r.lost && now.Sub(r.receivedAt) < reportTTL })
}

// LostAnywhere reports whether some host reports that it is cut off from a service.
func (t *Table) LostAnywhere(service string, now time.Time) bool {
	return t.any(service, func(r report) bool { return r.cutOff(now) })
}

// BestCoverage returns the coverage of a service by the host which reaches most of its servers.
func (t *Table) BestCoverage(service string, now time.Time) replica.Coverage {
	best := replica.Coverage{}
	t.any(service, func(r report) bool {
		if r.reaches(now) && now.Sub(r.receivedAt) < reportTTL && r.coverage.Reached > best.Reached {
			best = r.coverage
		}
		if r.knowsBetter(now) && r.best.Reached > best.Reached {
			best = r.best
		}
		return false
	})
	return best
}

// Served records that a host had a request run by a server of a service.
func (t *Table) Served(host, service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := t.hosts[host]
	if services == nil {
		services = map[uint32]report{}
		t.hosts[host] = services
	}
	hash := ServiceHash(service)
	r := services[hash]
	r.lost, r.reachedAt, r.receivedAt = false, now, now
	services[hash] = r
}

// any reports whether a host's report about a service matches.
func (t *Table) any(service string, matches func(r report) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := ServiceHash(service)
	for _, services := range t.hosts {
		if r, reported := services[hash]; reported && matches(r) {
			return true
		}
	}
	return false
}

func (r report) reaches(now time.Time) bool {
	return !r.lost && !r.receivedAt.IsZero() && now.Sub(r.receivedAt) < MaxAge && now.Sub(r.reachedAt) < MaxAge
}

// knowsBetter reports whether the host reported recently that some host reaches the service.
func (r report) knowsBetter(now time.Time) bool {
	return r.best.Reached > 0 && now.Sub(r.receivedAt) < reportTTL
}

func (r report) cutOff(now time.Time) bool { return r.lost && now.Sub(r.receivedAt) < reportTTL }

// Pick picks one of the given hosts to pass a request for a service on to, or returns nil: one that
// has recently reached the service, at random by size and preferably in the own availability zone. Those
// that reached it within freshAge are preferred; those that reach few of its servers come last. If there is none, one
// that reported nothing is picked, as a standby host hears from few of the others: now and then only, unless some
// host is known to reach the service.
func (t *Table) Pick(service string, hosts []*pb.Heartbeat, now time.Time) *pb.Heartbeat {
	best := t.BestCoverage(service, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := ServiceHash(service)
	var fresh, reaching, few, unknown []*pb.Heartbeat
	for _, b := range hosts {
		switch r := t.hosts[b.Host][hash]; {
		case r.reaches(now) && r.coverage.MuchLess(best):
			few = append(few, b)
		case r.reaches(now) && now.Sub(r.reachedAt) < freshAge:
			fresh = append(fresh, b)
		case r.reaches(now):
			reaching = append(reaching, b)
		case !r.cutOff(now) && !b.Detached:
			unknown = append(unknown, b)
		}
	}
	if len(fresh) > 0 {
		return t.random(fresh)
	}
	if len(reaching) > 0 {
		return t.random(reaching)
	}
	if len(few) > 0 {
		return t.random(few)
	}
	if len(unknown) == 0 || best.Reached == 0 && now.Sub(t.trials[hash]) < trialInterval {
		return nil
	}
	t.trials[hash] = now
	return t.random(unknown)
}

// random picks a host at random, weighted by its cores and its availability zone.
func (t *Table) random(hosts []*pb.Heartbeat) *pb.Heartbeat {
	weight := func(b *pb.Heartbeat) float64 {
		w := b.Cores
		if w <= 0 {
			w = 1
		}
		if b.AvailabilityZone == t.zone {
			w *= sameZoneWeight
		}
		return w
	}
	total := 0.0
	for _, b := range hosts {
		total += weight(b)
	}
	point := rand.Float64() * total
	for _, b := range hosts {
		point -= weight(b)
		if point < 0 {
			return b
		}
	}
	return hosts[len(hosts)-1]
}
