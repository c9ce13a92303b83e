package relay

import (
	"sync"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// Received decides which of the reports that relays pass on to a standby host it applies. It is safe for
// concurrent use.
type Received struct {
	self    uint32
	started StartTimes

	mu sync.Mutex
	// applied holds when each prompt that was applied had been sent, by ID: two relays pass on the same
	// prompts, several times each.
	applied map[uint64]time.Time
	sweptAt time.Time
}

// Report is a report about a backend server that a relay passed on.
type Report struct {
	Server  string
	Kind    pb.RelayedReport_Kind
	Model   string
	Version int64
	// At is when a host made the report, or a little later; Until is when it lapses.
	At, Until time.Time
}

// Prefix is a prompt that another host sent to a backend server at a time.
type Prefix struct {
	Sent *pb.PrefixSent
	At   time.Time
}

// NewReceived returns a Received for a host.
func NewReceived(host string, started StartTimes) *Received {
	return &Received{self: hostHash(host), started: started, applied: map[uint64]time.Time{}}
}

// Accept returns what is to be applied of a relay's heartbeat: what has not lapsed, and is about the
// incarnation of a server that this host knows. A prompt is returned once. Prompts that this host sent itself
// are left out.
func (r *Received) Accept(b *pb.Heartbeat, now time.Time) (reports []Report, prefixes []Prefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	for _, m := range b.RelayedReports {
		at := reportedAt(m.AgeMs, now)
		if !lapsed(m.Kind, now.Sub(at)) && r.isCurrent(m.Replica, m.Started) {
			reports = append(reports, Report{m.Replica, m.Kind, m.Model, m.Version, at, at.Add(timeout(m.Kind))})
		}
	}
	for _, m := range b.RelayedPrefixes {
		at := reportedAt(m.AgeMs, now)
		if _, known := r.applied[m.Id]; known || uint32(m.Id>>32) == r.self || now.Sub(at) >= Retention {
			continue
		}
		if r.isCurrent(m.GetSent().GetReplica(), m.Started) {
			r.applied[m.Id] = at
			prefixes = append(prefixes, Prefix{m.Sent, at})
		}
	}
	return reports, prefixes
}

func (r *Received) isCurrent(server string, started int64) bool {
	current, known := r.started(server)
	return known && current == started
}

// sweep removes the prompts that no relay passes on any more. Ages lack the time in transit, so that
// a prompt may arrive a little later than after Retention.
func (r *Received) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < Retention {
		return
	}
	r.sweptAt = now
	for id, at := range r.applied {
		if now.Sub(at) >= 2*Retention {
			delete(r.applied, id)
		}
	}
}

func reportedAt(ageMs int32, now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond)
}
