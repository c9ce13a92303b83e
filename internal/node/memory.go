package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/netdial"
)

const (
	// A socket buffer has a socketShare of the budget, but at least minSocketBuffer, which still carries
	// some 8 MB per second over a round trip of 1 ms, and at most maxSocketBuffer.
	socketShare     = 1.0 / 8192
	minSocketBuffer = 16 << 10
	maxSocketBuffer = 64 << 10
	// connectionBytes is what a connection uses beside its socket: two buffers of 4 KB and the stacks of
	// the goroutines that serve it.
	connectionBytes = 16 << 10
)

// newMemoryBudget returns the budget for callers' requests and answers, or nil if the settings set none.
func newMemoryBudget(s *pb.Settings) *membudget.Budget {
	return membudget.New(int64(s.Overload.MemoryShare * float64(s.Host.MemoryMb<<20)))
}

// socketBuffer returns the size of a socket buffer under a budget.
func socketBuffer(b *membudget.Budget) int {
	return max(minSocketBuffer, min(maxSocketBuffer, int(socketShare*float64(b.Limit()))))
}

// connectionCost returns what a caller's connection reserves. It has one full socket buffer at a
// time: a caller that sends a request does not read an answer yet.
func connectionCost(b *membudget.Budget) int64 {
	return int64(socketBuffer(b)) + connectionBytes
}

// limitedListener accepts connections while the budget has room for them.
type limitedListener struct {
	net.Listener
	budget *membudget.Budget
	// refusing counts the connections that are being refused.
	refusing atomic.Int64
}

// limitConnections returns a listener whose connections are counted, or l itself without a budget.
func limitConnections(l net.Listener, b *membudget.Budget) net.Listener {
	if b == nil || l == nil {
		return l
	}
	if c, ok := l.(syscall.Conn); ok {
		netdial.LimitListener(c, socketBuffer(b))
	}
	return &limitedListener{Listener: l, budget: b}
}

// Accept implements net.Listener. Connections without room are refused at once.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		hold := l.budget.Open(func(membudget.Kind) {})
		if !hold.Reserve(membudget.Socket, connectionCost(l.budget)) {
			hold.Release()
			l.refuse(conn)
			continue
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return &countedConn{Conn: conn, hold: hold}, nil
		}
		return &countedTCP{tcp, hold}, nil
	}
}

const (
	// refuseTime is how long a refused caller may take to read the answer, and maxRefusing limits the
	// connections that wait for it. Others are closed without an answer.
	refuseTime  = 500 * time.Millisecond
	maxRefusing = 64
)

// refuse answers a connection without room, whose request is not read, with 503, and closes it.
func (l *limitedListener) refuse(conn net.Conn) {
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		defer conn.Close()
		// An error ends the following calls too, and the caller is gone then.
		_ = conn.SetDeadline(time.Now().Add(refuseTime))
		_, _ = io.WriteString(conn, noRoomAnswer)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		// Closing a connection with unread data would reset it, and the caller might lose the answer.
		_, _ = io.Copy(io.Discard, conn)
	}()
}

// noRoomAnswer is the answer to a connection without room.
var noRoomAnswer = func() string {
	kind := errkind.Overloaded.Answer()
	body := fmt.Sprintf(`{"error":{"type":%q,"message":"this host has no memory for another connection","run_state":%q}}`, kind.Name, kind.Run)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\n%s",
		kind.Status, http.StatusText(kind.Status), len(body), kind.RetryAfter.Seconds(), body)
}()

// countedConn is a connection that counts towards the budget until it is closed.
type countedConn struct {
	net.Conn
	hold *membudget.Hold
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.hold.Release()
	return c.Conn.Close()
}

// countedTCP is the same for TCP, and keeps the methods that net/http uses.
type countedTCP struct {
	*net.TCPConn
	hold *membudget.Hold
}

// Close implements net.Conn.
func (c *countedTCP) Close() error {
	defer c.hold.Release()
	return c.TCPConn.Close()
}

// SetWriteDeadline implements net.Conn. A deadline in the past aborts the answer: the system then drops what
// it has not sent, which a slow caller would keep in memory.
func (c *countedTCP) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		// An error means that the connection is closed.
		_ = c.SetLinger(0)
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// reclaimMemory ends slow callers under memory pressure, and reports what is held, refused and ended.
func (n *Node) reclaimMemory(now time.Time) {
	if n.memory == nil {
		return
	}
	n.memory.Reclaim(now)
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
