// Package once runs non-repeatable requests at most once. A request's claim is
// written to the log and read back; only the host whose claim comes first for
// the key dispatches it, and only that once. No clock of a host, lease or
// fencing number takes part in the decision.
package once

import (
	"bytes"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/uuid7"
)

// maxSkew is how far a key's time may lie ahead of the platform's clock.
const maxSkew = time.Minute

// Verdict is what the log says about one claim.
type Verdict int

// Verdicts on a claim.
const (
	// Won means the claim is the first for its key.
	Won Verdict = iota
	// Held means another claim came first and has no outcome yet.
	Held
	// Settled means another claim came first and has an outcome.
	Settled
	// Mismatch means the key belongs to a different request.
	Mismatch
	// BadKey means the key is no UUIDv7 or its time is out of range.
	BadKey
	// Untrusted means this host has not read enough of the log to tell.
	Untrusted
)

// Judgement is a verdict with what is known of the claim that came first.
type Judgement struct {
	Verdict Verdict
	// Outcome is set with Settled.
	Outcome *pb.OutcomeStep
}

type claimKey struct {
	organisation string
	key          string
}

type claim struct {
	id      string
	hash    []byte
	outcome *pb.OutcomeStep
}

type aged struct {
	key claimKey
	id  string
	at  time.Time
}

// Table is the fold of the claims stream. It is not safe for concurrent use.
//
// Claims are remembered for horizon, the longest time in which a key can be
// claimed. The log keeps records for longer, so a table that has read the log
// from its first record kept, and whose first record is older than horizon,
// knows every claim that matters.
type Table struct {
	next    uint64
	claims  map[claimKey]*claim
	order   []aged
	maxAge  time.Duration
	horizon time.Duration
	// trusted is the platform time from which the table is complete.
	trusted time.Time
	// spent holds the IDs of released claims: a second copy of such a claim on
	// the log must not own the key again.
	spent map[string]bool
}

// NewTable returns an empty table that accepts keys up to maxAge old.
func NewTable(maxAge time.Duration) *Table {
	return &Table{claims: map[claimKey]*claim{}, spent: map[string]bool{}, maxAge: maxAge, horizon: maxAge + maxSkew}
}

// Next returns the next offset to read.
func (t *Table) Next() uint64 { return t.next }

// Gap tells the table that records before first are gone. at is the time of the
// first record still kept, or the platform's present time when there is none.
func (t *Table) Gap(first uint64, at time.Time) {
	t.trusted = at.Add(t.horizon)
	t.next = first
}

// Fold applies the batch at offset Next and returns a judgement for each claim
// in it, by claim ID.
func (t *Table) Fold(batch *pb.ClaimBatch, at time.Time) map[string]Judgement {
	t.next++
	t.forget(at)
	verdicts := map[string]Judgement{}
	for _, rec := range batch.Records {
		k := claimKey{rec.Organisation, rec.Key}
		switch step := rec.Step.(type) {
		case *pb.ClaimRecord_Claim:
			verdicts[rec.ClaimId] = t.claim(k, rec, at)
		case *pb.ClaimRecord_Release:
			t.release(k, rec.ClaimId)
		case *pb.ClaimRecord_Outcome:
			t.settle(k, rec.ClaimId, step.Outcome)
		}
	}
	return verdicts
}

func (t *Table) claim(k claimKey, rec *pb.ClaimRecord, at time.Time) Judgement {
	if t.spent[rec.ClaimId] || !t.keyInRange(rec.Key, at) {
		return Judgement{Verdict: BadKey}
	}
	first := t.claims[k]
	if first == nil {
		t.claims[k] = &claim{id: rec.ClaimId, hash: rec.RequestHash}
		t.order = append(t.order, aged{k, rec.ClaimId, at})
		if at.Before(t.trusted) {
			return Judgement{Verdict: Untrusted}
		}
		return Judgement{Verdict: Won}
	}
	if first.id == rec.ClaimId {
		return Judgement{Verdict: Won}
	}
	return first.judge(rec.RequestHash)
}

func (c *claim) judge(hash []byte) Judgement {
	switch {
	case !bytes.Equal(c.hash, hash):
		return Judgement{Verdict: Mismatch}
	case c.outcome != nil:
		return Judgement{Verdict: Settled, Outcome: c.outcome}
	default:
		return Judgement{Verdict: Held}
	}
}

// Peek judges a claim by what is known already; ok is false when only the log
// can tell.
func (t *Table) Peek(organisation, key string, hash []byte) (j Judgement, ok bool) {
	c := t.claims[claimKey{organisation, key}]
	if c == nil {
		return Judgement{}, false
	}
	return c.judge(hash), true
}

func (t *Table) release(k claimKey, id string) {
	if c := t.claims[k]; c != nil && c.id == id && c.outcome == nil {
		delete(t.claims, k)
		t.spent[id] = true
	}
}

func (t *Table) settle(k claimKey, id string, outcome *pb.OutcomeStep) {
	if c := t.claims[k]; c != nil && c.id == id && c.outcome == nil {
		c.outcome = outcome
	}
}

// keyInRange judges the key's own time by the platform's clock, so every host
// judges alike.
func (t *Table) keyInRange(key string, at time.Time) bool {
	made, ok := uuid7.Time(key)
	return ok && at.Sub(made) <= t.maxAge && made.Sub(at) <= maxSkew
}

// forget drops claims whose key can no longer be claimed.
func (t *Table) forget(now time.Time) {
	drop := 0
	for drop < len(t.order) && now.Sub(t.order[drop].at) > t.horizon {
		old := t.order[drop]
		if c := t.claims[old.key]; c != nil && c.id == old.id {
			delete(t.claims, old.key)
		}
		delete(t.spent, old.id)
		drop++
	}
	t.order = t.order[drop:]
}
