package node

import (
	"context"
	"net"
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

// bufferSetter sets the sizes of a socket's buffers.
type bufferSetter interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// fixBuffers fixes the sizes of a socket's buffers, which would otherwise grow to some megabytes.
func fixBuffers(c bufferSetter, size int) {
	// The system doubles what is set, for its own bookkeeping. An error means that the connection is
	// closed, which its next use shows.
	_ = c.SetReadBuffer(size / 2)
	_ = c.SetWriteBuffer(size / 2)
}

// limitedListener accepts connections while the budget has room for them.
type limitedListener struct {
	net.Listener
	budget *membudget.Budget
	size   int
}

// limitConnections returns a listener whose connections are counted, or l itself without a budget.
func limitConnections(l net.Listener, b *membudget.Budget) net.Listener {
	if b == nil || l == nil {
		return l
	}
	size := socketBuffer(b)
	if tcp, ok := l.(syscall.Conn); ok {
		fixListener(tcp, size)
	}
	return &limitedListener{l, b, size}
}

// fixListener sets the sizes of the buffers that accepted connections inherit, so that no caller is told
// a larger window before fixBuffers is called.
func fixListener(l syscall.Conn, size int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	// An error is ignored: fixBuffers sets the same sizes.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size/2)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size/2)
	})
}

// Accept implements net.Listener. Connections without room are closed at once.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		hold := l.budget.Open(func(membudget.Kind) {})
		if !hold.Reserve(membudget.Socket, connectionCost(l.budget)) {
			hold.Release()
			_ = conn.Close()
			continue
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return &countedConn{Conn: conn, hold: hold}, nil
		}
		fixBuffers(tcp, l.size)
		return &countedTCP{tcp, hold}, nil
	}
}

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

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// limitDial returns a dial function whose connections have buffers of fixed sizes, as an answer that is
// not read yet would otherwise fill megabytes. Without a budget it returns dial itself.
func limitDial(dial dialFunc, b *membudget.Budget) dialFunc {
	if b == nil {
		return dial
	}
	size := socketBuffer(b)
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if c, ok := conn.(bufferSetter); ok {
			fixBuffers(c, size)
		}
		return conn, err
	}
}

// relieveMemory ends slow callers under memory pressure, and reports what is held, refused and ended.
func (n *Node) relieveMemory(now time.Time) {
	if n.memory == nil {
		return
	}
	n.memory.Relieve(now)
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
