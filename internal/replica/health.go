package replica

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/mechanism"
)

// Result is how an exchange with a server ended.
type Result int

// Results of an exchange.
const (
	// Answered is a complete answer of the server.
	Answered Result = iota
	// Failed is an answer that reports a failure of the server itself.
	Failed
	// Refused is an answer by which a full server reports that it did not run the request.
	Refused
	// Lost is a broken connection or an invalid answer.
	Lost
	// Unreachable means that nothing could be sent to the server.
	Unreachable
	// ConnectTimeout is a connection attempt that timed out.
	ConnectTimeout
	// Cancelled is an exchange that was ended by the caller or by the deadline.
	Cancelled
)

// String returns the result's name for logs.
func (r Result) String() string {
	return [...]string{"answered", "failed", "refused", "lost", "unreachable", "connect timeout", "cancelled"}[r]
}

const (
	// slowWeight is the weight of one answer in the moving average of excess times,
	// slowDecay the time constant with which that average decays.
	slowWeight = 0.15
	slowDecay  = 2 * time.Second
	// minTimedExpectation is the lower limit of the expected time that answers are compared
	// with.
	minTimedExpectation = 150 * time.Millisecond
	// minDownTime and maxDownTime limit how long an unreachable server gets no requests. The
	// minimum is a little longer than a crash takes to show in the load of other servers;
	// the maximum lets a restarted server be found again.
	minDownTime = 300 * time.Millisecond
	maxDownTime = 3 * time.Second
	// unresponsiveThreshold is the result of unresponsiveFor from which a server is suspected,
	// so that routing decisions avoid it. Above the threshold it counts as unresponsive, and
	// other hosts are notified that it is down.
	unresponsiveThreshold = 600 * time.Millisecond
	// suspicionTimeout is how long another host's report that a server is down counts; it is
	// renewed with each heartbeat of that host.
	suspicionTimeout = 400 * time.Millisecond
	// recentlySeenThreshold is the maximum age of a liveness signal that outweighs such a
	// report.
	recentlySeenThreshold = 300 * time.Millisecond
	// reportAfterReached is how long a server that was down is still reported to other hosts
	// after a connection to it could be opened, since it may still be unresponsive. The
	// report does not last until a request succeeds there: among many servers, this host may
	// send it none for a long time, and all other hosts would leave it idle meanwhile.
	reportAfterReached = time.Second
	// consecutiveBreaks is how many connections must break one after the other, without any answer of the server in
	// between, before it is avoided: healthy servers close single connections.
	consecutiveBreaks = 3
	// maxTrialInterval limits the time between two trial requests to such a server. Each trial costs a caller its
	// request, while a server that recovered stays unused until a trial is answered.
	maxTrialInterval = 500 * time.Millisecond
	// maxSlow limits how slow a single answer can make a server look.
	maxSlow = 12.0
)

// health is the state of a server as inferred from its answers. The server's own health
// checks are not used: they are expensive and may be wrong.
type health struct {
	// excess is the average ratio by which answers exceeded their expected time, as of
	// excessAt.
	excess   float64
	excessAt time.Time
	// downTime is above 0 while the server is marked down, which lasts at least until
	// downUntil.
	downTime  time.Duration
	downUntil time.Time
	// downSince is when the server was marked down. While unreported is set, other hosts are not told: this host
	// was cut off from the service, which holds until the server fails again, or connections broke.
	downSince  time.Time
	unreported bool
	// unreachable is set while connections to the server fail.
	unreachable bool
	// connectTimeoutAt is the time of a first connect timeout to a server that was not
	// marked down, or zero.
	connectTimeoutAt time.Time
	// reachableSince is the time since which connections can be opened again, or zero. A
	// single trial request may then be sent to the server.
	reachableSince time.Time
	// trialRunning is set while the trial request is in flight.
	trialRunning bool
	// suspectedUntil is when the last report of another host that the server is down expires.
	suspectedUntil time.Time
	// broken counts the connections that broke one after the other since the last answer, the last at
	// brokenAt.
	broken   int
	brokenAt time.Time
}

// state returns whether the server is down, and whether a trial request may be sent to it.
func (h *health) state(now time.Time) (down, trial bool) {
	if h.downTime == 0 {
		return h.onlySuspected(now), false
	}
	if now.Before(h.downUntil) || h.trialRunning || h.reachableSince.IsZero() {
		return true, false
	}
	return false, true
}

// onlySuspected reports whether the server counts as down only because of another host's
// report.
func (h *health) onlySuspected(now time.Time) bool {
	return h.downTime == 0 && now.Before(h.suspectedUntil)
}

// shouldReport reports whether other hosts are notified that the server is down.
func (h *health) shouldReport(now time.Time) bool {
	return h.downTime > 0 && !h.unreported && (h.reachableSince.IsZero() || now.Sub(h.reachableSince) < reportAfterReached)
}

// markDown marks the server down for minDownTime. Each further call doubles the time, up to
// maxDownTime.
func (h *health) markDown(now time.Time) {
	h.downTime = min(max(2*h.downTime, minDownTime), maxDownTime)
	h.downUntil = now.Add(h.downTime)
	h.reachableSince = time.Time{}
	h.unreported = false
}

// slow returns by which factor answers take longer than expected. Without new answers it
// decays to 1: otherwise a server that is avoided because it was slow could never show that
// it has recovered.
func (h *health) slow(now time.Time) float64 {
	if h.excess == 0 {
		return 1
	}
	return 1 + h.excess*math.Exp(-float64(now.Sub(h.excessAt))/float64(slowDecay))
}

// observe records the measured and the expected time of an answer. Short times say little
// about a server's speed, as they are mostly spent queued behind requests that this host had
// no record of.
func (h *health) observe(actual, expected time.Duration, now time.Time) {
	ratio := float64(actual) / float64(max(expected, minTimedExpectation))
	answerExcess := min(maxSlow, max(1, ratio)) - 1
	h.excess = (h.slow(now) - 1) + slowWeight*(answerExcess-(h.slow(now)-1))
	h.excessAt = now
}

// connectTimeout records a connection attempt that timed out. A single timeout may be due to
// this host being slow or to a lost packet. The server is then avoided but remains usable as
// a last resort, since otherwise all requests to a service with a single server would be
// refused. Timeouts of attempts that were already running at that time are ignored. A timeout
// of a later attempt, or one to a server that is already marked down, makes the server
// unreachable, so that a server that never answers costs its callers at most two timeouts, one
// after the other, in each outage.
func (h *health) connectTimeout(began, now time.Time) {
	if began.Before(h.connectTimeoutAt) {
		return
	}
	if h.downTime == 0 {
		h.connectTimeoutAt = now
	} else {
		h.unreachable = true
	}
	h.markDown(now)
}

// recordResult records how an exchange that began at the given time ended.
func (h *health) recordResult(r Result, began, now time.Time) {
	h.trialRunning = false
	switch r {
	case Answered, Refused, Failed:
		h.recordAnswer(began)
	case Unreachable:
		h.unreachable = true
		h.markDown(now)
	case ConnectTimeout:
		h.connectTimeout(began, now)
	case Lost, Cancelled:
	}
}

// recordBroken records that the connection of a request sent at the given time broke before any answer. It
// counts only if the request was sent after the last such break, as all open connections may break at once.
// From consecutiveBreaks on the server gets single trial requests. A connection that can be opened proves
// nothing then. Other hosts are not notified, as they may reach the server.
func (h *health) recordBroken(began, now time.Time) {
	if began.Before(h.brokenAt) {
		return
	}
	h.broken, h.brokenAt = h.broken+1, now
	if h.broken < consecutiveBreaks {
		return
	}
	unreported := h.unreported || h.downTime == 0
	h.markDown(now)
	h.downTime = min(h.downTime, maxTrialInterval)
	h.downUntil = now.Add(h.downTime)
	h.reachableSince, h.unreported = h.downUntil, unreported
}

// recordAnswer records an answer to a request sent at the given time. While connections break, a server may
// still answer requests that were sent before.
func (h *health) recordAnswer(began time.Time) {
	if h.broken < consecutiveBreaks || !began.Before(h.brokenAt) {
		h.markUp()
	}
}

// recordReachable records that a connection to the server could be opened.
func (h *health) recordReachable(now time.Time) {
	if h.reachableSince.IsZero() {
		h.reachableSince = now
	}
	h.unreachable = false
}

// markUp resets the state of a server that has answered.
func (h *health) markUp() {
	h.downTime, h.broken = 0, 0
	h.unreachable = false
	h.connectTimeoutAt = time.Time{}
	h.suspectedUntil = time.Time{}
}

func weightsText(model string, version int64) string { return fmt.Sprintf("%s=%d", model, version) }

// DownServers returns the servers to report as down to other hosts, by what this host itself has
// observed, and the addresses of those that are due for another connection attempt. A server is
// reported only once this host has reached another one of the service since: otherwise its own links
// may be at fault.
func (t *Table) DownServers(now time.Time) (ids []string, due map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due = map[string]string{}
	for id, e := range t.active {
		t.updateLiveness(e, now)
		hangs := e.unresponsive && !t.contactOf(e.reg.Service).silence.Active() && t.reachedSince(e, now.Add(-e.unresponsiveFor(now)))
		if hangs || e.health.shouldReport(now) && t.reachedSince(e, e.health.downSince) {
			ids = append(ids, id)
		}
		if e.health.downTime > 0 && e.health.reachableSince.IsZero() && !now.Before(e.health.downUntil) {
			due[id] = e.reg.Address
		}
	}
	sort.Strings(ids)
	return ids, due
}

// Reached records whether a connection to a server that was down could be opened.
func (t *Table) Reached(id string, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	e := t.entries[id]
	switch {
	case e == nil:
	case ok:
		e.health.recordReachable(now)
		t.recordConnected(e, now)
	default:
		t.recordNotReached(e, false, now, now)
		t.updateHealth(e, "no connection", now, func(h *health) {
			h.unreachable = true
			h.markDown(now)
		})
	}
}

// updateHealth applies a change to a server's health, and logs when the server is marked
// down or up again.
func (t *Table) updateHealth(e *entry, reason string, now time.Time, change func(*health)) {
	wasDown := e.health.downTime > 0
	change(&e.health)
	if e.health.downTime > 0 {
		t.track(t.active, e)
		t.track(t.tried, e)
	}
	if e.health.downTime > 0 && !wasDown {
		e.health.downSince = now
	}
	down := e.health.downTime > 0
	if down == wasDown {
		return
	}
	logEntry := t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "reason": reason, "failures": fmt.Sprintf("%.2f", t.recentOutcomes(e, now).share())})
	if down {
		logEntry.Warn("replica thought down")
	} else {
		logEntry.Info("replica serves again")
	}
}

// updateLiveness updates whether a server is unresponsive, and logs when it becomes so. It has the contact
// with its service checked if a stream stalls.
func (t *Table) updateLiveness(e *entry, now time.Time) {
	unresponsiveFor := e.unresponsiveFor(now)
	unresponsive := unresponsiveFor > unresponsiveThreshold
	if unresponsive && !e.unresponsive {
		t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "silence_ms": unresponsiveFor.Milliseconds(), "requests": len(e.flights)}).Warn("replica gives no sign of life")
		t.recordHang(e.reg.Service, now)
	}
	if unresponsive {
		e.recordUnresponsive(unresponsiveFor, now)
		t.track(t.tried, e)
	}
	e.unresponsive = unresponsive
	t.checkStalls(e, now)
}

// Suspect records another host's report that servers are down. A recent liveness signal that
// this host has received outweighs it.
func (t *Table) Suspect(host string, ids []string, now time.Time) {
	if t.Off[mechanism.PeerDoubts] {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		e := t.entries[id]
		if e == nil || now.Sub(e.lastSeen) <= recentlySeenThreshold {
			continue
		}
		if !now.Before(e.health.suspectedUntil) {
			t.log.WithFields(logrus.Fields{"replica": id, "host": host}).Info("replica avoided: another host finds it down")
		}
		e.health.suspectedUntil = now.Add(suspicionTimeout)
	}
}
