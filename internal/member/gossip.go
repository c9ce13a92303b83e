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
	// maxDatagramBytes limits the size of a heartbeat so that it fits into one packet on
	// common network paths: a fragmented datagram is lost if any fragment is lost.
	maxDatagramBytes = 1200
	// receiveBufferBytes is the size of the receive buffer, large enough for any UDP datagram.
	receiveBufferBytes = 64 << 10
)

// Gossip sends and receives heartbeats over UDP.
type Gossip struct {
	conn *net.UDPConn
	log  *logrus.Logger
	// undecodable, badAddress and unencoded rate-limit log lines about heartbeats, whose
	// number grows with the fleet.
	undecodable, badAddress, unencoded obs.Limiter
	// OnSent is called for each datagram that is sent. It may be nil and is set before use.
	OnSent func(to string, bytes int)
}

// NewGossip returns a Gossip on a socket, which Close closes.
func NewGossip(conn *net.UDPConn, log *logrus.Logger) *Gossip {
	return &Gossip{conn: conn, log: log}
}

// Close closes the socket, which makes Receive return.
func (g *Gossip) Close() error { return errors.Wrap(g.conn.Close(), "close the heartbeat socket") }

// Receive calls handle for each received heartbeat until the socket is closed.
func (g *Gossip) Receive(ctx context.Context, handle func(*pb.Heartbeat)) {
	buf := make([]byte, receiveBufferBytes)
	for ctx.Err() == nil {
		n, _, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// ICMP errors for datagrams that this host sent are reported here too; keep receiving.
			g.log.WithError(err).Debug("heartbeat not received")
			time.Sleep(time.Millisecond)
			continue
		}
		g.decode(buf[:n], handle)
	}
}

func (g *Gossip) decode(data []byte, handle func(*pb.Heartbeat)) {
	b := &pb.Heartbeat{}
	if err := proto.Unmarshal(data, b); err != nil {
		if suppressed, ok := g.undecodable.Allow(clock.Now()); ok {
			g.log.WithError(err).WithField("others", suppressed).Warn("malformed heartbeat dropped")
		}
		return
	}
	handle(b)
}

// Send sends heartbeats to each address. Lost datagrams are not resent: later heartbeats
// make up for them.
func (g *Gossip) Send(heartbeats []*pb.Heartbeat, to []string) {
	if len(to) == 0 {
		return
	}
	for _, b := range heartbeats {
		data, err := proto.Marshal(b)
		if err != nil {
			if suppressed, ok := g.unencoded.Allow(clock.Now()); ok {
				g.log.WithError(err).WithField("others", suppressed).Error("heartbeat not encoded")
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
		if suppressed, ok := g.badAddress.Allow(clock.Now()); ok {
			g.log.WithError(err).WithFields(logrus.Fields{"address": address, "others": suppressed}).Warn("malformed peer address")
		}
		return
	}
	if _, err := g.conn.WriteToUDPAddrPort(data, to); err != nil {
		g.log.WithError(err).WithField("address", address).Debug("heartbeat not sent")
		return
	}
	if g.OnSent != nil {
		g.OnSent(address, len(data))
	}
}
