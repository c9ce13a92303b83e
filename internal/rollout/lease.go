// Package rollout moves replicas to the weights version that the configuration
// names. One host at a time has the duty, by a lease on the platform's log; the
// offset of the lease's first record is the fencing number of its orders.
package rollout

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
)

const (
	// LeaseDuration is how long a lease lasts without renewal.
	LeaseDuration = 10 * time.Second
	// renewInterval leaves room for two renewals to fail.
	renewInterval = LeaseDuration / 4
	// leaseMargin is kept between the last order under a lease and its end.
	leaseMargin = time.Second
)

// Holder is a host's process.
type Holder struct {
	Host        string
	Incarnation uint64
}

// Lease is the state of one duty on the log.
type Lease struct {
	Holder Holder
	// Fencing grows with each new holder: the offset of its first record, plus one.
	Fencing uint64
	// Expires is by the platform's clock.
	Expires time.Time
}

// Table is the fold of the leases stream. It is not safe for concurrent use.
type Table struct {
	next   uint64
	leases map[string]*Lease
}

// NewTable returns the fold before the first record.
func NewTable() *Table { return &Table{leases: map[string]*Lease{}} }

// Fold applies the record at offset Next, appended at time at, and reports
// whether it granted or renewed a lease. Every host judges alike, by the
// platform's clock.
func (t *Table) Fold(rec *pb.LeaseRecord, at time.Time) bool {
	offset := t.next
	t.next++
	who := Holder{rec.Holder, rec.Incarnation}
	held := t.leases[rec.Duty]
	mine := held != nil && held.Holder == who && at.Before(held.Expires)
	switch {
	case rec.Release && mine:
		held.Expires = at
		return false
	case rec.Release:
		return false
	case mine:
		held.Expires = at.Add(time.Duration(rec.DurationMs) * time.Millisecond)
		return true
	case held != nil && at.Before(held.Expires):
		return false
	default:
		t.leases[rec.Duty] = &Lease{who, offset + 1, at.Add(time.Duration(rec.DurationMs) * time.Millisecond)}
		return true
	}
}

// Keeper tries to hold one duty for this host. It is safe for concurrent use;
// mu is its only lock.
type Keeper struct {
	log      platform.Log
	duty     string
	self     Holder
	follower *platform.Follower

	mu       sync.Mutex
	table    *Table
	sequence uint64
	// sent holds when each record was handed to the log, by the monotonic clock.
	sent map[uint64]time.Time
	// until is when the lease ends for this host, by the monotonic clock.
	until time.Time
	since time.Time
	// now is the platform's time of the last page.
	now time.Time
}

// NewKeeper returns a keeper of duty for self.
func NewKeeper(log platform.Log, duty string, self Holder) *Keeper {
	k := &Keeper{log: log, duty: duty, self: self, table: NewTable(), sent: map[uint64]time.Time{}}
	k.follower = platform.NewFollower(log, platform.LeaseStream, k.position, k.ingest)
	return k
}

// Run holds the duty whenever it can, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.follower.Run(ctx) })
	wg.Go(func() { k.renew(ctx) })
	wg.Wait()
}

func (k *Keeper) renew(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		if rec := k.request(); rec != nil {
			// A lost answer shows when the record is read back, or not.
			_, _ = k.log.Append(ctx, platform.LeaseStream, rec)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// request returns the record to append, or nil while another host's lease runs.
func (k *Keeper) request() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.table.leases[k.duty]
	if k.now.IsZero() || held != nil && held.Holder != k.self && k.now.Before(held.Expires) {
		return nil
	}
	k.sequence++
	k.sent[k.sequence] = time.Now()
	payload, err := proto.Marshal(&pb.LeaseRecord{
		Duty: k.duty, Holder: k.self.Host, Incarnation: k.self.Incarnation,
		DurationMs: LeaseDuration.Milliseconds(), Sequence: k.sequence,
	})
	if err != nil {
		return nil
	}
	return payload
}

func (k *Keeper) position() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.next
}

func (k *Keeper) ingest(page platform.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now = page.Now
	if page.First > k.table.next {
		// Every lease in the forgotten records has run out.
		k.table.next = page.First
	}
	for _, r := range page.Records {
		if r.Offset == k.table.next {
			k.fold(r)
		}
	}
}

func (k *Keeper) fold(r platform.Record) {
	rec := &pb.LeaseRecord{}
	if err := proto.Unmarshal(r.Payload, rec); err != nil {
		rec = &pb.LeaseRecord{}
	}
	granted := k.table.Fold(rec, r.Time)
	if rec.Duty != k.duty || rec.Holder != k.self.Host || rec.Incarnation != k.self.Incarnation {
		return
	}
	// The platform dated the record after it was sent, so counting from then can
	// only end the lease too early.
	sent, known := k.sent[rec.Sequence]
	delete(k.sent, rec.Sequence)
	if !granted || !known {
		return
	}
	if now := time.Now(); now.After(k.until) {
		k.since = now
	}
	k.until = sent.Add(LeaseDuration - leaseMargin)
}

// Grant is the right to give orders.
type Grant struct {
	Fencing uint64
	// Since is when this host began to hold the lease without a break.
	Since time.Time
}

// Held returns the grant while the lease surely runs. Call it right before each
// order.
func (k *Keeper) Held() (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.table.leases[k.duty]
	if held == nil || held.Holder != k.self || !time.Now().Before(k.until) {
		return Grant{}, false
	}
	return Grant{held.Fencing, k.since}, true
}
