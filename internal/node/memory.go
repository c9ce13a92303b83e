package node

import (
	"math"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/membudget"
)

const (
	// A socket buffer has a socketShare of the budget, but at least minSocketBuffer, which still carries
	// some 8 MB per second over a round trip of 1 ms, and at most maxSocketBuffer.
	socketShare     = 1.0 / 8192
	minSocketBuffer = 16 << 10
	maxSocketBuffer = 64 << 10
	// noMemoryLimit is the budget in bytes of a host without one.
	noMemoryLimit = 1 << 50
)

// newMemoryBudget returns the budget for callers' requests, answers and connections.
func newMemoryBudget(s *pb.Settings) *membudget.Budget {
	limit := int64(s.Overload.MemoryShare * float64(s.Host.MemoryMb<<20))
	if limit == 0 {
		limit = noMemoryLimit
	}
	b := membudget.New(limit)
	b.LimitConnections(callerConnections(s.Host))
	return b
}

// socketBuffer returns the size of a socket buffer under a budget, or 0 if the system is to choose it.
func socketBuffer(b *membudget.Budget) int {
	if b.Limit() == noMemoryLimit {
		return 0
	}
	return max(minSocketBuffer, min(maxSocketBuffer, int(socketShare*float64(b.Limit()))))
}

const (
	// reservedFiles are the descriptors that are left for files.
	reservedFiles = 200
	// callerShare is the part of the others that callers' connections may have. Each of their requests may need
	// a connection to a backend server too.
	callerShare = 0.4
	// peerShare is the part for connections of other hosts.
	peerShare = 0.125
	// minConnections is the least number of connections of a kind.
	minConnections = 16
)

// callerConnections returns the maximum number of callers' connections, including those to the directory.
func callerConnections(h *pb.HostSettings) int { return connections(h, callerShare) }

// peerConnections returns the maximum number of connections that other hosts may open.
func peerConnections(h *pb.HostSettings) int { return connections(h, peerShare) }

// connections returns the number of connections that have a share of the descriptors.
func connections(h *pb.HostSettings, share float64) int {
	files := h.MaxOpenFiles
	if files == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
			limit.Cur = math.MaxInt32
		}
		files = int64(limit.Cur)
	}
	return max(minConnections, int(share*float64(files-reservedFiles)))
}

// reclaimMemory ends slow callers under memory pressure, and reports what is held, refused and ended.
func (n *Node) reclaimMemory(now time.Time) {
	n.memory.Reclaim(now)
	n.metrics.CallerConnections.Update(float64(n.memory.Connections()))
	held, counts := n.memory.Held(), n.memory.Counts()
	fields := logrus.Fields{"budget": n.memory.Limit()}
	changed := false
	for kind := range membudget.Kinds {
		refused := counts.Refused[kind] - n.memoryCounts.Refused[kind]
		ended := counts.Ended[kind] - n.memoryCounts.Ended[kind]
		n.metrics.Memory(kind.String(), held[kind], refused, ended)
		fields[kind.String()] = held[kind]
		fields["refused_"+kind.String()], fields["ended_"+kind.String()] = counts.Refused[kind], counts.Ended[kind]
		changed = changed || refused > 0 || ended > 0
	}
	n.memoryCounts = counts
	if !changed {
		return
	}
	if skipped, ok := n.memoryLogLimiter.Allow(now); ok {
		n.log.WithFields(fields).WithField("others", skipped).Warn("memory budget: requests refused or slow callers ended")
	}
}
