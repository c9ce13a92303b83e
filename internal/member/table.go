// Package member keeps the table of entry hosts: who sends heartbeats, who is
// ready, leaving or dead, and whom callers may be sent to.
package member

import (
	"sort"
	"sync"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// Table is the membership table of one host. It is safe for concurrent use; mu
// is its only lock and nothing else is locked under it.
type Table struct {
	deadAfter time.Duration

	mu    sync.Mutex
	hosts map[string]*host
	// addresses holds every peer address heard of.
	addresses map[string]*address
}

type host struct {
	beat  *pb.Heartbeat
	heard time.Time
}

type address struct {
	// heard is when the address last sent a heartbeat, or when it was learned.
	heard time.Time
	tried time.Time
}

// NewTable returns an empty table. A host that is silent for deadAfter counts
// as dead.
func NewTable(deadAfter time.Duration) *Table {
	return &Table{deadAfter: deadAfter, hosts: map[string]*host{}, addresses: map[string]*address{}}
}

// Learn takes the peer address of a host that was not heard of.
func (t *Table) Learn(peer string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer != "" && t.addresses[peer] == nil {
		t.addresses[peer] = &address{heard: now}
	}
}

// Heard takes a heartbeat. It returns the host's last heartbeat before, and
// whether this one is newer. Another incarnation always is: only one process can
// send from a host's address.
func (t *Table) Heard(b *pb.Heartbeat, now time.Time) (before *pb.Heartbeat, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts[b.Host]
	if old != nil && old.beat.Incarnation == b.Incarnation && old.beat.Sequence >= b.Sequence {
		return old.beat, false
	}
	t.hosts[b.Host] = &host{b, now}
	a := t.addresses[b.PeerAddress]
	if a == nil {
		a = &address{}
		t.addresses[b.PeerAddress] = a
	}
	a.heard = now
	if old == nil {
		return nil, true
	}
	return old.beat, true
}

// Host is another host as this one sees it.
type Host struct {
	Beat  *pb.Heartbeat
	Alive bool
	Age   time.Duration
}

// Hosts returns the other hosts by ID.
func (t *Table) Hosts(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		age := now.Sub(h.heard)
		out = append(out, Host{h.beat, age < t.deadAfter, age})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Beat.Host < out[j].Beat.Host })
	return out
}

// Expire removes hosts that have long been dead and returns those that died
// since the last call, by ID.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var died []string
	for id, h := range t.hosts {
		if now.Sub(h.heard) >= t.deadAfter {
			died = append(died, id)
			delete(t.hosts, id)
		}
	}
	sort.Strings(died)
	return died
}

// Serving returns the other hosts that callers may be sent to.
func (t *Table) Serving(now time.Time) []*pb.Heartbeat {
	var out []*pb.Heartbeat
	for _, h := range t.Hosts(now) {
		if h.Alive && h.Beat.Ready && !h.Beat.Leaving {
			out = append(out, h.Beat)
		}
	}
	return out
}

const (
	// slowAfter is the silence after which an address is tried less often; it is
	// still tried, since a host that was restarted while the store is down learns
	// of the others only from their heartbeats.
	slowAfter    = 3 * time.Second
	slowInterval = 500 * time.Millisecond
	// forgetAfter is the silence after which an address is given up.
	forgetAfter = 3 * time.Minute
)

// Targets returns the addresses to send a heartbeat to now.
func (t *Table) Targets(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for peer, a := range t.addresses {
		silence := now.Sub(a.heard)
		if silence > forgetAfter {
			delete(t.addresses, peer)
			continue
		}
		if silence > slowAfter && now.Sub(a.tried) < slowInterval {
			continue
		}
		a.tried = now
		out = append(out, peer)
	}
	sort.Strings(out)
	return out
}

// Addresses returns up to n peer addresses heard lately, for other hosts.
func (t *Table) Addresses(now time.Time, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for peer, a := range t.addresses {
		if len(out) == n {
			break
		}
		if now.Sub(a.heard) < slowAfter {
			out = append(out, peer)
		}
	}
	return out
}
