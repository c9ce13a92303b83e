// Package member keeps the table of entry hosts: what the platform lists, what
// heartbeats say, who is alive, leaving or dead, and whether this host itself
// is out of touch.
package member

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
)

// Table is the membership table of one host. All methods are safe for
// concurrent use; mu is its only lock and nothing else is locked under it.
type Table struct {
	mu        sync.Mutex
	self      *pb.HostEntry
	hosts     map[string]*host
	listed    map[string]platform.ListedHost
	deadAfter time.Duration
	// started is when the table was made.
	started time.Time
	// superseded: another process with this host's ID started later.
	superseded bool
}

type host struct {
	entry *pb.HostEntry
	// heard is when the beat last advanced, by the local monotonic clock.
	heard time.Time
}

// NewTable returns a table that holds only self. A host whose beat does not
// advance for deadAfter counts as dead.
func NewTable(self *pb.HostEntry, deadAfter time.Duration) *Table {
	return &Table{
		self:      self,
		hosts:     map[string]*host{},
		listed:    map[string]platform.ListedHost{},
		deadAfter: deadAfter,
		started:   time.Now(),
	}
}

// Unheard returns the listed hosts that a host which just started has not heard
// of yet. Once it had time to, they count as dead.
func (t *Table) Unheard(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.started) > t.deadAfter {
		return nil
	}
	var out []string
	for id := range t.listed {
		if id != t.self.Id && t.hosts[id] == nil {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Self returns a copy of this host's own entry.
func (t *Table) Self() *pb.HostEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clone(t.self)
}

// Progress is what a host tells of itself with each heartbeat.
type Progress struct {
	// Applied and Known are configuration offsets.
	Applied, Known uint64
	// ClaimsRead is when the claims stream was last read.
	ClaimsRead time.Time
	// Ready means callers may be sent here.
	Ready bool
}

// Beat advances this host's heartbeat.
func (t *Table) Beat(p Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.self.AppliedOffset = p.Applied
	t.self.KnownOffset = p.Known
	t.self.ClaimsReadMs = p.ClaimsRead.UnixMilli()
	t.self.Ready = p.Ready
}

// Leave marks this host as leaving; it stays so.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.self.Beat++
}

// SetListed takes the platform's list. A leaving mark there counts; presence
// alone proves nothing, since the list lags.
func (t *Table) SetListed(list []platform.ListedHost) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[string]platform.ListedHost, len(list))
	for _, l := range list {
		t.listed[l.ID] = l
	}
}

// Merge takes entries from a heartbeat. A higher incarnation replaces a lower
// one; within an incarnation only a higher beat counts.
func (t *Table) Merge(entries []*pb.HostEntry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		t.merge(e, now)
	}
}

func (t *Table) merge(e *pb.HostEntry, now time.Time) {
	if e.Id == t.self.Id {
		t.superseded = t.superseded || e.Incarnation > t.self.Incarnation
		return
	}
	old := t.hosts[e.Id]
	if old == nil || e.Incarnation > old.entry.Incarnation ||
		e.Incarnation == old.entry.Incarnation && e.Beat > old.entry.Beat {
		t.hosts[e.Id] = &host{entry: clone(e), heard: now}
	}
}

// Superseded reports whether a later process with this host's ID was heard of.
func (t *Table) Superseded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// Entries returns what a heartbeat carries: self and every host that is alive.
func (t *Table) Entries(now time.Time) []*pb.HostEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []*pb.HostEntry{clone(t.self)}
	for _, h := range t.hosts {
		if t.alive(h, now) {
			out = append(out, clone(h.entry))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

func (t *Table) alive(h *host, now time.Time) bool { return now.Sub(h.heard) < t.deadAfter }

// Status is a host as this host sees it.
type Status struct {
	Entry *pb.HostEntry
	Alive bool
	// Leaving is true when the host itself or the platform's list says so.
	Leaving bool
}

// Hosts returns every known host with its status, self included, by ID.
func (t *Table) Hosts(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Status{{clone(t.self), true, t.self.Leaving}}
	for _, h := range t.hosts {
		leaving := h.entry.Leaving || t.listed[h.entry.Id].Leaving
		out = append(out, Status{clone(h.entry), t.alive(h, now), leaving})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Entry.Id < out[j].Entry.Id })
	return out
}

// Serving returns the hosts that callers may be sent to: alive, ready and not
// leaving.
func (t *Table) Serving(now time.Time) []*pb.HostEntry {
	var out []*pb.HostEntry
	for _, s := range t.Hosts(now) {
		if s.Alive && s.Entry.Ready && !s.Leaving {
			out = append(out, s.Entry)
		}
	}
	return out
}

// Peer is where another host is reached.
type Peer struct {
	ID      string
	Address string
}

// Targets returns up to n peers for the next heartbeats, drawn at random from
// all that are listed or were heard of. Hosts long dead and not listed are left out.
func (t *Table) Targets(now time.Time, n int, rng *rand.Rand) []Peer {
	t.mu.Lock()
	byID := map[string]string{}
	for id, l := range t.listed {
		byID[id] = l.PeerAddress
	}
	for id, h := range t.hosts {
		if _, listed := t.listed[id]; listed || t.alive(h, now) {
			byID[id] = h.entry.PeerAddress
		}
	}
	delete(byID, t.self.Id)
	t.mu.Unlock()
	peers := make([]Peer, 0, len(byID))
	for id, address := range byID {
		peers = append(peers, Peer{id, address})
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].ID < peers[j].ID })
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// InTouchWithMost reports whether this host has heard, within silence, of more
// than half of the listed hosts, itself included.
func (t *Table) InTouchWithMost(now time.Time, silence time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, total := 1, 1
	for id := range t.listed {
		if id == t.self.Id {
			continue
		}
		total++
		if h := t.hosts[id]; h != nil && now.Sub(h.heard) < silence {
			heard++
		}
	}
	return 2*heard > total
}

// NewestKnown returns the highest configuration offset any live host has heard
// of, and a live host that has applied the most.
func (t *Table) NewestKnown(now time.Time) (known uint64, best Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var applied uint64
	for _, h := range t.hosts {
		if !t.alive(h, now) {
			continue
		}
		known = max(known, h.entry.KnownOffset, h.entry.AppliedOffset)
		if h.entry.AppliedOffset >= applied {
			applied = h.entry.AppliedOffset
			best = Peer{h.entry.Id, h.entry.PeerAddress}
		}
	}
	return known, best
}

// ClaimsRead returns when any live host, self left out, last read the claims.
func (t *Table) ClaimsRead(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest int64
	for _, h := range t.hosts {
		if t.alive(h, now) {
			newest = max(newest, h.entry.ClaimsReadMs)
		}
	}
	return time.UnixMilli(newest)
}

func clone(e *pb.HostEntry) *pb.HostEntry { return proto.Clone(e).(*pb.HostEntry) }
