package once

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/looplab/fsm"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/platform"
)

// States of a claim as its claimant sees it.
const (
	StatePending    = "pending"
	StateWon        = "won"
	StateDispatched = "dispatched"
	StateLost       = "lost"
	StateAbandoned  = "abandoned"
	StateReleased   = "released"
	StateSettled    = "settled"
)

const (
	eventWin      = "win"
	eventLose     = "lose"
	eventAbandon  = "abandon"
	eventDispatch = "dispatch"
	eventRelease  = "release"
	eventSettle   = "settle"
)

// maxOutcomeBytes is how much of an answer's body is kept on the log.
const maxOutcomeBytes = 4 << 10

// maxBatch bounds the records of one append.
const maxBatch = 500

const (
	// lastLook bounds the last read of the log before a claim is answered.
	lastLook = 300 * time.Millisecond
	// keyMargin is how far the callers' clocks may be ahead of the hosts'.
	keyMargin = time.Second
	// silentAfter is longer than a healthy follower goes without a read.
	silentAfter = 2 * time.Second
)

// resendAfter is how long a record that was appended may stay unseen.
const resendAfter = time.Second

// newMachine returns the state machine of one claim. Dispatched is reached only
// from won, and only once.
func newMachine() *fsm.FSM {
	return fsm.NewFSM(StatePending, fsm.Events{
		{Name: eventWin, Src: []string{StatePending}, Dst: StateWon},
		{Name: eventLose, Src: []string{StatePending}, Dst: StateLost},
		{Name: eventAbandon, Src: []string{StatePending}, Dst: StateAbandoned},
		{Name: eventDispatch, Src: []string{StateWon}, Dst: StateDispatched},
		{Name: eventRelease, Src: []string{StateWon, StateDispatched, StateAbandoned}, Dst: StateReleased},
		{Name: eventSettle, Src: []string{StateDispatched}, Dst: StateSettled},
	}, fsm.Callbacks{})
}

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

// queued is a record that is to be seen on the log.
type queued struct {
	rec  *pb.ClaimRecord
	sent time.Time
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

// Ticket is the right to dispatch one request once.
type Ticket struct {
	c *Claimer
	w *waiter
}

// Claim asks for the right to dispatch. It returns a ticket, or the outcome of
// the request that had the key before, or an error whose kind tells truly
// whether a request with this key may have run.
func (c *Claimer) Claim(ctx context.Context, organisation, key string, hash []byte) (*Ticket, *pb.OutcomeStep, error) {
	if _, ok := KeyTime(key); !ok {
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
	made, _ := KeyTime(rec.Key)
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
	return fire(w.machine, eventAbandon)
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

// Dispatch takes the right to send the request. It returns true once.
func (t *Ticket) Dispatch() bool {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return fire(t.w.machine, eventDispatch)
}

// Release gives the key back after a request that surely did not run.
func (t *Ticket) Release() {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.c.release(t.w)
}

func (c *Claimer) release(w *waiter) {
	if fire(w.machine, eventRelease) {
		c.sendRelease(w)
	}
}

func (c *Claimer) sendRelease(w *waiter) {
	rec := step(w.rec)
	rec.Step = &pb.ClaimRecord_Release{Release: &pb.ReleaseStep{}}
	c.enqueue(rec)
}

// Settle records the answer of a request that ran.
func (t *Ticket) Settle(status int, contentType string, body []byte) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if !fire(t.w.machine, eventSettle) {
		return
	}
	outcome := &pb.OutcomeStep{HttpStatus: int32(status), ContentType: contentType, Body: body}
	if len(body) > maxOutcomeBytes {
		outcome.Body = nil
		outcome.Truncated = true
	}
	rec := step(t.w.rec)
	rec.Step = &pb.ClaimRecord_Outcome{Outcome: outcome}
	t.c.enqueue(rec)
}

func step(claim *pb.ClaimRecord) *pb.ClaimRecord {
	return &pb.ClaimRecord{Organisation: claim.Organisation, Key: claim.Key, ClaimId: claim.ClaimId}
}

func fire(m *fsm.FSM, event string) bool { return m.Event(context.Background(), event) == nil }

// enqueue hands a record to the writer. mu is held.
func (c *Claimer) enqueue(rec *pb.ClaimRecord) {
	c.queue = append(c.queue, &queued{rec: rec})
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write appends what is queued, one append at a time, until ctx ends.
func (c *Claimer) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-time.After(resendAfter):
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.group()):
		}
		c.flush(ctx)
	}
}

// flush appends every record not yet seen on the log. Folding a record twice
// has no effect, so a record whose append had no answer is sent again.
func (c *Claimer) flush(ctx context.Context) {
	for {
		batch := c.due(time.Now())
		if len(batch.Records) == 0 {
			return
		}
		payload, err := proto.Marshal(batch)
		if err != nil {
			return
		}
		if _, err := c.log.Append(ctx, platform.ClaimStream, payload); err != nil {
			return
		}
	}
}

func (c *Claimer) due(now time.Time) *pb.ClaimBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := &pb.ClaimBatch{}
	keep := c.queue[:0]
	for _, q := range c.queue {
		if q.rec.GetClaim() != nil && c.dropped(q) {
			continue
		}
		keep = append(keep, q)
		if now.Sub(q.sent) >= resendAfter && len(batch.Records) < maxBatch {
			q.sent = now
			batch.Records = append(batch.Records, q.rec)
		}
	}
	c.queue = keep
	return batch
}

// dropped reports whether a queued claim need not be sent any more. One that
// was sent and then abandoned stays known, to be released if it turns up.
func (c *Claimer) dropped(q *queued) bool {
	w := c.waiting[q.rec.ClaimId]
	if w == nil {
		return true
	}
	if !w.machine.Is(StateAbandoned) {
		return false
	}
	if q.sent.IsZero() {
		delete(c.waiting, q.rec.ClaimId)
	}
	return true
}

func (c *Claimer) position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Next()
}

// ingest folds one page of the claims stream.
func (c *Claimer) ingest(page platform.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if page.First > c.table.Next() {
		at := page.Now
		if len(page.Records) > 0 {
			at = page.Records[0].Time
		}
		c.table.Gap(page.First, at)
	}
	c.forget(page.Now)
	for _, rec := range page.Records {
		if rec.Offset != c.table.Next() {
			continue
		}
		batch := &pb.ClaimBatch{}
		if err := proto.Unmarshal(rec.Payload, batch); err != nil {
			batch = &pb.ClaimBatch{}
		}
		verdicts := c.table.Fold(batch, rec.Time)
		c.seen(batch, verdicts)
	}
	if len(page.Records) > 0 {
		close(c.folded)
		c.folded = make(chan struct{})
	}
}

// forget drops abandoned claims whose key can no longer be claimed.
func (c *Claimer) forget(now time.Time) {
	for id, w := range c.waiting {
		made, _ := KeyTime(w.rec.Key)
		if w.machine.Is(StateAbandoned) && now.Sub(made) > c.table.horizon {
			delete(c.waiting, id)
		}
	}
}

// seen takes records off the queue and answers the claims that wait.
func (c *Claimer) seen(batch *pb.ClaimBatch, verdicts map[string]Judgement) {
	for _, rec := range batch.Records {
		c.dequeue(rec)
	}
	for id, j := range verdicts {
		w := c.waiting[id]
		if w == nil {
			continue
		}
		delete(c.waiting, id)
		c.judge(w, j)
	}
}

func (c *Claimer) judge(w *waiter, j Judgement) {
	owns := j.Verdict == Won || j.Verdict == Untrusted
	if w.machine.Is(StateAbandoned) {
		if owns {
			c.release(w)
		}
		return
	}
	if j.Verdict == Won {
		fire(w.machine, eventWin)
	} else {
		fire(w.machine, eventLose)
	}
	if j.Verdict == Untrusted {
		c.sendRelease(w)
	}
	w.judgement <- j
}

func (c *Claimer) dequeue(rec *pb.ClaimRecord) {
	for i, q := range c.queue {
		if q.rec.ClaimId == rec.ClaimId && sameStep(q.rec, rec) {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

func sameStep(a, b *pb.ClaimRecord) bool {
	return (a.GetClaim() != nil) == (b.GetClaim() != nil) &&
		(a.GetRelease() != nil) == (b.GetRelease() != nil)
}

// Diagram returns the state machine as a Mermaid diagram.
func Diagram() string {
	diagram, err := fsm.VisualizeForMermaidWithGraphType(newMachine(), fsm.StateDiagram)
	if err != nil {
		return err.Error()
	}
	return diagram
}
