package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/silence"
)

const (
	// minFailedProbes is the number of servers of a service, chosen at random, that a host must fail to
	// connect to, without reaching any in between, before it counts as cut off from the service. All
	// servers must fail if the service has fewer.
	minFailedProbes = 20
	// doubtDelay is how long a host waits for any sign of a service before it probes other servers
	// of it because one failed.
	doubtDelay = 100 * time.Millisecond
	// doubtProbeInterval is the interval of these probes, and lostProbeInterval that of the probes,
	// lostProbes at a time, by which a host that is cut off finds out that it no longer is. With two at a time a
	// host did not find out within a second, if half of 400 servers were down, once in 600 times.
	doubtProbeInterval = 500 * time.Millisecond
	lostProbeInterval  = 250 * time.Millisecond
	lostProbes         = 4
	// stallTime is the pause of a stream after which contact is checked if nothing else of the service
	// arrived meanwhile. A sound server may pause for a second.
	stallTime = time.Second
)

// contact is this host's evidence of whether it reaches the servers of one service at all. Without
// it, a host that is cut off from sound servers would take all of them to be down.
type contact struct {
	// seenAt is when this host last reached any of the servers.
	seenAt time.Time
	// heardAt is when data of any of the servers last arrived.
	heardAt time.Time
	// failed holds the servers to which a connection failed since seenAt, and were not failing before.
	failed map[string]bool
	// failedProbes is the part of failed that was chosen at random.
	failedProbes int
	// doubtedAt is when the first exchange since seenAt failed or hung, or zero.
	doubtedAt time.Time
	// silence follows whether anything answers although connections open.
	silence silence.Watch
	// lostAt is since when the host counts as cut off from the service, or zero. Only answers to what
	// was sent from evidenceFrom on end the cut.
	lostAt       time.Time
	evidenceFrom time.Time
	// regainedAt is when the last cut ended. Exchanges that began before it failed because of the cut.
	regainedAt time.Time
	// reachedBefore is when this host last reached a server before it was cut off.
	reachedBefore time.Time
	probedAt      time.Time
	coverage      Coverage
	// undecided is the number of servers that are unresponsive, but not for long enough to count as missing.
	undecided int
	// reachesFew is set while other hosts reach many more of the servers than this host.
	reachesFew bool
	// coverageProbedAt is when servers were last probed because this host misses several.
	coverageProbedAt time.Time
}

func (t *Table) contactOf(service string) *contact {
	c := t.contacts[service]
	if c == nil {
		c = &contact{failed: map[string]bool{}}
		t.contacts[service] = c
	}
	return c
}

// recordAnswered records that a server answered what was sent to it at the given time. While this host
// is cut off from the service, an answer to what was sent before proves nothing.
func (t *Table) recordAnswered(e *entry, began, now time.Time) {
	if c := t.contactOf(e.reg.Service); !c.lost() || !began.Before(c.evidenceFrom) {
		c.silence.End()
		c.heardAt = now
		t.recordReached(e, now)
	}
}

// recordReached records that this host reached a server: it answered or, while this host is not cut off
// from the service, a connection to it could be opened.
func (t *Table) recordReached(e *entry, now time.Time) {
	e.failingSince, e.reachedAt = time.Time{}, now
	t.track(t.tried, e)
	c := t.contactOf(e.reg.Service)
	if c.lostAt.IsZero() && !c.reachesFew {
		t.attributeOtherRefused(e, c, now)
	}
	c.seenAt, c.doubtedAt = now, time.Time{}
	if !c.silence.Active() {
		c.probedAt = time.Time{}
	}
	c.failedProbes = 0
	clear(c.failed)
	if c.lostAt.IsZero() {
		return
	}
	t.log.WithFields(logrus.Fields{"service": e.reg.Service, "replica": e.reg.ID, "ms": now.Sub(c.lostAt).Milliseconds()}).Info("contact with a service regained")
	c.lostAt, c.regainedAt = time.Time{}, now
	t.retryFailed(e.reg.Service, now)
}

// retryFailed has the servers of a service probed at once that were marked down while this host was
// cut off from it, or just before that showed. They are not reported as down until they fail again.
func (t *Table) retryFailed(service string, now time.Time) {
	for _, e := range t.active {
		if e.reg.Service == service && e.health.downTime > 0 && !e.health.downSince.Before(t.contacts[service].reachedBefore) {
			e.health.downUntil, e.health.unreported = now, true
			e.failingSince = time.Time{}
		}
	}
}

// failedByCut reports whether an exchange that began at the given time failed, or may have failed,
// because this host was cut off from the service.
func (t *Table) failedByCut(e *entry, r Result, began time.Time) bool {
	c := t.contactOf(e.reg.Service)
	return (r == Lost || r == Unreachable || r == ConnectTimeout) && (c.lost() || began.Before(c.regainedAt))
}

// dropFailures forgets the failures of exchanges with the servers of a service that this host turned
// out to be cut off from.
func (t *Table) dropFailures(service string) {
	for _, e := range t.active {
		if e.reg.Service == service {
			e.failures = failures{}
		}
	}
}

// reachedSince reports whether this host has reached any server of an entry's service since the given
// time, and is not cut off from it, or from most of the servers, now.
func (t *Table) reachedSince(e *entry, since time.Time) bool {
	c := t.contacts[e.reg.Service]
	return c != nil && !c.lost() && !c.reachesFew && !c.seenAt.Before(since)
}

// recordNotReached records that a connection to a server, begun at the given time, failed: of a request
// or, with probe set, of a server chosen at random. A server that failed while others were reached
// says nothing about this host's own links.
func (t *Table) recordNotReached(e *entry, probe bool, began, now time.Time) {
	c := t.contactOf(e.reg.Service)
	if e.failingSince.IsZero() {
		e.failingSince = began
		t.track(t.tried, e)
	}
	if e.failingSince.Before(c.seenAt) {
		return
	}
	c.doubt(now)
	c.failed[e.reg.ID] = true
	if probe {
		c.failedProbes++
	}
	if c.lostAt.IsZero() && t.allFailed(e.reg.Service, c) {
		t.loseContact(e.reg.Service, c, now, now)
	}
}

// loseContact counts this host as cut off from a service. Answers to what was sent before evidenceFrom do
// not end that.
func (t *Table) loseContact(service string, c *contact, evidenceFrom, now time.Time) {
	c.lostAt, c.evidenceFrom, c.reachedBefore = now, evidenceFrom, c.provedAt()
	t.dropFailures(service)
	t.dropBroken(service)
	t.log.WithFields(logrus.Fields{
		"service": service, "failed": len(c.failed), "unanswered": c.silence.Unanswered(now), "silence_ms": now.Sub(c.reachedBefore).Milliseconds(),
	}).Warn("contact with a service lost")
	t.doubtOtherServices(now)
}

// provedAt returns when this host last reached a server. While nothing answers, connections that open do
// not count.
func (c *contact) provedAt() time.Time {
	if since := c.silence.Since(); c.silence.Active() && since.Before(c.seenAt) {
		return since
	}
	return c.seenAt
}

// recordHang records that a server answers nothing although it was reached. The silence lasts until
// something answers, whether or not connections open.
func (t *Table) recordHang(service string, now time.Time) {
	c := t.contactOf(service)
	c.doubt(now)
	c.silence.Begin(now)
}

// checkStalls has servers of an entry's service asked for a health check if a stream from that server stalls and
// nothing else of the service arrives: the next request may be seconds away. It does so once for each pause, as the
// stream's caller may just read slowly.
func (t *Table) checkStalls(e *entry, now time.Time) {
	c := t.contactOf(e.reg.Service)
	if c.lost() || now.Sub(c.heardAt) < stallTime {
		return
	}
	for f := range e.flights {
		if f.answerStarted && !f.stallChecked && now.Sub(f.progressAt) >= stallTime {
			f.stallChecked = true
			c.silence.Begin(now)
		}
	}
}

// doubt records that the contact has been doubtful since the given time.
func (c *contact) doubt(since time.Time) {
	if c.doubtedAt.IsZero() || since.Before(c.doubtedAt) {
		c.doubtedAt = since
	}
}

// doubtOtherServices has the contact with all services checked: a cut mostly affects them all.
func (t *Table) doubtOtherServices(now time.Time) {
	for service := range t.services {
		t.contactOf(service).doubt(now)
	}
}

// allFailed reports whether connections to enough servers failed.
func (t *Table) allFailed(service string, c *contact) bool {
	if c.failedProbes >= minFailedProbes {
		return true
	}
	for _, id := range t.services[service] {
		if !c.failed[id] && t.provesContact(id, c) {
			return false
		}
	}
	return len(c.failed) > 0
}

// provesContact reports whether a server may be expected to accept connections of a host that is
// not cut off.
func (t *Table) provesContact(id string, c *contact) bool {
	e := t.entries[id]
	failedBefore := !e.failingSince.IsZero() && e.failingSince.Before(c.seenAt)
	return (e.is(StateServing) || e.is(StateLapsed)) && !failedBefore
}

// LostContact reports whether this host counts as cut off from a service.
func (t *Table) LostContact(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contacts[service].lost()
}

// isCutOff reports whether this host counts as cut off from an entry's service.
func (t *Table) isCutOff(e *entry) bool { return t.contacts[e.reg.Service].lost() }

// linksInDoubt reports whether what fails at an entry's server may be due to this host's links: it is cut off from
// the service, or from most of its servers.
func (t *Table) linksInDoubt(e *entry) bool {
	c := t.contacts[e.reg.Service]
	return c.lost() || c != nil && c.reachesFew
}

func (c *contact) lost() bool { return c != nil && !c.lostAt.IsZero() }

// Contact is what this host reports about the servers of one service.
type Contact struct {
	Service string
	// Lost is set if this host counts as cut off from the service.
	Lost bool
	// ReachedAt is when this host last reached any of the servers, or zero.
	ReachedAt time.Time
	Coverage  Coverage
}

// maxReportedContacts limits the services that a host reports its contact with.
const maxReportedContacts = 24

// Contacts returns this host's contact with each service that has servers, ordered by name, those that
// it is cut off from first.
func (t *Table) Contacts() []Contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Contact, 0, len(t.services))
	for service := range t.services {
		c := t.contactOf(service)
		out = append(out, Contact{service, c.lost(), c.provedAt(), c.coverage})
	}
	slices.SortFunc(out, func(a, b Contact) int {
		if a.Lost != b.Lost {
			if a.Lost {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Service, b.Service)
	})
	return out[:min(len(out), maxReportedContacts)]
}

// LostContacts returns the number of services that this host counts as cut off from.
func (t *Table) LostContacts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.contacts {
		if c.lost() {
			n++
		}
	}
	return n
}

// ContactProbe is a server to connect to because the contact with its service is doubtful or lost.
type ContactProbe struct {
	ID      string
	Address string
	Service string
	// Ask is set if only an answer proves contact: the server is to be sent a health check.
	Ask bool
}

// TakeContactProbes returns the probes that are due now.
func (t *Table) TakeContactProbes(now time.Time) []ContactProbe {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateCoverage(now)
	var out []ContactProbe
	for service, c := range t.contacts {
		out = append(out, t.coverageProbes(service, c, now)...)
		interval, limit := doubtProbeInterval, minFailedProbes
		if c.lost() {
			interval, limit = lostProbeInterval, lostProbes
		}
		doubtful := !c.doubtedAt.IsZero() && now.Sub(c.doubtedAt) >= doubtDelay
		silent := c.silence.Active() && now.Sub(c.silence.Since()) >= doubtDelay
		if !doubtful && !silent || now.Sub(c.probedAt) < interval {
			continue
		}
		c.probedAt = now
		out = append(out, t.contactProbes(service, c, limit, now)...)
	}
	return out
}

// contactProbes returns up to limit servers of a service, chosen at random. While the contact is only
// doubtful, those that failed already are left out. While it is lost, all are asked; while nothing
// answers, silence.Asks of them.
func (t *Table) contactProbes(service string, c *contact, limit int, now time.Time) []ContactProbe {
	var out []ContactProbe
	asks := 0
	ids := t.services[service]
	for _, i := range rand.Perm(len(ids)) {
		id := ids[i]
		if len(out) == limit {
			break
		}
		if !t.provesContact(id, c) || !c.lost() && c.failed[id] {
			continue
		}
		ask := c.lost() || c.silence.Active() && asks < silence.Asks && c.silence.MayAsk(id, now)
		if !ask && c.doubtedAt.IsZero() || ask && !t.takeAsk(t.entries[id], now) {
			continue
		}
		if ask {
			asks++
		}
		out = append(out, ContactProbe{ID: id, Address: t.entries[id].reg.Address, Service: service, Ask: ask})
	}
	return out
}

// takeAsk reports whether a server may be sent a health check now. One that limits its requests is not sent
// another within silence.AskTimeout: a host that is cut off would use up permits that others need.
func (t *Table) takeAsk(e *entry, now time.Time) bool {
	if e.limit.limited && now.Sub(e.contactAskedAt) < silence.AskTimeout {
		return false
	}
	e.contactAskedAt = now
	return true
}

// RecordContactAsked records that a probe sends a health check to a server now.
func (t *Table) RecordContactAsked(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		t.contactOf(e.reg.Service).silence.Asked(id, now)
	}
}

// RecordContactAnswer records that a server answered a health check that was sent at the given time.
func (t *Table) RecordContactAnswer(id string, began, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if e := t.entries[id]; e != nil {
		e.silentAt = time.Time{}
		t.recordAnswered(e, began, now)
	}
}

// RecordAnswerAt records that the server at an address answered a call that began at the given time. It
// ends the silence of its service, but not a cut: a connection that was open before may live on in a
// cut in which no new one opens.
func (t *Table) RecordAnswerAt(address string, began, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	for service, c := range t.contacts {
		if c.lost() || !c.silence.Active() {
			continue
		}
		for _, id := range t.services[service] {
			if e := t.entries[id]; e.reg.Address == address {
				t.recordAnswered(e, began, now)
			}
		}
	}
}

// SilentServices returns the services of which no server answers anything although connections open,
// and since when.
func (t *Table) SilentServices(now time.Time) map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]time.Time{}
	for service, c := range t.contacts {
		if c.lost() || !c.silence.Active() {
			continue
		}
		var expected []string
		for _, id := range t.services[service] {
			if t.provesContact(id, c) && !c.failed[id] {
				expected = append(expected, id)
			}
		}
		if c.silence.Total(expected, now) {
			out[service] = c.silence.Since()
		}
	}
	return out
}

// CheckContact has servers of a service asked for a health check if this host is not known to reach any now.
func (t *Table) CheckContact(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.contactOf(service); !c.lost() {
		c.silence.Begin(now)
	}
}

// LoseContact counts this host as cut off from a service that is silent while other hosts get answers. An
// answer to anything that was sent since the silence began ends that: the servers may be slow.
func (t *Table) LoseContact(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.contacts[service]; c != nil && !c.lost() && c.silence.Active() {
		t.loseContact(service, c, c.silence.Since(), now)
		// Connections to servers of other services open too in such a cut.
		for other := range t.services {
			t.contactOf(other).silence.Begin(now)
		}
	}
}

// recordConnected records that a connection to a server could be opened. While this host is cut off
// from the service that proves nothing: something on the way may accept connections, and end them
// or pass nothing on.
func (t *Table) recordConnected(e *entry, now time.Time) {
	if !t.isCutOff(e) {
		t.recordReached(e, now)
	}
}

// RecordContactProbe records the result of a connection attempt that TakeContactProbes asked for, begun at the given
// time. A failure says nothing about the health of a single server; one that was down may get a trial request after
// a success.
func (t *Table) RecordContactProbe(id string, reached bool, began, now time.Time) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	e := t.entries[id]
	switch {
	case e == nil:
	case reached:
		t.recordConnected(e, now)
		if !t.isCutOff(e) {
			e.health.recordReachable(now)
		}
	default:
		t.recordNotReached(e, true, began, now)
	}
}
