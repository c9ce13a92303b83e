package once

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/looplab/fsm"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/platform"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/uuid7"
)

const (
	// lastLook bounds the last read of the log before a claim is answered.
	lastLook = 300 * time.Millisecond
	// keyMargin is how far the callers' clocks may be ahead of the hosts'.
	keyMargin = time.Second
	// silentAfter is longer than a healthy follower goes without a read.
	silentAfter = 2 * time.Second
)

// Claimer claims keys for one host. It is safe for concurrent use. Lock order:
// Claimer.mu is the only lock.
type Claimer struct {
	log      platform.Log
	follower *platform.Follower
	wait     time.Duration
	group    func() time.Duration
	others   func() (time.Time, bool)

	mu      sync.Mutex
	table   *Table
	waiting map[string]*waiter
	queue   []*queued
	wake    chan struct{}
	// folded is closed at the next change of the table.
	folded chan struct{}
}

type waiter struct {
	rec       *pb.ClaimRecord
	machine   *fsm.FSM
	judgement chan Judgement
}

// NewClaimer returns a claimer over log's claims stream. maxAge bounds a key's
// age, wait the time a claim may take, group returns the interval at which claims
// are put together into one append, and others returns when any other live host
// last read the claims, or false when that is not known.
func NewClaimer(log platform.Log, maxAge, wait time.Duration, group func() time.Duration, others func() (time.Time, bool)) *Claimer {
	c := &Claimer{
		log:     log,
		wait:    wait,
		group:   group,
		others:  others,
		table:   NewTable(maxAge),
		waiting: map[string]*waiter{},
		wake:    make(chan struct{}, 1),
		folded:  make(chan struct{}),
	}
	c.follower = platform.NewFollower(log, platform.ClaimStream, c.position, c.ingest)
	return c
}

// Run follows and writes the claims stream until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.follower.Run(ctx) })
	wg.Go(func() { c.write(ctx) })
	wg.Wait()
}

// Claim asks for the right to dispatch. It returns a ticket, or the outcome of
// the request that had the key before, or an error whose kind tells truly
// whether a request with this key may have run.
func (c *Claimer) Claim(ctx context.Context, organisation, key string, hash []byte) (*Ticket, *pb.OutcomeStep, error) {
	if _, ok := uuid7.Time(key); !ok {
		return nil, nil, errkind.New(errkind.KeyRejected, "the idempotency key is not a UUIDv7")
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	w, known := c.enter(organisation, key, hash)
	if known == nil {
		j, err := c.await(ctx, w)
		if err != nil {
			return nil, nil, err
		}
		if j.Verdict == Won {
			return &Ticket{c, w}, nil, nil
		}
		known = &j
	}
	if known.Verdict == Held {
		known = c.awaitOutcome(ctx, organisation, key, hash)
	}
	return nil, known.Outcome, known.err()
}

// await returns the judgement on a claim, or gives the claim up.
func (c *Claimer) await(ctx context.Context, w *waiter) (Judgement, error) {
	select {
	case j := <-w.judgement:
		return j, nil
	case <-ctx.Done():
	}
	if !c.abandon(w) {
		return <-w.judgement, nil
	}
	if c.surelyUnused(w.rec) {
		return Judgement{}, errkind.New(errkind.LogUnavailable, "the log did not confirm the claim in time; the request was not sent")
	}
	return Judgement{}, errkind.New(errkind.Undecided, "this attempt was not sent, and the log cannot tell about earlier ones")
}

// surelyUnused reports whether no request with the claim's key can have been
// sent: the log can be read to its end and does not know the key, or the key is
// younger than the last time at which any host could read the log.
func (c *Claimer) surelyUnused(rec *pb.ClaimRecord) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lastLook)
	defer cancel()
	page, err := c.log.Read(ctx, platform.ClaimStream, c.position(), 0)
	if err == nil {
		c.ingest(page)
		return page.End <= c.position() && !c.Known(rec.Organisation, rec.Key)
	}
	others, ok := c.others()
	made, _ := uuid7.Time(rec.Key)
	return ok && !c.Known(rec.Organisation, rec.Key) &&
		made.After(others.Add(keyMargin)) && made.After(c.follower.Touched().Add(keyMargin))
}

// Silent reports whether the claims stream could not be read for a while, so
// that claims may exist that Known does not know.
func (c *Claimer) Silent() bool { return time.Since(c.follower.Touched()) > silentAfter }

// Touched returns when the claims stream was last read.
func (c *Claimer) Touched() time.Time { return c.follower.Touched() }

// awaitOutcome waits for the outcome of the claim that came first.
func (c *Claimer) awaitOutcome(ctx context.Context, organisation, key string, hash []byte) *Judgement {
	for {
		c.mu.Lock()
		j, ok := c.table.Peek(organisation, key, hash)
		folded := c.folded
		c.mu.Unlock()
		if !ok {
			// Released meanwhile: the caller may ask again.
			return &Judgement{Verdict: Untrusted}
		}
		if j.Verdict != Held {
			return &j
		}
		select {
		case <-ctx.Done():
			return &j
		case <-folded:
		}
	}
}

// Known reports whether the claims stream as read so far knows the key.
func (c *Claimer) Known(organisation, key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.table.Peek(organisation, key, nil)
	return ok
}

// enter queues a claim unless the table already knows the answer.
func (c *Claimer) enter(organisation, key string, hash []byte) (*waiter, *Judgement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j, ok := c.table.Peek(organisation, key, hash); ok {
		return nil, &j
	}
	rec := &pb.ClaimRecord{
		Organisation: organisation,
		Key:          key,
		ClaimId:      uuid.NewString(),
		RequestHash:  hash,
		Step:         &pb.ClaimRecord_Claim{Claim: &pb.ClaimStep{}},
	}
	w := &waiter{rec: rec, machine: newMachine(), judgement: make(chan Judgement, 1)}
	c.waiting[rec.ClaimId] = w
	c.enqueue(rec)
	return w, nil
}

// abandon gives a claim up, unless its judgement came first. An abandoned claim
// is never dispatched: if it turns up on the log it is released.
func (c *Claimer) abandon(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return statemachine.Fire(w.machine, eventAbandon)
}

func (j Judgement) err() error {
	switch j.Verdict {
	case Won, Settled:
		return nil
	case Held:
		return errkind.New(errkind.InDoubt, "a request with this key was sent before and has no recorded outcome")
	case Mismatch:
		return errkind.New(errkind.KeyReused, "the idempotency key was used for a different request")
	case BadKey:
		return errkind.New(errkind.KeyRejected, "the idempotency key is too old or from the future")
	default:
		return errkind.New(errkind.Undecided, "this host cannot tell yet whether the key was used; ask again")
	}
}
