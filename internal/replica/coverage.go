package replica

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/silence"
)

const (
	// coverageInterval is how often the coverage of all services is updated.
	coverageInterval = 250 * time.Millisecond
	// reachedWindow is how recently this host must have reached a server for it to count as reached.
	reachedWindow = 3 * time.Second
	// minMissing is the number of servers that this host must miss for that to be due to its own links.
	minMissing = 3
)

// Coverage is how many servers of a service this host reaches, and how many it misses: it fails to connect to
// them or gets no answers, whatever other hosts report. Servers that it has not tried of late count for neither.
type Coverage struct {
	Reached, Missing int
	// Servers is the number of servers of the service, 0 if it is not known.
	Servers int
}

// Share returns the share of the tried servers that this host reaches, 1 if it tried none.
func (c Coverage) Share() float64 {
	if c.Reached+c.Missing == 0 {
		return 1
	}
	return float64(c.Reached) / float64(c.Reached+c.Missing)
}

// margin returns by how much the share of the tried servers may differ from that of all servers by chance. It is
// none once all have been tried.
func (c Coverage) margin(servers int) float64 {
	tried := float64(c.Reached + c.Missing)
	if tried == 0 {
		return 1
	}
	if servers == 0 {
		return math.Sqrt(1 / tried)
	}
	return math.Sqrt(max(0, 1-tried/float64(servers)) / tried)
}

// MuchLess reports whether this is less than half of another host's coverage by more than chance. A server that is
// down is missing at all hosts that try it.
func (c Coverage) MuchLess(other Coverage) bool {
	most, least := c.Share()+c.margin(c.Servers), other.Share()-other.margin(c.Servers)
	return c.Missing >= minMissing && other.Reached >= 2*max(1, c.Reached) && 2*most < least
}

// missing reports whether this host misses a server: connections to it fail, or it has been silent for longer than a
// sound server may be.
func (e *entry) missing(now time.Time) bool {
	return !e.failingSince.IsZero() || e.health.unreachable || e.silent(now)
}

// recordUnresponsive records that the server has been unresponsive for a time. Requests may end meanwhile, and
// others begin: the silence lasts until an answer.
func (e *entry) recordUnresponsive(d time.Duration, now time.Time) {
	if e.silentSince.Before(e.lastSeen) || now.Sub(e.silentAt) >= reachedWindow {
		e.silentSince = now.Add(-d)
	}
	e.silentAt = now
}

// silent reports whether the server was recently found to have answered nothing for silence.AnswerTime.
func (e *entry) silent(now time.Time) bool {
	return !e.silentSince.Before(e.lastSeen) && now.Sub(e.silentAt) < reachedWindow && e.silentAt.Sub(e.silentSince) >= silence.AnswerTime
}

func (e *entry) recentlyReached(now time.Time) bool {
	return !e.reachedAt.IsZero() && now.Sub(e.reachedAt) < reachedWindow
}

// updateCoverage updates the coverage of all services, and logs when this host begins or ceases to miss several
// servers of one.
func (t *Table) updateCoverage(now time.Time) {
	if now.Sub(t.coverageAt) < coverageInterval {
		return
	}
	t.coverageAt = now
	updated, undecided := map[string]Coverage{}, map[string]int{}
	for id, e := range t.tried {
		c := updated[e.reg.Service]
		switch {
		case !e.is(StateServing) && !e.is(StateLapsed):
			delete(t.tried, id)
		case e.missing(now):
			c.Missing++
		case e.unresponsive:
			undecided[e.reg.Service]++
		case e.recentlyReached(now):
			c.Reached++
		default:
			delete(t.tried, id)
		}
		updated[e.reg.Service] = c
	}
	for service, ids := range t.services {
		c := updated[service]
		c.Servers = len(ids)
		t.setCoverage(service, c)
		t.contactOf(service).undecided = undecided[service]
	}
}

func (t *Table) setCoverage(service string, current Coverage) {
	c := t.contactOf(service)
	missed := c.coverage.Missing >= minMissing
	c.coverage = current
	if missed != (current.Missing >= minMissing) {
		t.log.WithFields(logrus.Fields{"service": service, "reached": current.Reached, "missing": current.Missing}).Info("servers missed by this host")
	}
}

const (
	// coverageProbeInterval is the interval of probes while this host misses several servers of a service.
	coverageProbeInterval = 500 * time.Millisecond
	// coverageSample is the number of servers of a service that it tries at least then.
	coverageSample = 40
	// missingProbes is the number of unresponsive servers that it probes at a time, and while it reaches few of
	// missing ones.
	missingProbes = 8
)

// coverageProbes returns servers, chosen at random, to connect to because this host misses several or may miss them:
// some that are unresponsive, some that it has not tried, as the coverage rests on few otherwise, and while it reaches
// few some of those that it misses, as it sends them no requests. Silent ones are to answer a health check.
func (t *Table) coverageProbes(service string, c *contact, now time.Time) []ContactProbe {
	if c.lost() || c.coverage.Missing+c.undecided < minMissing || now.Sub(c.coverageProbedAt) < coverageProbeInterval {
		return nil
	}
	c.coverageProbedAt = now
	untried, undecided, missing := 0, missingProbes, 0
	if c.coverage.Missing >= minMissing {
		untried = coverageSample - c.coverage.Reached - c.coverage.Missing
	}
	if c.reachesFew {
		missing = missingProbes
	}
	var out []ContactProbe
	ids := t.services[service]
	for _, i := range rand.Perm(len(ids)) {
		e := t.entries[ids[i]]
		switch {
		case !e.is(StateServing) && !e.is(StateLapsed) || e.limit.limited:
			continue
		case e.missing(now) && missing > 0:
			missing--
		case !e.missing(now) && e.unresponsive && undecided > 0:
			undecided--
		case !e.missing(now) && !e.unresponsive && !e.recentlyReached(now) && untried > 0:
			untried--
		default:
			continue
		}
		out = append(out, ContactProbe{ID: ids[i], Address: e.reg.Address, Service: service, Ask: e.silent(now)})
	}
	return out
}

// SetReachesFew records whether other hosts reach many more servers of a service than this host. While they do, what it
// fails to reach is no evidence against the servers.
func (t *Table) SetReachesFew(service string, few bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contactOf(service)
	if c.reachesFew == few {
		return
	}
	c.reachesFew = few
	line := t.log.WithFields(logrus.Fields{"service": service, "reached": c.coverage.Reached, "missing": c.coverage.Missing})
	if !few {
		line.Info("servers of a service are reached again as by other hosts")
		return
	}
	t.dropFailures(service)
	t.dropBroken(service)
	line.Warn("few servers of a service are reached, other hosts reach more")
}

// ReachesFew reports whether other hosts reach many more servers of a service than this host.
func (t *Table) ReachesFew(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contacts[service]
	return c != nil && c.reachesFew
}

// MissingServers returns the number of servers that this host misses.
func (t *Table) MissingServers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.contacts {
		n += c.coverage.Missing
	}
	return n
}
