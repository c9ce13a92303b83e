package member

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/obs"
)

const (
	// maxDatagram bounds a heartbeat: a datagram that fits into one packet of every
	// usual path is lost alone, one in fragments with any of them.
	maxDatagram = 1200
	// receiveBytes is room for any datagram.
	receiveBytes = 64 << 10
)

// Gossip sends and receives heartbeats over UDP.
type Gossip struct {
	conn *net.UDPConn
	log  *logrus.Logger
	// unread, unsent and unencoded bound the lines on heartbeats, which grow with the hosts.
	unread, unsent, unencoded obs.Limiter
	// Sent is told of each datagram that is sent; it may be nil and is set before use.
	Sent func(to string, bytes int)
}

// NewGossip returns heartbeats over a socket, which Close closes.
func NewGossip(conn *net.UDPConn, log *logrus.Logger) *Gossip {
	return &Gossip{conn: conn, log: log}
}

// Close ends Receive.
func (g *Gossip) Close() error { return errors.Wrap(g.conn.Close(), "close the heartbeat socket") }

// Receive calls heard for each heartbeat until the socket is closed.
func (g *Gossip) Receive(ctx context.Context, heard func(*pb.Heartbeat)) {
	buf := make([]byte, receiveBytes)
	for ctx.Err() == nil {
		n, _, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// A refused datagram of another host shows up here; heartbeats go on.
			g.log.WithError(err).Debug("heartbeat not received")
			time.Sleep(time.Millisecond)
			continue
		}
		g.take(buf[:n], heard)
	}
}

func (g *Gossip) take(data []byte, heard func(*pb.Heartbeat)) {
	b := &pb.Heartbeat{}
	if err := proto.Unmarshal(data, b); err != nil {
		if others, ok := g.unread.Allow(clock.Now()); ok {
			g.log.WithError(err).WithField("others", others).Warn("malformed heartbeat dropped")
		}
		return
	}
	heard(b)
}

// Send sends heartbeats to each address. A datagram that is lost is made up for by
// the next ones.
func (g *Gossip) Send(beats []*pb.Heartbeat, to []string) {
	if len(to) == 0 {
		return
	}
	for _, b := range beats {
		data, err := proto.Marshal(b)
		if err != nil {
			if others, ok := g.unencoded.Allow(clock.Now()); ok {
				g.log.WithError(err).WithField("others", others).Error("heartbeat not encoded")
			}
			continue
		}
		for _, address := range to {
			g.send(data, address)
		}
	}
}

func (g *Gossip) send(data []byte, address string) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		if others, ok := g.unsent.Allow(clock.Now()); ok {
			g.log.WithError(err).WithFields(logrus.Fields{"address": address, "others": others}).Warn("malformed peer address")
		}
		return
	}
	if _, err := g.conn.WriteToUDPAddrPort(data, to); err != nil {
		g.log.WithError(err).WithField("address", address).Debug("heartbeat not sent")
		return
	}
	if g.Sent != nil {
		g.Sent(address, len(data))
	}
}
