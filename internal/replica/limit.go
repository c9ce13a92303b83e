package replica

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/permit"
	"github.com/briarlink/briarlink/platform"
)

const (
	// limitLogInterval is how often the calls of this host to a server with a request limit are
	// logged.
	limitLogInterval = 4 * time.Second
	// limitsPerHeartbeat is the number of servers whose limits one heartbeat reports, at about 40
	// bytes each; the next heartbeat continues with the next servers.
	limitsPerHeartbeat = 6
	// limitReportTime is how long a statement is reported to other hosts.
	limitReportTime = 10 * time.Second
)

// requestLimit is the limit that one incarnation of a server states in its answers: how many
// requests a second it takes from all hosts together.
type requestLimit struct {
	// limited is set while the server states a limit, which is perSecond.
	limited   bool
	perSecond float64
	// at is when the server last stated the limit or, by an answer without one, that it has none.
	// receivedAt is when this host itself last received such a statement.
	at, receivedAt time.Time
	// deferredUntil is when this host may ask again for a permit to send the server a request.
	deferredUntil time.Time
	// calls counts what this host sent to the limited server since countedSince.
	calls        map[platform.CallKind]int
	countedSince time.Time
}

// applyLimit applies what an answer says about a limit. began is when the answered call began.
// Answers on several connections may overtake each other: only an answer to a request that began
// after the limit was last stated can end it.
func (t *Table) applyLimit(e *entry, a platform.ReplicaAnswer, began, now time.Time) {
	l := &e.limit
	switch {
	case a.LimitsRequests && a.RequestLimit < 0:
		t.log.WithField("replica", e.reg.ID).Debug("replica states a request limit that is no number")
	case a.LimitsRequests:
		l.receivedAt = now
		t.setLimit(e, true, a.RequestLimit, now)
	case a.Sealed && l.limited && began.After(l.at):
		l.receivedAt = now
		t.setLimit(e, false, 0, began)
	}
}

// setLimit records what a server stated at a time.
func (t *Table) setLimit(e *entry, limited bool, perSecond float64, at time.Time) {
	l := &e.limit
	changed := l.limited != limited || l.perSecond != perSecond
	before := l.perSecond
	l.limited, l.perSecond, l.at = limited, perSecond, at
	if !changed {
		return
	}
	l.deferredUntil = time.Time{}
	fields := logrus.Fields{"replica": e.reg.ID, "per_second": perSecond, "before": before}
	if !limited {
		t.log.WithFields(fields).Info("replica no longer limits its requests")
		return
	}
	t.log.WithFields(fields).Info("replica limits its requests")
	t.track(t.limited, e)
}

// countCall counts a call to a server with a request limit.
func (e *entry) countCall(kind platform.CallKind) {
	if !e.limit.limited {
		return
	}
	if e.limit.calls == nil {
		e.limit.calls = map[platform.CallKind]int{}
	}
	e.limit.calls[kind]++
}

// CountCall counts a call to the server at an address, if it limits its requests.
func (t *Table) CountCall(address string, kind platform.CallKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.limited {
		if e.reg.Address == address {
			e.countCall(kind)
		}
	}
}

// LogLimitedCalls logs the calls of this host to servers that limit their requests.
func (t *Table) LogLimitedCalls(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.limited {
		l := &e.limit
		if now.Sub(l.countedSince) < limitLogInterval {
			continue
		}
		if len(l.calls) > 0 && !l.countedSince.IsZero() {
			fields := logrus.Fields{"replica": id, "per_second": l.perSecond, "ms": now.Sub(l.countedSince).Milliseconds()}
			for kind, n := range l.calls {
				fields[string(kind)] = n
			}
			t.log.WithFields(fields).Info("calls to a replica that limits its requests")
		}
		l.calls, l.countedSince = nil, now
		if !l.limited && now.Sub(l.receivedAt) >= limitReportTime {
			delete(t.limited, id)
		}
	}
}

// Limit is a server's request limit.
type Limit struct {
	Server    permit.Server
	Limited   bool
	PerSecond float64
	// Age is the time since the server stated it.
	Age time.Duration
}

func (e *entry) limitAt(now time.Time) Limit {
	return Limit{permit.Server{ID: e.reg.ID, Started: e.reg.Started}, e.limit.limited, e.limit.perSecond, now.Sub(e.limit.at)}
}

// Limit returns the request limit of a server, and false if the table does not have the server.
func (t *Table) Limit(id string, now time.Time) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return Limit{}, false
	}
	return e.limitAt(now), true
}

// LimitOfAddress returns the limit of the server at an address, and false if there is none.
func (t *Table) LimitOfAddress(address string, now time.Time) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.limited {
		if e.reg.Address == address && e.limit.limited {
			return e.limitAt(now), true
		}
	}
	return Limit{}, false
}

// ApplyLimit applies a limit that another host reported, unless this host has a later statement
// of the server or the report is about another incarnation.
func (t *Table) ApplyLimit(l Limit, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[l.Server.ID]
	if e == nil || e.reg.Started != l.Server.Started || !(l.PerSecond >= 0) {
		return
	}
	if l.Limited == e.limit.limited && l.PerSecond == e.limit.perSecond {
		// The age of a report does not include its time in transit: a statement that hosts report back and
		// forth would seem to be repeated.
		return
	}
	if at := now.Add(-l.Age); at.After(e.limit.at) {
		t.setLimit(e, l.Limited, l.PerSecond, at)
	}
}

// DeferRequests keeps requests of this host from a server whose limit leaves none for now. Of
// several deferrals the first counts, as each was given its own time to ask again.
func (t *Table) DeferRequests(id string, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && !now.Before(e.limit.deferredUntil) {
		e.limit.deferredUntil = now.Add(wait)
	}
}

// deferral returns how long this host sends the server no requests because of its limit.
func (l *requestLimit) deferral(now time.Time) time.Duration {
	if !l.limited {
		return 0
	}
	return max(0, l.deferredUntil.Sub(now))
}

// AllAtLimit reports whether a service has usable servers and this host sends none of them requests
// for now because of their request limits.
func (t *Table) AllAtLimit(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limited := 0
	for _, id := range t.services[service] {
		e := t.entries[id]
		switch {
		case e.is(StateDraining) || e.health.unreachable:
		case e.limit.deferral(now) == 0:
			return false
		default:
			limited++
		}
	}
	return limited > 0
}

// LimitReports returns what servers recently stated about their limits in answers to this host, in
// turn, for the other hosts.
func (t *Table) LimitReports(now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, e := range t.limited {
		if !e.limit.receivedAt.IsZero() && now.Sub(e.limit.receivedAt) < limitReportTime {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var out []Limit
	for range min(limitsPerHeartbeat, len(ids)) {
		at, _ := slices.BinarySearch(ids, t.limitCursor)
		id := ids[at%len(ids)]
		t.limitCursor = id + "\x00"
		out = append(out, t.entries[id].limitAt(now))
	}
	return out
}
