// Package await decides how long a request waits for prefix blocks that another replica is
// prefilling, and when a fetch of these blocks would then be complete. It also tracks which
// prefills of this host are not done, whatever was expected of them. It has no clock: all
// times are passed in.
package await

import (
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
)

// maxOverdue is how long after its expected end a prefill counts as not done, unless its end is
// recorded before. It bounds the table: an attempt that is abandoned records no end.
const maxOverdue = 2 * time.Second

// sweepThreshold is the number of records above which expired ones are removed.
const sweepThreshold = 256

// Fetch is a possible fetch of prefix blocks that its source is prefilling.
type Fetch struct {
	// Source is the address of the replica that is prefilling the blocks, and Replica the one
	// that would fetch them. Last identifies the last of the blocks.
	Source  string
	Replica string
	Last    prefix.Hash
	// ReadyAt is when it is expected to be done.
	ReadyAt time.Time
	// LinksFree is when the links of both ends have completed the known transfers.
	LinksFree time.Time
	// Transfer is the duration of the transfer itself.
	Transfer time.Duration
}

// Limits bound the wait for a fetch.
type Limits struct {
	// Margin is added to each wait, as prefills mostly finish a little later than expected.
	Margin time.Duration
	// MaxHold is the maximum wait until the request is scheduled again.
	MaxHold time.Duration
	// MaxFetch is the maximum duration of the fetch after that, including the wait for the links.
	MaxFetch time.Duration
}

// Plan says how long a request is held for a fetch and how long the fetch takes then.
type Plan struct {
	Hold      time.Duration
	FetchTime time.Duration
}

// Table holds the planned fetches of requests that are being held, and the prefills that are
// not done. It is safe for concurrent use; mu is its only lock. Its zero value is empty.
type Table struct {
	mu sync.Mutex
	// planned holds, by source, the fetches for which requests are being held, and held, by
	// replica, the work of these requests.
	planned records[planned]
	held    records[time.Duration]
	running map[runningKey]prefill
}

// prefill is a prefill that has begun and is not known to have ended.
type prefill struct {
	began   time.Time
	expires time.Time
}

type planned struct {
	replica  string
	last     prefix.Hash
	transfer time.Duration
}

type runningKey struct {
	replica string
	block   prefix.Hash
}

// Plan returns when a request that waits for the fetch would be scheduled again, and how long
// the fetch would take then. Fetches that are already planned from the same source come first, one
// after the other, as the source has one link; one by the same replica serves both requests.
// ok is false if a limit is exceeded or there is nothing to wait for.
func (t *Table) Plan(f Fetch, l Limits, now time.Time) (p Plan, ok bool) {
	if !f.ReadyAt.After(now) {
		return p, false
	}
	p.Hold = f.ReadyAt.Sub(now) + l.Margin
	if p.Hold > l.MaxHold {
		return p, false
	}
	sendAt := now.Add(p.Hold)
	ahead, _ := t.ahead(f, now)
	p.FetchTime = max(0, f.LinksFree.Sub(sendAt)) + ahead
	return p, p.FetchTime <= l.MaxFetch
}

// ahead returns the total duration of the planned fetches from a source up to and including this
// one, and whether it is planned already.
func (t *Table) ahead(f Fetch, now time.Time) (total time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.planned[f.Source] {
		if !now.Before(r.until) {
			continue
		}
		total += r.value.transfer
		if r.value.replica == f.Replica && r.value.last == f.Last {
			return total, true
		}
	}
	return total + f.Transfer, false
}

// HeldAhead returns how long a replica will take for the requests that are held for it.
func (t *Table) HeldAhead(replica string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := time.Duration(0)
	for _, r := range t.held[replica] {
		if now.Before(r.until) {
			total += r.value
		}
	}
	return total
}

// Hold records that a request is held, and how long its replica will take for it. The record
// expires when the request is scheduled again. f.Source is "" if the replica itself is prefilling
// the blocks.
func (t *Table) Hold(f Fetch, work, hold time.Duration, now time.Time) {
	_, known := t.ahead(f, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = t.held.add(f.Replica, work, now.Add(hold), now)
	if f.Source != "" && !known {
		t.planned = t.planned.add(f.Source, planned{f.Replica, f.Last, f.Transfer}, now.Add(hold), now)
	}
}

// Begin records that this host has sent a replica a request to prefill blocks.
func (t *Table) Begin(replica string, blocks []prefix.Hash, expectedEnd time.Time, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[runningKey]prefill{}
	}
	if len(t.running) > sweepThreshold {
		for key, running := range t.running {
			if !now.Before(running.expires) {
				delete(t.running, key)
			}
		}
	}
	for _, block := range blocks {
		t.running[runningKey{replica, block}] = prefill{now, expectedEnd.Add(maxOverdue)}
	}
}

// End records that the prefill of blocks has ended at a replica, or has failed.
func (t *Table) End(replica string, blocks []prefix.Hash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, block := range blocks {
		delete(t.running, runningKey{replica, block})
	}
}

// Done returns how many of the prompt's leading tokens are not known to be unfinished at a
// replica: those before the first block whose end this host has not recorded.
func (t *Table) Done(replica string, p prefix.Prompt, now time.Time) int {
	done, _ := t.unfinished(replica, p, now)
	return done
}

// unfinished returns the tokens before the first unfinished block, and when its prefill began, or
// the zero time if all are done.
func (t *Table) unfinished(replica string, p prefix.Prompt, now time.Time) (done int, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, block := range p.Blocks {
		if running, found := t.running[runningKey{replica, block}]; found && now.Before(running.expires) {
			return done, running.began
		}
		done += p.Tokens[i]
	}
	return done, time.Time{}
}

// overdueShare is the share of its duration so far for which an overdue prefill is expected to go
// on. A request can be held only once more for it, so the estimate is rather long than short.
const overdueShare = 0.25

// ReadyAt returns when a replica is expected to have prefilled the blocks that were expected at
// the given time. If that has passed and they are known to be unfinished, it is later.
func (t *Table) ReadyAt(replica string, p prefix.Prompt, expected time.Time, margin time.Duration, now time.Time) time.Time {
	if expected.After(now) {
		return expected
	}
	_, began := t.unfinished(replica, p, now)
	if began.IsZero() {
		return expected
	}
	return now.Add(max(margin, time.Duration(overdueShare*float64(now.Sub(began)))))
}
