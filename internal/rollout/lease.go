// Package rollout brings replicas to the weights version that operators want. One host at
// a time, the holder of a lease in the platform's store, sends the load orders. The lease
// is a log; the fencing token of the orders is derived from the store's era and the offset of
// the record that took it.
package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

// LogStore is the part of the store that a lease uses.
type LogStore interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
	Append(ctx context.Context, topic string, rec platform.Record, at int64) (int64, error)
}

// States of a lease from the point of view of one host.
const (
	// StateUnknown: the log has not yet been read to its end.
	StateUnknown = "unknown"
	// StateFree: nobody holds the lease.
	StateFree = "free"
	// StateOther: another host holds the lease.
	StateOther = "other"
	// StateHeld: this host holds the lease.
	StateHeld = "held"
)

const (
	eventRead         = "read"
	eventOtherGranted = "granted to another"
	eventGranted      = "granted"
	eventEnded        = "ended"
	eventRestored     = "store restored"
)

func newLeaseMachine() *fsm.FSM {
	return fsm.NewFSM(StateUnknown, fsm.Events{
		{Name: eventRead, Src: []string{StateUnknown}, Dst: StateFree},
		{Name: eventOtherGranted, Src: []string{StateUnknown, StateFree, StateOther, StateHeld}, Dst: StateOther},
		{Name: eventGranted, Src: []string{StateFree}, Dst: StateHeld},
		{Name: eventEnded, Src: []string{StateOther, StateHeld}, Dst: StateFree},
		{Name: eventRestored, Src: []string{StateFree, StateOther, StateHeld}, Dst: StateUnknown},
	}, fsm.Callbacks{})
}

// Diagram returns the lease's state machine as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newLeaseMachine()) }

const (
	// validShare is the part of the lease's duration, counted from a renewal, in which
	// orders may be sent, so that the last order of a holder comes well before the first
	// one of its successor.
	validShare = 0.5
	// renewalShare is the part of the lease's duration after which it is renewed: two
	// renewals may fail before orders stop.
	renewalShare = 0.25
	// takeoverMargin is the wait after the end of another holder's lease, for orders that
	// are still in flight.
	takeoverMargin = 300 * time.Millisecond
)

// Lease is the exclusive right to send orders, for a limited time. Hosts that may take it
// follow its log and measure its time by their own monotonic clocks. It is safe for
// concurrent use; mu is its only lock and is not held during a call to the store.
type Lease struct {
	store LogStore
	log   *logrus.Logger
	// Topic is the topic of the lease's log in the store; it is set before use.
	Topic string
	// Purpose names, in log messages, what the lease is for; it is set before use.
	Purpose     string
	holder      string
	incarnation uint64
	ttl         time.Duration
	// Follows reports whether this host may soon take the lease; other hosts need not read
	// its log. It is set before use.
	Follows func() bool
	// StoreEra returns the highest era that the store stated. It is set before use.
	StoreEra func() int64

	mu      sync.Mutex
	machine *fsm.FSM
	// end is the first offset not yet read, in the store's era. eraKnown is set after the first
	// read.
	end      int64
	era      int64
	eraKnown bool
	// notBefore is when this process may take the lease at the earliest, because a holder whose
	// record the store has lost may still send orders.
	notBefore time.Time
	// last is the newest record, or the newest holder by its own report, received at
	// lastSeen.
	last     platform.LeaseRecord
	lastSeen time.Time
	// renewed is when the append of the last successful grant or renewal was sent.
	renewed time.Time
	fencing int64
	// tookFromOther is whether another process held the lease before this one.
	tookFromOther bool
	// holderLastSeen is when the holder itself last reported the lease.
	holderLastSeen time.Time
	// vacantSince is, in StateFree, since when nobody has held the lease.
	vacantSince time.Time
	// unconfirmedSince is when an append was sent whose outcome is still to be read from the
	// log, or zero.
	unconfirmedSince time.Time
	// cancelRead cancels the read in progress, whose answer may have been lost.
	cancelRead context.CancelFunc
}

// NewLease returns the lease as one process of a host sees it. It lasts for ttl after each
// renewal.
func NewLease(store LogStore, log *logrus.Logger, holder string, incarnation uint64, ttl time.Duration) *Lease {
	return &Lease{store: store, log: log, Topic: platform.LeaseTopic, Purpose: "weights", holder: holder, incarnation: incarnation, ttl: ttl, Follows: func() bool { return true }, StoreEra: func() int64 { return 0 }, machine: newLeaseMachine()}
}

// isOwn reports whether this process wrote a record.
func (l *Lease) isOwn(rec platform.LeaseRecord) bool {
	return rec.Holder == l.holder && rec.Incarnation == l.incarnation
}

// Term returns the fencing token with which this process last took the lease, and whether
// another process held it before.
func (l *Lease) Term() (fencing int64, tookFromOther bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing, l.tookFromOther
}

// LogEndIfHeld returns the end of the log if this process holds the lease, else 0.
func (l *Lease) LogEndIfHeld() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.Is(StateHeld) {
		return 0
	}
	return l.end
}

// Try takes or renews the lease if that is due, and reports whether orders may be sent. It
// makes at most one call to the store.
func (l *Lease) Try(ctx context.Context) bool {
	now := clock.Now()
	rec, at, ok := l.nextAppend(now)
	if !ok {
		return l.Valid()
	}
	offset, err := l.store.Append(ctx, l.Topic, platform.Record{Value: rec.Encode()}, at.Offset)
	l.handleAppend(rec, offset, at, now, err)
	return l.Valid()
}

// nextAppend returns the record to append now, its position, and whether one is due.
func (l *Lease) nextAppend(now time.Time) (platform.LeaseRecord, topic.Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	rec := platform.LeaseRecord{Holder: l.holder, Incarnation: l.incarnation}
	if !l.unconfirmedSince.IsZero() && now.Sub(l.unconfirmedSince) < l.ttl {
		// The last append may still take effect. Another one at the same offset would then
		// be rejected, which would not show who holds the lease.
		return rec, topic.Position{}, false
	}
	switch {
	case l.machine.Is(StateFree) && now.Before(l.notBefore):
		return rec, topic.Position{}, false
	case l.machine.Is(StateFree):
		return rec, l.position(), true
	case l.machine.Is(StateHeld) && now.Sub(l.renewed) > scaled(l.ttl, renewalShare):
		rec.Fencing = l.fencing
		return rec, l.position(), true
	default:
		return rec, topic.Position{}, false
	}
}

// expire ends the lease if its holder did not renew it in time.
func (l *Lease) expire(now time.Time) {
	switch {
	case l.machine.Is(StateHeld) && now.Sub(l.renewed) > l.ttl:
		l.log.WithFields(logrus.Fields{"lease": l.Purpose, "fencing": l.fencing}).Warn("lease ended without a renewal")
		l.markVacant(eventEnded)
	case l.machine.Is(StateOther) && now.Sub(l.lastSeen) > l.ttl+takeoverMargin:
		l.markVacant(eventEnded)
	}
}

// markVacant records that nobody holds the lease, if the event applies in the current state.
func (l *Lease) markVacant(event string) {
	if statemachine.Fire(l.machine, event) {
		l.vacantSince = clock.Now()
	}
}

// VacantSince returns since when, as far as this host knows, nobody has held the lease, or
// zero if somebody may hold it.
func (l *Lease) VacantSince(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	switch {
	case !l.machine.Is(StateFree) || now.Before(l.notBefore):
		return time.Time{}
	case l.vacantSince.Before(l.notBefore):
		return l.notBefore
	default:
		return l.vacantSince
	}
}

func (l *Lease) handleAppend(rec platform.LeaseRecord, offset int64, at topic.Position, sent time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.eraKnown {
		l.beginEra(l.StoreEra())
	}
	if !l.isCurrent(at) {
		// In the new era, the end that the append was conditional on has another meaning. If the
		// record was written there it is read like those of other hosts.
		return
	}
	if err != nil {
		l.handleAppendError(err, sent)
		return
	}
	l.unconfirmedSince = time.Time{}
	if l.machine.Is(StateOther) || offset != at.Offset {
		// Another host's record was read meanwhile and comes before this one, which
		// therefore grants nothing.
		return
	}
	l.end = max(l.end, offset+1)
	previous := l.last
	l.last, l.lastSeen, l.renewed = rec, clock.Now(), sent
	if rec.Fencing == 0 {
		l.tookFromOther = previous.Holder != "" && !l.isOwn(previous)
		l.fencing = l.token(offset)
		statemachine.Fire(l.machine, eventGranted)
		l.log.WithFields(logrus.Fields{"lease": l.Purpose, "fencing": l.fencing}).Info("lease taken")
	}
}

func (l *Lease) handleAppendError(err error, sent time.Time) {
	var status *platform.StatusError
	switch {
	case errors.Is(err, platform.ErrConflict):
		if l.machine.Is(StateHeld) {
			l.log.WithFields(logrus.Fields{"lease": l.Purpose, "fencing": l.fencing}).Warn("lease lost: the log has another end")
			l.markVacant(eventEnded)
		}
		// The conflicting record must be read before the next append. The answer to a read
		// that still waits for it may have been lost; it is cancelled and sent again.
		l.unconfirmedSince = sent
		if l.cancelRead != nil {
			l.cancelRead()
		}
	case errors.As(err, &status):
		// The store rejected the append, which therefore has no effect.
	default:
		l.unconfirmedSince = sent
		l.log.WithError(err).WithField("lease", l.Purpose).Warn("append to the lease's log without an answer")
	}
}

// Valid reports whether orders may be sent now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Is(StateHeld) && clock.Since(l.renewed) < scaled(l.ttl, validShare)
}

// Fencing returns the fencing token that orders carry.
func (l *Lease) Fencing() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing
}

// Holder returns the last known holder, its fencing token, and whether this process holds
// the lease now.
func (l *Lease) Holder() (holder string, fencing int64, here bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last.Holder, l.last.Fencing, l.machine.Is(StateHeld)
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
