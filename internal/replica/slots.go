package replica

import "time"

const (
	// rejectionShare is the share of the rejections that a brittle server bears in a window after which
	// no host sends it more: requests that are on their way may be rejected too.
	rejectionShare = 0.5
	// extraShare is the share of the rejections that a brittle server bears which some hosts may risk, with
	// one request each beyond their own slots.
	extraShare = 0.5
	// sharedSlots is the share of a brittle server's slots up to which hosts may use slots of other hosts.
	sharedSlots = 0.5
	// borrowInterval is the interval between two requests of a host that use slots of other hosts although
	// it has slots of its own: what others have just sent is not known yet. A server must bear
	// minBorrowRejections for that.
	borrowInterval      = 50 * time.Millisecond
	minBorrowRejections = 4
	// ownSlotsTime is how long after a rejection at any brittle server of a service each host keeps to its
	// own slots there, if it has any.
	ownSlotsTime = 5 * time.Second
	// borrowTurn is how long a host without slots may use those of a server before it is the turn of others:
	// about as long as loads take to reach them.
	borrowTurn = 10 * time.Millisecond
	// turnShare is the share of a server's slots that hosts without slots may use in one turn, one request
	// each, and sharedSlots that of a server that bears minBorrowRejections. With half of the slots, servers
	// that bear one rejection fell over more often.
	turnShare = 0.25
	// calmTime is how long a server must not have been filled beyond sharedSlots before a host without slots
	// uses it: one that has just become free is filled by the hosts that own its slots. With 40 ms, servers
	// that bear one rejection fell over while pressed; with 100 ms, more requests were lost while they were
	// a quarter full.
	calmTime = 70 * time.Millisecond
	// fillTime is how long after a server ceased to be calm its owners take turns in filling it: hosts
	// without slots may still use some of theirs. Without that, two owners that saw one free slot both took it.
	fillTime = 200 * time.Millisecond
)

// slotState is what a host knows of a brittle server and its own slots there.
type slotState struct {
	slots, maxRejections int
	// own is the number of slots that belong to this host. withoutSlots is set if it has none at any server of
	// the service that it may use.
	own          int
	withoutSlots bool
	// sent is the number of requests in flight of this host, total that of all hosts as far as it is known.
	sent, total int
	// rejected is the number of rejections of all hosts' requests in the last window.
	rejected int
	// sinceRejection is the time since a server of the service last rejected a request, sinceBorrowed the
	// time since this host last used a slot of another host there, and sinceBusy the time since this server
	// was last known to be filled beyond sharedSlots.
	sinceRejection, sinceBorrowed, sinceBusy time.Duration
	// isYielding is set if this host leaves its slots to others at this moment.
	isYielding bool
	// isExtra is set if this host may risk a request beyond its own slots. isTurn is set while it is this
	// host's turn to use the slots of others at this server.
	isExtra, isTurn bool
}

// tooManyRejections reports whether the server may fall over if it has to reject a few more requests.
func (s *slotState) tooManyRejections() bool {
	return s.rejected > 0 && float64(s.rejected) >= rejectionShare*float64(s.maxRejections)
}

// hasRoom reports whether this host may send the server another request. The owner of a slot leaves it to
// another host that is known to use it.
func (s *slotState) hasRoom() bool {
	switch {
	case s.tooManyRejections() || s.total >= s.slots:
		return false
	case s.sent < s.own:
		return !s.isYielding
	case s.withoutSlots:
		return s.isTurn && s.isCalm()
	case s.sinceRejection < ownSlotsTime:
		return false
	case s.sent == s.own && s.isExtra:
		return true
	default:
		return s.isShared() && s.maxRejections >= minBorrowRejections && s.sinceBorrowed >= borrowInterval
	}
}

// isShared reports whether the server stays within sharedSlots with another request.
func (s *slotState) isShared() bool { return float64(s.total+1) <= sharedSlots*float64(s.slots) }

// isCalm reports whether a host without slots may use one of the server's on its turn.
func (s *slotState) isCalm() bool {
	return s.isShared() && s.rejected == 0 && s.sinceBusy >= calmTime && s.sinceBorrowed >= borrowTurn
}

// isTurn reports whether it is the turn of one of some hosts without slots, the one at an index, to use a slot
// of the server at a position of its service, where so many of them have their turn together. The turns of a
// host at the servers are spread over time. Hosts need no common clock: on average, as many have their turn
// with any.
func isTurn(hosts, together, index, servers, position int, now time.Time) bool {
	turns := max(1, (hosts+together-1)/together)
	return (now.UnixMilli()/borrowTurn.Milliseconds()+int64(index+position*turns/servers))%int64(turns) == 0
}

// borrowersTogether returns how many hosts without slots may use a server in one turn.
func borrowersTogether(slots, maxRejections int) int {
	share := turnShare
	if maxRejections >= minBorrowRejections {
		share = sharedSlots
	}
	return max(1, int(share*float64(slots)))
}

// yields reports whether the owner of a server's slot with a rank, from 0, leaves it unused at this moment
// because others may use it: as many owners as there are free slots have their turn.
func yields(rank, slots, total int, now time.Time) bool {
	tick := now.UnixMilli() / borrowTurn.Milliseconds()
	return (tick+int64(rank))%int64(slots) >= int64(slots-total)
}
