package member

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// maxDatagram bounds a heartbeat; what does not fit is left out by its maker.
const maxDatagram = 16 << 10

// Gossip sends and receives heartbeats over UDP.
type Gossip struct {
	conn *net.UDPConn
	log  *logrus.Logger
}

// Listen opens the socket at an IP:port.
func Listen(address string, log *logrus.Logger) (*Gossip, error) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "parse the peer address")
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats")
	}
	return &Gossip{conn, log}, nil
}

// Close ends Receive.
func (g *Gossip) Close() error { return errors.Wrap(g.conn.Close(), "close the heartbeat socket") }

// Receive calls heard for each heartbeat until the socket is closed.
func (g *Gossip) Receive(ctx context.Context, heard func(*pb.Heartbeat)) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := g.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// A refused datagram of another host shows up here; heartbeats go on.
			g.log.WithError(err).Debug("heartbeat not received")
			time.Sleep(time.Millisecond)
			continue
		}
		b := &pb.Heartbeat{}
		if err := proto.Unmarshal(buf[:n], b); err != nil {
			g.log.WithError(err).Warn("malformed heartbeat dropped")
			continue
		}
		heard(b)
	}
}

// Send sends a heartbeat to each address. A datagram that is lost is made up for
// by the next one.
func (g *Gossip) Send(b *pb.Heartbeat, to []string) {
	if len(to) == 0 {
		return
	}
	data, err := proto.Marshal(b)
	if err != nil {
		g.log.WithError(err).Error("heartbeat not encoded")
		return
	}
	for _, address := range to {
		udp, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.log.WithError(err).WithField("address", address).Warn("malformed peer address")
			continue
		}
		if _, err := g.conn.WriteToUDP(data, udp); err != nil {
			g.log.WithError(err).WithField("address", address).Debug("heartbeat not sent")
		}
	}
}
