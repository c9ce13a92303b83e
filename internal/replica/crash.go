package replica

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/quarantine"
)

const (
	// crashWindow is how long after a connection broke the end of its server still counts as
	// the crash that broke it. Entries of crashed servers are removed within this time.
	crashWindow = 5 * time.Second
	// abandonedCrashWindow is the same for an attempt that this host gave up before the
	// complete answer, or whose caller left: the server keeps running it for a while.
	abandonedCrashWindow = 2 * time.Second
	// maxBrokenRequests limits the broken requests remembered for each server; it is more
	// than any server runs at once.
	maxBrokenRequests = 256
)

// brokenRequest is a request whose exchange with its server ended before the complete answer, or
// may have.
type brokenRequest struct {
	fingerprint quarantine.Fingerprint
	// at is when the exchange ended; from expires on, a crash of the server is no longer
	// attributed to the request. byServer is set if the server's side ended it.
	at, expires time.Time
	byServer    bool
	// answered is set if the answer seemed complete, but would also if the server had crashed: it ended
	// with its connection. It counts once the server has shown that it lives on.
	answered bool
}

// confirmedAnswer is an answered request whose server has lived on.
type confirmedAnswer struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// crash is the crash of a server while it was running requests.
type crash struct {
	server  quarantine.Server
	running []quarantine.Fingerprint
	at      time.Time
}

// ConnectionBroken records that the connection broke before the complete answer. A probe of the
// server then shows whether it crashed; servers close single connections too.
func (f *Flight) ConnectionBroken(now time.Time) {
	t, e := f.table, f.entry
	t.mu.Lock()
	defer t.unlockAndNotify()
	f.broken = true
	if t.linksInDoubt(e) {
		return
	}
	e.recordBroken(brokenRequest{fingerprint: f.work.Fingerprint, at: now, expires: now.Add(crashWindow), byServer: true})
	if e.recentlyRefused(now) {
		t.attributeRefused(e, now)
		return
	}
	e.needsProbe = true
	t.track(t.active, e)
}

// Abandoned records that this host ended the exchange before the complete answer. The server
// may have begun to run the request and may crash a little later.
func (f *Flight) Abandoned(now time.Time) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	if f.table.linksInDoubt(f.entry) {
		return
	}
	f.entry.recordBroken(brokenRequest{fingerprint: f.work.Fingerprint, at: now, expires: now.Add(abandonedCrashWindow)})
}

// AnsweredUntilClose records an answer that ended with its connection. If the request is suspected of
// crashing servers, the server is probed at once.
func (f *Flight) AnsweredUntilClose(suspected bool, now time.Time) {
	t, e := f.table, f.entry
	t.mu.Lock()
	defer t.unlockAndNotify()
	if t.linksInDoubt(e) {
		return
	}
	e.recordBroken(brokenRequest{fingerprint: f.work.Fingerprint, at: now, expires: now.Add(crashWindow), byServer: true, answered: true})
	e.needsProbe = e.needsProbe || suspected
	t.track(t.active, e)
	t.track(t.unconfirmed, e)
}

// ProbeAnswered records that a server accepted a connection, or kept one open, after the given time.
func (t *Table) ProbeAnswered(id, address string, began time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if e := t.entries[id]; e != nil && e.reg.Address == address {
		t.confirmAnswers(e, func(b brokenRequest) bool { return b.at.Before(began) })
	}
}

// ConfirmAnswers counts the answers that ended with their connections, and whose servers have not
// crashed within crashWindow.
func (t *Table) ConfirmAnswers(now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	for id, e := range t.unconfirmed {
		t.confirmAnswers(e, func(b brokenRequest) bool { return !now.Before(b.expires) })
		if !slices.ContainsFunc(e.brokenRequests, func(b brokenRequest) bool { return b.answered }) {
			delete(t.unconfirmed, id)
		}
	}
}

// confirmAnswers counts the answers of a server that ended with their connections, if lives reports
// that the server lived on after them.
func (t *Table) confirmAnswers(e *entry, lives func(b brokenRequest) bool) {
	e.brokenRequests = slices.DeleteFunc(e.brokenRequests, func(b brokenRequest) bool {
		confirmed := b.answered && lives(b)
		if confirmed {
			t.pendingAnswers = append(t.pendingAnswers, confirmedAnswer{b.fingerprint, b.at})
		}
		return confirmed
	})
}

// recordBroken remembers a request, in place of the oldest if the limit is reached.
func (e *entry) recordBroken(b brokenRequest) {
	if len(e.brokenRequests) >= maxBrokenRequests {
		e.brokenRequests = e.brokenRequests[1:]
	}
	e.brokenRequests = append(e.brokenRequests, b)
}

// attributeCrash attributes the end of a server to the requests that broke recently. The end
// of a draining server is not a crash.
func (t *Table) attributeCrash(e *entry, now time.Time) {
	if e.is(StateDraining) {
		e.brokenRequests = nil
		return
	}
	c := crash{server: quarantine.ServerOf(e.reg.ID, e.reg.Started), at: e.crashTime(now)}
	for _, b := range e.brokenRequests {
		if now.Before(b.expires) {
			c.running = append(c.running, b.fingerprint)
		}
	}
	e.brokenRequests = nil
	if len(c.running) == 0 {
		return
	}
	t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "requests": len(c.running), "digests": loggedDigests(c.running)}).Warn("replica crashed while it was running requests")
	t.pendingCrashes = append(t.pendingCrashes, c)
}

// crashTime returns when the server crashed: connections break with it, while its entry may be
// removed seconds later.
func (e *entry) crashTime(now time.Time) time.Time {
	at := time.Time{}
	for _, b := range e.brokenRequests {
		if b.byServer && now.Before(b.expires) && b.at.After(at) {
			at = b.at
		}
	}
	if at.IsZero() {
		return now
	}
	return at
}

// maxLoggedDigests limits the requests that the line on a crash names.
const maxLoggedDigests = 16

func loggedDigests(running []quarantine.Fingerprint) []string {
	out := make([]string, min(len(running), maxLoggedDigests))
	for i := range out {
		out[i] = running[i].Request.String()
	}
	return out
}

// clearBroken forgets the connections that broke before the given time, at which a request
// was sent that the server has since answered: no crash broke them.
func (t *Table) clearBroken(e *entry, sent time.Time) {
	before := func(b brokenRequest) bool { return b.at.Before(sent) }
	t.confirmAnswers(e, before)
	e.brokenRequests = slices.DeleteFunc(e.brokenRequests, before)
	if e.connectionRefusedAt.Before(sent) {
		e.connectionRefusedAt = time.Time{}
	}
}

// unlockAndNotify releases the lock and then reports the pending crashes and confirmed answers.
func (t *Table) unlockAndNotify() {
	crashes, answers := t.pendingCrashes, t.pendingAnswers
	t.pendingCrashes, t.pendingAnswers = nil, nil
	t.mu.Unlock()
	for _, c := range crashes {
		t.OnCrash(c.server, c.running, c.at)
	}
	for _, a := range answers {
		t.OnAnswered(a.fingerprint, a.at)
	}
}

// TakeProbeTargets returns the addresses of the servers to probe because a connection that carried
// a request broke. Each server is returned once for such a failure.
func (t *Table) TakeProbeTargets() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]string{}
	for id, e := range t.active {
		if e.needsProbe {
			out[id] = e.reg.Address
		}
		e.needsProbe = false
	}
	return out
}

// ConnectionRefused records that nothing listens at a server's address.
func (t *Table) ConnectionRefused(id, address string, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if e := t.entries[id]; e != nil && e.reg.Address == address {
		e.connectionRefusedAt = now
		t.recordNotReached(e, false, now, now)
		if len(e.brokenRequests) > 0 {
			// Whether it crashed shows by the others, and is to be known before its requests are sent again.
			t.contactOf(e.reg.Service).doubt(now.Add(-doubtDelay))
		}
		t.attributeRefused(e, now)
	}
}

// recentlyRefused reports whether nothing listened at the server's address a short while ago.
func (e *entry) recentlyRefused(now time.Time) bool {
	return !e.connectionRefusedAt.IsZero() && now.Sub(e.connectionRefusedAt) < crashWindow
}

// attributeRefused attributes the crash of a server that refuses connections once this host has
// reached another server of the service since its requests broke or a connection was refused: a cut
// between this host and the servers breaks and refuses connections too.
func (t *Table) attributeRefused(e *entry, now time.Time) {
	if len(e.brokenRequests) == 0 {
		return
	}
	since := e.connectionRefusedAt
	if brokenAt := e.brokenRequests[len(e.brokenRequests)-1].at; brokenAt.Before(since) {
		since = brokenAt
	}
	if t.reachedSince(e, since) {
		t.attributeCrash(e, now)
	}
}

// attributeOtherRefused attributes the crashes that were not attributed yet when this host reaches
// another server of the service.
func (t *Table) attributeOtherRefused(reached *entry, c *contact, now time.Time) {
	for id := range c.failed {
		if e := t.entries[id]; e != reached && e != nil && e.recentlyRefused(now) {
			t.attributeCrash(e, now)
		}
	}
}

// dropBroken forgets the requests that broke at the servers of a service that this host turned out to
// be cut off from.
func (t *Table) dropBroken(service string) {
	for _, id := range t.services[service] {
		e := t.entries[id]
		e.brokenRequests, e.connectionRefusedAt = nil, time.Time{}
	}
}
