package replica

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/platform"
)

const (
	// rejectionWindow is the time within which a brittle server counts its rejections.
	rejectionWindow = time.Second
	// brittlePerHeartbeat is the number of brittle servers that one heartbeat reports; the next heartbeat
	// continues with the next servers.
	brittlePerHeartbeat = 8
	// brittleReportTime is how long a statement is reported to other hosts.
	brittleReportTime = 10 * time.Second
)

// brittleness is what one incarnation of a server states about whether it falls over if it has to
// reject more than maxRejections requests in a second for want of room.
type brittleness struct {
	brittle       bool
	maxRejections int
	// at is when the server last stated that it is brittle or, by an answer without the statement, that
	// it is not. receivedAt is when this host itself last received such an answer.
	at, receivedAt time.Time
	// rejected counts the rejections of this host's requests, of which the last was at rejectedAt.
	rejected   int64
	rejectedAt time.Time
	// recent are the times of the last rejections of any host's requests, and reported the counts of
	// the other hosts.
	recent   []time.Time
	reported map[string]int64
	// busyAt is when the server was last known to be filled beyond sharedSlots, calmEndedAt when it became so
	// after it had not been for calmTime.
	busyAt, calmEndedAt time.Time
}

// SlotShare says which slots of brittle servers this host may use: the hosts in order share them out.
type SlotShare struct {
	// Hosts is the number of hosts, Index the position of this one; negative if it has no share.
	Hosts, Index int
}

// SetSlotShare sets this host's share of the slots of brittle servers.
func (t *Table) SetSlotShare(share SlotShare) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slotShare = share
}

// isExtra reports whether this host is one of n that may send a server one request beyond their slots.
func (s SlotShare) isExtra(id string, n int) bool {
	if s.Hosts <= 0 || s.Index < 0 {
		return false
	}
	const otherHash = 1
	offset := int(xxh3.HashStringSeed(id, otherHash) % uint64(s.Hosts))
	return (s.Index-offset+s.Hosts)%s.Hosts < n
}

// ownSlots returns how many of a server's slots belong to this host, if the servers before it in the
// service have the given number of slots. The hosts take slots in turn, so that they have equally many
// of the service and add up to those of each server.
func (s SlotShare) ownSlots(before, slots int) int {
	if s.Hosts <= 0 || s.Index < 0 {
		return 0
	}
	n := slots / s.Hosts
	if (s.Index-before%s.Hosts+s.Hosts)%s.Hosts < slots%s.Hosts {
		n++
	}
	return n
}

// ownSlots returns how many of a server's slots belong to this host.
func (t *Table) ownSlots(e *entry) int {
	before := 0
	for _, id := range t.services[e.reg.Service] {
		if id == e.reg.ID {
			break
		}
		before += t.entries[id].reg.Slots
	}
	return t.slotShare.ownSlots(before, e.reg.Slots)
}

// applyBrittleness applies what an answer says. Answers may overtake each other: only an answer to a
// call that began after the statement can end it.
func (t *Table) applyBrittleness(e *entry, a platform.ReplicaAnswer, began, now time.Time) {
	b := &e.brittle
	switch {
	case a.Brittle && a.MaxRejections < 0:
		t.log.WithField("replica", e.reg.ID).Debug("replica states a number of rejections that is no number")
	case a.Brittle:
		b.receivedAt = now
		t.setBrittle(e, true, a.MaxRejections, now)
	case a.Sealed && b.brittle && began.After(b.at):
		b.receivedAt = now
		t.setBrittle(e, false, 0, began)
	}
}

func (t *Table) setBrittle(e *entry, brittle bool, maxRejections int, at time.Time) {
	b := &e.brittle
	changed := b.brittle != brittle || b.maxRejections != maxRejections
	b.brittle, b.maxRejections, b.at = brittle, maxRejections, at
	if !changed {
		return
	}
	if !brittle {
		t.log.WithField("replica", e.reg.ID).Info("replica is no longer brittle")
		return
	}
	t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "rejections_per_second": maxRejections}).Info("replica is brittle: it falls over if it has to reject more requests")
	t.track(t.brittle, e)
}

// Rejected records that the server rejected the request for want of room, and reports whether other
// hosts should be notified at once.
func (f *Flight) Rejected(now time.Time) bool {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	b := &f.entry.brittle
	if !b.brittle {
		return false
	}
	b.rejected++
	b.rejectedAt = now
	f.table.addRejections(f.entry, 1, now)
	return true
}

// addRejections records rejections of a server's requests at the given time.
func (t *Table) addRejections(e *entry, n int64, at time.Time) {
	b := &e.brittle
	t.rejectedAt[e.reg.Service] = at
	// Once the server is used again, the hosts that own its slots come first.
	if reopens := at.Add(rejectionWindow); reopens.After(b.busyAt) {
		b.busyAt = reopens
	}
	for range min(n, int64(b.maxRejections)+1) {
		b.recent = append(b.recent, at)
	}
}

// recentRejections returns how many requests of all hosts the server rejected in the last window, as far
// as this host has a record of them.
func (b *brittleness) recentRejections(now time.Time) int {
	b.recent = slices.DeleteFunc(b.recent, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	return len(b.recent)
}

// hasRoom reports whether this host may send the server another request. A server that is not brittle
// always has room, as it rejects what it cannot take, and so has one that states no slots.
func (t *Table) hasRoom(e *entry, now time.Time) bool {
	if !e.brittle.brittle || e.reg.Slots <= 0 {
		return true
	}
	s := t.slotState(e, now)
	return s.hasRoom()
}

// HasRoom reports whether a server is not brittle, or has room for another request of this host. It checks
// neither its health nor whether it drains.
func (t *Table) HasRoom(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e == nil || t.hasRoom(e, now)
}

// slotState returns what this host knows of a brittle server.
func (t *Table) slotState(e *entry, now time.Time) slotState {
	b := &e.brittle
	s := slotState{
		slots: e.reg.Slots, maxRejections: b.maxRejections, own: t.ownSlots(e), sent: len(e.flights), total: t.requestsAt(e), rejected: b.recentRejections(now),
		sinceRejection: now.Sub(t.rejectedAt[e.reg.Service]), sinceBorrowed: now.Sub(t.borrowedAt[e.reg.Service]), sinceBusy: now.Sub(b.busyAt),
		isExtra: t.slotShare.isExtra(e.reg.ID, int(extraShare*float64(b.maxRejections))),
	}
	if t.slotShare.Index < 0 {
		return s
	}
	if s.sent < s.own {
		s.isYielding = now.Sub(b.calmEndedAt) < fillTime && t.yields(e, s.total, now)
		return s
	}
	own, all := t.usableSlots(e.reg.Service, now)
	ids := t.services[e.reg.Service]
	s.withoutSlots = own == 0
	s.isTurn = isTurn(t.slotShare.Hosts-all, borrowersTogether(s.slots, s.maxRejections), t.slotShare.Index, len(ids), slices.Index(ids, e.reg.ID), now)
	return s
}

// usableSlots returns how many slots belong to this host and how many there are, at the servers of a service
// that this host may use.
func (t *Table) usableSlots(service string, now time.Time) (own, all int) {
	before := 0
	for _, id := range t.services[service] {
		e := t.entries[id]
		here := t.slotShare.ownSlots(before, e.reg.Slots)
		before += e.reg.Slots
		s := slotState{maxRejections: e.brittle.maxRejections, rejected: e.brittle.recentRejections(now)}
		down, _ := e.health.state(now)
		if (e.is(StateServing) || e.is(StateLapsed)) && !e.health.unreachable && !down && !s.tooManyRejections() {
			own += here
			all += e.reg.Slots
		}
	}
	return own, all
}

// yields reports whether this host leaves its slot at a server unused at this moment. No host does where each
// has a slot.
func (t *Table) yields(e *entry, total int, now time.Time) bool {
	before, all := 0, 0
	for _, id := range t.services[e.reg.Service] {
		if id == e.reg.ID {
			before = all
		}
		all += t.entries[id].reg.Slots
	}
	n := t.slotShare.Hosts
	return all < n && yields((t.slotShare.Index-before+n)%n, e.reg.Slots, total, now)
}

// requestsAt returns the number of requests of all hosts at a server, as far as it is known.
func (t *Table) requestsAt(e *entry) int {
	return len(e.flights) + int(t.otherLoads.sums[e.reg.ID].GetRequests())
}

// recordBusy records whether a brittle server is filled beyond the slots that hosts without slots may use.
func (t *Table) recordBusy(e *entry, now time.Time) {
	b := &e.brittle
	if !b.brittle || float64(t.requestsAt(e)) <= sharedSlots*float64(e.reg.Slots) || now.Before(b.busyAt) {
		return
	}
	if now.Sub(b.busyAt) >= calmTime {
		b.calmEndedAt = now
	}
	b.busyAt = now
}

// recordBorrowed records that a request uses a slot of a brittle server beyond this host's own.
func (t *Table) recordBorrowed(e *entry, now time.Time) {
	if e.brittle.brittle && len(e.flights) > t.ownSlots(e) {
		t.borrowedAt[e.reg.Service] = now
	}
}

// IsBrittle reports whether a server says that it is brittle.
func (t *Table) IsBrittle(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && e.brittle.brittle
}

// HasBrittle reports whether any server says that it is brittle.
func (t *Table) HasBrittle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.brittle {
		if e.brittle.brittle {
			return true
		}
	}
	return false
}

// BrittleReports returns what servers recently stated in answers to this host, in turn, for the other
// hosts.
func (t *Table) BrittleReports(now time.Time) []*pb.BrittleServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, e := range t.brittle {
		if now.Sub(e.brittle.receivedAt) < brittleReportTime {
			ids = append(ids, id)
		} else if !e.brittle.brittle {
			delete(t.brittle, id)
		}
	}
	slices.Sort(ids)
	var out []*pb.BrittleServer
	for range min(brittlePerHeartbeat, len(ids)) {
		at, _ := slices.BinarySearch(ids, t.brittleCursor)
		id := ids[at%len(ids)]
		t.brittleCursor = id + "\x00"
		e := t.entries[id]
		b := &e.brittle
		out = append(out, &pb.BrittleServer{
			Replica: id, Started: e.reg.Started, Brittle: b.brittle, MaxRejections: int32(b.maxRejections), AgeMs: now.Sub(b.at).Milliseconds(),
			Rejected: b.rejected, RejectedAgeMs: now.Sub(b.rejectedAt).Milliseconds(),
		})
	}
	return out
}

// ApplyBrittle applies what another host reported about a server, unless it is about another
// incarnation. Of two statements the later one counts.
func (t *Table) ApplyBrittle(host string, m *pb.BrittleServer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[m.Replica]
	if e == nil || e.reg.Started != m.Started || m.MaxRejections < 0 {
		return
	}
	b := &e.brittle
	if m.Brittle != b.brittle || int(m.MaxRejections) != b.maxRejections {
		// The age of a report does not include its time in transit: a statement that hosts report back
		// and forth would seem to be repeated.
		if at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond); at.After(b.at) {
			t.setBrittle(e, m.Brittle, int(m.MaxRejections), at)
		}
	}
	if b.reported == nil {
		b.reported = map[string]int64{}
	}
	before, known := b.reported[host]
	b.reported[host] = m.Rejected
	if at := now.Add(-time.Duration(m.RejectedAgeMs) * time.Millisecond); known && m.Rejected > before && now.Sub(at) < rejectionWindow {
		t.addRejections(e, m.Rejected-before, at)
	}
}
