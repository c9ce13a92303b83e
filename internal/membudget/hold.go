package membudget

import (
	"context"
	"sync"
	"time"
)

// Hold is what one request, or one connection, has reserved. A nil Hold grants everything. It is
// safe for concurrent use.
type Hold struct {
	b   *Budget
	end func(Kind)

	// held, connected and released are protected by the budget's lock.
	held      [Kinds]int64
	connected bool
	released  bool

	mu sync.Mutex
	// moving is set while a transfer of a kind waits for the caller.
	moving bool
	kind   Kind
	ended  bool
	meter  meter
}

// Reserve reserves bytes, and reports whether there was room.
func (h *Hold) Reserve(kind Kind, bytes int64) bool {
	if h == nil {
		return true
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.b.tryReserve(h, kind, bytes) {
		return true
	}
	h.b.counts.Refused[kind]++
	// Nobody is ended for what would not fit into an empty budget.
	if h.b.canFit(kind, h.held[kind]+bytes) {
		h.b.lacking = max(h.b.lacking, h.b.shortage(kind, h.held[kind], bytes))
	}
	return false
}

// ReserveConnection reserves the bytes of a connection and its place among all connections, and reports whether there
// was room for both.
func (h *Hold) ReserveConnection(bytes int64) bool {
	if h == nil {
		return true
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	full := h.b.maxConnections > 0 && h.b.connections >= h.b.maxConnections
	if full || !h.b.tryReserve(h, Socket, bytes) {
		h.b.counts.Refused[Socket]++
		h.b.lackingConnections++
		return false
	}
	h.connected = true
	h.b.connections++
	return true
}

// Await reserves bytes once there is room. It fails when ctx ends, and with ErrNoRoom if the bytes
// exceed the budget. It calls beforeWait if there is no room at once.
func (h *Hold) Await(ctx context.Context, kind Kind, bytes int64, beforeWait func()) error {
	if h == nil {
		return nil
	}
	return h.b.await(ctx, h, kind, bytes, beforeWait)
}

// Return returns reserved bytes, at most those that the hold has.
func (h *Hold) Return(kind Kind, bytes int64) {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.add(h, kind, -min(bytes, h.held[kind]))
	h.b.grantWaiting()
}

// Release returns all bytes. Further calls have no effect, and later reservations are refused.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.Stop()
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	delete(h.b.holds, h)
	if h.connected {
		h.b.connections--
	}
	for kind, bytes := range h.held {
		h.b.add(h, Kind(kind), -bytes)
	}
	h.b.grantWaiting()
}

// Start begins a transfer, which may be ended until Stop is called. Only the time between the two
// counts for the caller's rate.
func (h *Hold) Start(kind Kind, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kind != kind {
		h.meter = meter{}
	}
	h.kind, h.moving = kind, true
	h.meter.start(now)
}

// Moved counts transferred bytes.
func (h *Hold) Moved(bytes int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.meter.moved += int64(bytes)
}

// Continue counts bytes of a transfer, which is of a kind from now on, and reports whether it was not ended before.
func (h *Hold) Continue(kind Kind, bytes int, now time.Time) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	if h.kind != kind {
		h.kind, h.meter = kind, meter{startedAt: now}
	}
	h.meter.moved += int64(bytes)
	return true
}

// Pause ends the part of a transfer that waits for the caller, at a time. After it returns, the
// transfer is not ended until the next Start.
func (h *Hold) Pause(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.moving {
		h.meter.pause(now)
		h.moving = false
	}
}

// Stop ends the transfer, which is not ended after it returns.
func (h *Hold) Stop() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.moving = false
}

// Ended reports whether a transfer was ended because of memory pressure.
func (h *Hold) Ended() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// entry returns the transfer in progress, if there is one.
func (h *Hold) entry(now time.Time) (Entry, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.moving || h.ended {
		return Entry{}, false
	}
	moved, measured := h.meter.observe(now)
	return Entry{Kind: h.kind, Moved: moved, Measured: measured}, true
}

// endTransfer ends a transfer of a kind if it is still in progress.
func (h *Hold) endTransfer(kind Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.moving || h.ended || h.kind != kind {
		return false
	}
	h.ended = true
	h.end(kind)
	return true
}

// meter measures a transfer's rate over the last one to two times minMeasured of the time that
// was spent waiting for the caller.
type meter struct {
	// waited is the time spent before startedAt.
	waited    time.Duration
	startedAt time.Time
	moved     int64
	// previous and current are the beginnings of the last two intervals.
	previous, current mark
}

type mark struct {
	waited time.Duration
	moved  int64
}

func (m *meter) start(now time.Time) { m.startedAt = now }

func (m *meter) pause(now time.Time) { m.waited += now.Sub(m.startedAt) }

// observe returns the bytes moved in the measured time.
func (m *meter) observe(now time.Time) (moved int64, measured time.Duration) {
	at := mark{m.waited + now.Sub(m.startedAt), m.moved}
	if at.waited-m.current.waited >= minMeasured {
		m.previous, m.current = m.current, at
	}
	return at.moved - m.previous.moved, at.waited - m.previous.waited
}
