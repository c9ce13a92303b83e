package node

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/topic"
)

const (
	// maxEntriesAge is the age of the last read of the backend servers' entries, by any host,
	// from which this host reads them itself. Together with a heartbeat interval, the read and
	// the transfer, entries stay well under a second old.
	maxEntriesAge = 400 * time.Millisecond
	// entriesStagger is added for each host that precedes this one by rank, so that hosts do not
	// all read at once.
	entriesStagger = 60 * time.Millisecond
	// maxStaggeredHosts limits the number of hosts that are waited for.
	maxStaggeredHosts = 6
	// minFirstReadDelay and firstReadJitter determine how long a starting host waits for the
	// store's records from other hosts. Seed hosts read the store at once, and the others get
	// the records from them within half a second, which saves the store a call or two per host.
	// The random part spreads the reads out if no host answers.
	minFirstReadDelay = 500 * time.Millisecond
	firstReadJitter   = time.Second
	// maxFirstReadDelay limits that wait while other hosts offer records, the last offer no
	// longer than recentOfferAge ago. In a large fleet that starts at once, hosts are served one
	// after another.
	maxFirstReadDelay = 5 * time.Second
	recentOfferAge    = 700 * time.Millisecond
	// leaseFollowers is the number of hosts that follow the lease's log, so that one of them can
	// take the lease over. Each costs a call per term if it gets no reports from the holder.
	leaseFollowers = 16
	// crashSavers is the number of hosts that save crash records again which may be missing from a
	// restored store. All hosts have them; one or two may not reach the store.
	crashSavers = 3
)

// chooseFirstReadDelay returns how long a starting host waits before it reads the store.
func chooseFirstReadDelay(s *pb.MemberSettings) time.Duration {
	if s.IsSeed || len(s.Seeds) == 0 {
		return 0
	}
	return minFirstReadDelay + rand.N(firstReadJitter)
}

// delaysFirstRead reports whether this host has just started and may still get the store's records
// from other hosts.
func (n *Node) delaysFirstRead() bool {
	now := clock.Now()
	since := now.Sub(n.started)
	return since < n.firstReadDelay || since < maxFirstReadDelay && n.recordsOffered.Age(now) < recentOfferAge
}

// awaitsRelay reports whether this host has just started and sees enough other routing hosts to
// be on standby, so that a relay may soon send it the addresses. A routing host needs the
// addresses at once, to know how many hosts share the limits.
func (n *Node) awaitsRelay() bool {
	now := clock.Now()
	return now.Sub(n.started) < maxFirstReadDelay && !n.members.View(now).SelfRouting
}

// storeRestored is called when an answer of the store shows that it was restored from a copy, which
// has no records of the seconds before.
func (n *Node) storeRestored(era, before int64) {
	n.log.WithFields(logrus.Fields{"era": era, "before": before}).Warn("store was restored from a copy")
	n.access.Restored(clock.Now())
	n.lease.Restored(era)
	n.canaryLease.Restored(era)
	select {
	case n.restored <- struct{}{}:
	default:
	}
	if n.rank() < crashSavers {
		n.crashes.SaveAgain(clock.Now().Add(-maxCopyAge))
	}
}

// topicRestored is called when this host has applied a topic of a store that was restored from a
// copy. Entries that are not in the copy may be about to be written again.
func (n *Node) topicRestored(t *topic.Table, era int64) {
	n.access.Restored(clock.Now())
	n.log.WithFields(logrus.Fields{"topic": t.Name(), "era": era, "end": t.End(), "retained": t.Retained()}).Info("records of the restored store applied")
	n.requestHeartbeatToAll()
}

// followsLease reports whether this host may take the lease.
func (n *Node) followsLease() bool { return !n.delaysFirstRead() && n.rank() < leaseFollowers }

// skipsOperatorRead reports whether this host need not read operators' records because other
// hosts do.
func (n *Node) skipsOperatorRead() bool {
	now := clock.Now()
	v := n.members.View(now)
	skip := othersReadOperators(v.Rank, len(v.Routing), v.Live, n.members.HasActiveRelay(now), n.operatorsAge(now))
	n.longPollsOperators.Store(!skip)
	return skip
}

// othersReadOperators is skipsOperatorRead for the host of a rank, given the numbers of routing
// and live hosts, whether it is a standby host with a relay, and the age of the known records.
func othersReadOperators(rank, routing, live int, relayed bool, age time.Duration) bool {
	switch {
	case rank < operatorReaders:
		return false
	case relayed:
		return true
	default:
		return age < operatorsStaleAge+operatorReadTurn(rank, routing, live)
	}
}

// operatorReadTurn returns how long after operatorsStaleAge a host reads operators' records
// itself. Standby hosts without a relay receive nothing from the routing hosts, and so do not
// wait for their turns.
func operatorReadTurn(rank, routing, live int) time.Duration {
	first, last := operatorReaders, routing
	if rank >= routing {
		first, last = max(operatorReaders, routing), live
	}
	pause := min(operatorsStagger, operatorsSpread/time.Duration(max(1, last-first)))
	return time.Duration(rank-first) * pause
}

// skipsEntryRead reports whether some live host has recently read the backend servers' entries
// and this host has all of them. A standby host with a relay always gets them from it.
func (n *Node) skipsEntryRead() bool {
	now := clock.Now()
	if n.members.HasActiveRelay(now) {
		return true
	}
	limit := maxEntriesAge + time.Duration(min(n.rank(), maxStaggeredHosts))*entriesStagger
	return n.servers.Age(now) < maxEntriesAge || n.entriesFreshness.Age(now) < limit
}
