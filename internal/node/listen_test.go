package node

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// TestPortInUseIsReported checks that the error names the address in use, for each listener, and
// that no other socket stays open.
func TestPortInUseIsReported(t *testing.T) {
	others, taken := openAnywhere(t)
	defer others.close()
	heartbeats, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer heartbeats.Close()
	const anyPort = "127.0.0.1:0"
	for name, c := range map[string]struct {
		address string
		set     func(s *pb.ListenSettings, address string)
	}{
		"callers":    {taken.Caller, func(s *pb.ListenSettings, a string) { s.Caller = a }},
		"ready":      {taken.Ready, func(s *pb.ListenSettings, a string) { s.Ready = a }},
		"directory":  {taken.Directory, func(s *pb.ListenSettings, a string) { s.Directory = a }},
		"operators":  {taken.Operator, func(s *pb.ListenSettings, a string) { s.Operator = a }},
		"metrics":    {taken.Operator, func(s *pb.ListenSettings, a string) { s.Metrics = a }},
		"peers":      {taken.Peer, func(s *pb.ListenSettings, a string) { s.Peer = a }},
		"heartbeats": {heartbeats.LocalAddr().String(), func(s *pb.ListenSettings, a string) { s.Peer = a }},
	} {
		s := &pb.ListenSettings{Caller: anyPort, Ready: anyPort, Directory: anyPort, Operator: anyPort, Metrics: anyPort, Peer: anyPort}
		c.set(s, c.address)
		l, err := Listen(s)
		if l != nil || !errors.Is(err, syscall.EADDRINUSE) || !strings.Contains(err.Error(), c.address) {
			t.Errorf("%s: %v", name, err)
		}
		partial := &Listeners{}
		if partial.open(s) == nil {
			t.Errorf("%s: all sockets were opened", name)
		}
		partial.close()
		for _, l := range []net.Listener{partial.callers, partial.ready, partial.directory, partial.operators, partial.metrics, partial.peers} {
			if l == nil {
				continue
			}
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("%s: %v is open: %v", name, l.Addr(), err)
			}
		}
	}
}
