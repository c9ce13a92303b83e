package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/admin"
	"github.com/briarlink/briarlink/internal/inbound"
	"github.com/briarlink/briarlink/internal/peer"
)

// headerTimeout is the maximum time for a caller to send a request's headers.
const headerTimeout = 10 * time.Second

// Listeners are the open sockets of one host, from Listen to the end of Run. Those absent from
// the settings are nil.
type Listeners struct {
	callers, ready, directory, operators, metrics, peers net.Listener
	heartbeats                                           *net.UDPConn
}

// Listen opens all sockets of the settings, or none. Heartbeats use the port of the peer
// listener, also if its port was chosen by the system.
func Listen(s *pb.ListenSettings) (*Listeners, error) {
	l := &Listeners{}
	if err := l.open(s); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *Listeners) open(s *pb.ListenSettings) error {
	for _, item := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"callers", s.Caller, &l.callers},
		{"ready", s.Ready, &l.ready},
		{"directory", s.Directory, &l.directory},
		{"operators", s.Operator, &l.operators},
		{"metrics", s.Metrics, &l.metrics},
		{"peers", s.Peer, &l.peers},
	} {
		if item.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", item.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", item.name)
		}
		*item.listener = listener
	}
	var err error
	l.heartbeats, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.peers.Addr().(*net.TCPAddr).AddrPort()))
	return errors.Wrap(err, "listen for heartbeats")
}

// close closes sockets that were opened but are not served. Errors are ignored, as nothing can
// be done about them.
func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.directory, l.operators, l.metrics, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if l.heartbeats != nil {
		_ = l.heartbeats.Close()
	}
}

// server is one HTTP listener.
type server struct {
	http *http.Server
	log  *logrus.Logger
}

// close waits for connections to become idle, and closes those that are still open after wait. It calls abort before
// it does so.
func (s *server) close(wait time.Duration, abort func()) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.WithError(err).Debug("connections were still open at the end")
		abort()
		// An error is ignored: the connections are abandoned anyway.
		_ = s.http.Close()
	}
}

// serve starts serving on every open listener.
func (n *Node) serve(ctx context.Context, wg *sync.WaitGroup, l *Listeners, metrics http.Handler) []*server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	operators := http.NewServeMux()
	operators.Handle(admin.New(n.status).Handler())
	var servers []*server
	start := func(name string, l net.Listener, h *http.Server) {
		servers = append(servers, n.serveHTTP(wg, name, l, h))
	}
	if l.callers != nil {
		start("callers", inbound.LimitCallers(l.callers, n.memory, socketBuffer(n.memory)), n.callerServer(n.entry.Handler()))
	}
	if l.directory != nil {
		directory := n.callerServer(n.entry.DirectoryHandler())
		directory.ReadTimeout = otherTimeout
		start("directory", inbound.LimitCallers(l.directory, n.memory, socketBuffer(n.memory)), directory)
	}
	for _, item := range []struct {
		name     string
		listener net.Listener
		handler  http.Handler
	}{
		{"ready", l.ready, n.entry.ReadyHandler()},
		{"operators", l.operators, operators},
		{"metrics", l.metrics, mux},
	} {
		if item.listener != nil {
			start(item.name, inbound.LimitOthers(item.listener, maxOtherConnections, otherTimeout), n.otherServer(item.handler))
		}
	}
	hosts := inbound.LimitOthers(l.peers, peerConnections(n.settings.Host), otherTimeout)
	wg.Go(func() { n.logServeEnd("peers", peer.Serve(ctx, hosts, &peerService{n: n})) })
	return servers
}

const (
	// maxOtherConnections is the maximum number of connections to each listener that is neither for callers
	// nor for other hosts.
	maxOtherConnections = 32
	// maxOtherHeaderBytes and otherTimeout limit the requests to these.
	maxOtherHeaderBytes = 4 << 10
	otherTimeout        = 10 * time.Second
)

// callerServer returns the server of a listener for callers.
func (n *Node) callerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    int(n.settings.Request.MaxHeaderBytes),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      n.settings.Request.StallTimeout.AsDuration(),
		IdleTimeout:       n.settings.Request.IdleTimeout.AsDuration(),
		ConnState:         inbound.ConnState,
	}
}

// otherServer returns the server of a listener that is not for callers.
func (n *Node) otherServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(h, maxOtherHeaderBytes),
		MaxHeaderBytes:    maxOtherHeaderBytes,
		ReadHeaderTimeout: otherTimeout,
		ReadTimeout:       otherTimeout,
		IdleTimeout:       n.settings.Request.IdleTimeout.AsDuration(),
	}
}

func (n *Node) serveHTTP(wg *sync.WaitGroup, name string, listener net.Listener, h *http.Server) *server {
	s := &server{http: h, log: n.log}
	wg.Go(func() { n.logServeEnd(name, s.http.Serve(listener)) })
	return s
}

func (n *Node) logServeEnd(name string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return
	}
	n.log.WithError(err).WithField("listener", name).Error("listener ended")
}
