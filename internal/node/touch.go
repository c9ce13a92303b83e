package node

import (
	"sync/atomic"
	"time"
)

// touch remembers when this host was last in touch with the rest of the system.
type touch struct {
	limit time.Duration
	last  atomic.Int64
}

func newTouch(started time.Time, limit time.Duration) *touch {
	t := &touch{limit: limit}
	t.last.Store(started.UnixNano())
	return t
}

// log reports whether the log was read within the limit.
func (t *touch) log(now, read time.Time) bool { return now.Sub(read) < t.limit }

// lost takes a look at the log and the peers, and reports whether the host has
// been without both for longer than the limit.
func (t *touch) lost(now, read time.Time, mostPeers bool) bool {
	if t.log(now, read) || mostPeers {
		t.last.Store(now.UnixNano())
	}
	return now.Sub(time.Unix(0, t.last.Load())) > t.limit
}

// outOfTouch reports whether a change may have been accepted elsewhere that
// this host cannot hear of: it reaches neither the log nor most listed hosts.
// With the log down for everyone nothing can have been accepted, and most hosts
// are in reach, so work goes on.
func (n *Node) outOfTouch(now time.Time) bool {
	most := n.members.InTouchWithMost(now, n.settings.Member.DeadAfter.AsDuration())
	return n.touch.lost(now, n.tailer.Follower().Touched(), most)
}
