// Package membudget limits the memory and the connections that callers use on this host. Each
// request and each connection reserves bytes before it uses them and returns them once. Under
// pressure the slowest callers are ended.
//
// It has no network and no clock of its own. The lock of a Hold and that of its Budget are never
// held together.
package membudget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind is what memory is used for.
type Kind int

// The kinds of memory.
const (
	// Body is the body of a request.
	Body Kind = iota
	// Answer is a buffered answer, or an event of a stream.
	Answer
	// Socket is a caller's connection: its socket buffer and what the server keeps for it.
	Socket
	// Head is the head of a request, as it is received and as it is kept until the request has ended.
	Head
	// Kinds is the number of kinds.
	Kinds
)

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string { return [...]string{"body", "answer", "socket", "head"}[k] }

// Step is the number of bytes by which a reservation of unknown size grows. A reservation of at
// most one step is a small one.
const Step = 64 << 10

// Shares of the budget up to which reservations are granted. Large bodies leave room for answers,
// without which the requests would never end, and both leave room for connections and for small
// requests, so that these are served while large ones are refused or wait.
const (
	bodyShare     = 0.625
	pressureShare = 0.75
	mediumShare   = 0.875
	smallShare    = 0.9375
	// maxMediumShare is the largest part of the budget that a medium reservation has. Withheld large
	// bodies and unread answers do not keep those out.
	maxMediumShare = 1.0 / 128
	// minSocketShare is what large bodies and answers leave to connections that are not open yet. With a
	// quarter, 12 of 144 medium bodies were refused while 1,100 connections opened.
	minSocketShare = 0.3125
	// maxWantedShare limits the bytes that are made free at once for those that lack room.
	maxWantedShare = 0.25
	// connectionShare is the share of the connections beyond which slow callers are ended, so that others find room.
	connectionShare = 0.875
)

// ErrNoRoom means that a reservation can never be granted, as it exceeds the budget.
var ErrNoRoom = errors.New("more than this host's memory budget")

// Budget is a host's budget of bytes. A nil Budget sets no limits. It is safe for concurrent use.
type Budget struct {
	limit int64
	// maxConnections is the maximum number of open connections, 0 for any number.
	maxConnections int

	mu sync.Mutex
	// connections are open, and lackingConnections were refused since the last Reclaim.
	connections, lackingConnections int
	held                            [Kinds]int64
	total                           int64
	holds                           map[*Hold]bool
	// waiters wait for room in order of arrival; lacking is the largest shortage of what was refused
	// since the last Reclaim.
	waiters []*waiter
	lacking int64
	counts  Counts
}

// Counts are the numbers of refused reservations and of ended transfers since the start.
type Counts struct{ Refused, Ended [Kinds]int64 }

// waiter is a reservation that waits for room.
type waiter struct {
	hold  *Hold
	kind  Kind
	bytes int64
	// granted is closed when the bytes are reserved.
	granted chan struct{}
}

// New returns a budget of limit bytes, or nil if limit is not positive.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit, holds: map[*Hold]bool{}}
}

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// LimitConnections sets the maximum number of open connections. It is called before the budget is used.
func (b *Budget) LimitConnections(n int) { b.maxConnections = n }

// Connections returns the number of open connections.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connections
}

// excessConnections returns how many connections must be closed to make room for others. b.mu is held.
func (b *Budget) excessConnections() int64 {
	excess := b.lackingConnections
	b.lackingConnections = 0
	if b.maxConnections > 0 {
		excess = max(excess, b.connections-int(connectionShare*float64(b.maxConnections)))
	}
	return int64(excess)
}

// Held returns the bytes in use by kind.
func (b *Budget) Held() [Kinds]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Counts returns what was refused and ended so far.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Open returns an empty hold. If its transfer is chosen to be ended, end is called once, with the
// kind of the transfer, while the transfer is in progress; it must not block or call the Hold. A
// nil Budget returns nil, which grants everything.
func (b *Budget) Open(end func(Kind)) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{b: b, end: end}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = true
	return h
}

// part returns a share of the budget in bytes.
func (b *Budget) part(share float64) int64 { return int64(share * float64(b.limit)) }

// grantLimit returns the bytes in use up to which a reservation is granted, by the bytes of its kind that
// its hold then has.
func (b *Budget) grantLimit(kind Kind, bytes int64) int64 {
	switch {
	case kind == Socket:
		return b.limit
	case bytes <= Step:
		return b.part(smallShare)
	case bytes <= b.part(maxMediumShare):
		return b.part(mediumShare)
	case kind == Body:
		return b.part(bodyShare)
	default:
		return b.part(pressureShare)
	}
}

// shortage returns by how many bytes a reservation of a hold exceeds its limit. b.mu is held.
func (b *Budget) shortage(kind Kind, held, bytes int64) int64 {
	used := b.total
	if kind != Socket && held+bytes > Step {
		used += max(0, b.part(minSocketShare)-b.held[Socket])
	}
	return used + bytes - b.grantLimit(kind, held+bytes)
}

// canFit reports whether a reservation would be granted if nothing else were in use.
func (b *Budget) canFit(kind Kind, bytes int64) bool {
	limit := b.grantLimit(kind, bytes)
	if kind != Socket && bytes > Step {
		limit -= b.part(minSocketShare)
	}
	return bytes <= limit
}

// tryReserve reserves bytes for a hold if there is room. b.mu is held.
func (b *Budget) tryReserve(h *Hold, kind Kind, bytes int64) bool {
	if h.released || b.shortage(kind, h.held[kind], bytes) > 0 {
		return false
	}
	b.add(h, kind, bytes)
	return true
}

// add changes the bytes that a hold has. b.mu is held.
func (b *Budget) add(h *Hold, kind Kind, bytes int64) {
	h.held[kind] += bytes
	b.held[kind] += bytes
	b.total += bytes
}

// grantWaiting grants the waiting reservations that have room, in order of arrival. One with a higher limit,
// which is smaller, does not wait for those before it. b.mu is held.
func (b *Budget) grantWaiting() {
	kept := b.waiters[:0]
	blocked := int64(-1)
	for _, w := range b.waiters {
		limit := b.grantLimit(w.kind, w.hold.held[w.kind]+w.bytes)
		if limit <= blocked || !b.tryReserve(w.hold, w.kind, w.bytes) {
			blocked = max(blocked, limit)
			kept = append(kept, w)
			continue
		}
		close(w.granted)
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

// excess returns the bytes that must become free to end the pressure and to make room for some of what
// was refused or waits. b.mu is held.
func (b *Budget) excess() int64 {
	excess := max(b.lacking, b.total-b.part(pressureShare))
	b.lacking = 0
	waiting := int64(0)
	for _, w := range b.waiters {
		waiting += w.bytes
		excess = max(excess, b.shortage(w.kind, w.hold.held[w.kind], min(waiting, max(w.bytes, b.part(maxWantedShare)))))
	}
	return excess
}

// Reclaim ends the slowest callers if the budget is under pressure. It must be called a few times
// a second.
func (b *Budget) Reclaim(now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	excess, excessConnections := b.excess(), b.excessConnections()
	holds := make([]*Hold, 0, len(b.holds))
	bytes := make([]int64, 0, len(b.holds))
	for h := range b.holds {
		holds = append(holds, h)
		bytes = append(bytes, h.held[Body]+h.held[Answer]+h.held[Socket]+h.held[Head])
	}
	b.mu.Unlock()
	var entries []Entry
	var moving []*Hold
	for i, h := range holds {
		if e, ok := h.entry(now); ok {
			e.Bytes = bytes[i]
			entries = append(entries, e)
			moving = append(moving, h)
		}
	}
	// An idle connection uses much less than it has reserved, so it is ended for another connection only.
	for _, i := range Choose(withoutIdle(entries), excess) {
		b.end(moving[i], entries[i].Kind)
	}
	for i := range entries {
		entries[i].Bytes = 1
	}
	for _, i := range Choose(entries, excessConnections) {
		b.end(moving[i], entries[i].Kind)
	}
}

// withoutIdle returns the entries in the same places, without the progress of idle connections: none of these is slow.
func withoutIdle(entries []Entry) []Entry {
	out := slices.Clone(entries)
	for i := range out {
		if out[i].Kind == Socket {
			out[i].Measured = 0
		}
	}
	return out
}

// end ends a transfer that is still in progress, and counts it.
func (b *Budget) end(h *Hold, kind Kind) {
	if h.endTransfer(kind) {
		b.countEnded(kind)
	}
}

func (b *Budget) countEnded(kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Ended[kind]++
}

// await waits until a reservation is granted or ctx ends.
func (b *Budget) await(ctx context.Context, h *Hold, kind Kind, bytes int64, beforeWait func()) error {
	b.mu.Lock()
	if !b.canFit(kind, h.held[kind]+bytes) {
		b.counts.Refused[kind]++
		b.mu.Unlock()
		return ErrNoRoom
	}
	w := &waiter{h, kind, bytes, make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.grantWaiting()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
		beforeWait()
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiters {
		if other == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.counts.Refused[kind]++
			b.grantWaiting()
			return errors.Wrap(ctx.Err(), "wait for memory")
		}
	}
	// It was granted at the same moment.
	return nil
}
