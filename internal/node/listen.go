package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/admin"
	"github.com/briarlink/briarlink/internal/peer"
)

// headerTimeout is how long a caller may take to send a request's head.
const headerTimeout = 10 * time.Second

// server is one HTTP listener.
type server struct {
	http *http.Server
	log  *logrus.Logger
}

// close waits a little for connections to become idle, then cuts them.
func (s *server) close(wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.WithError(err).Debug("connections were still open at the end")
		// What is still open is cut; there is nobody to tell of a failure.
		_ = s.http.Close()
	}
}

// listen opens every listener that the settings name and serves on it.
func (n *Node) listen(ctx context.Context, wg *sync.WaitGroup, metrics http.Handler) ([]*server, error) {
	l := n.settings.Listen
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	operators := http.NewServeMux()
	operators.Handle(admin.New(n.status).Handler())
	var servers []*server
	for _, item := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", l.Caller, n.entry.Handler()},
		{"ready", l.Ready, n.entry.ReadyHandler()},
		{"directory", l.Directory, n.entry.DirectoryHandler()},
		{"operators", l.Operator, operators},
		{"metrics", l.Metrics, mux},
	} {
		if item.address == "" {
			continue
		}
		s, err := n.serveHTTP(wg, item.name, item.address, item.handler)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	listener, err := net.Listen("tcp4", l.Peer)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	wg.Go(func() { n.ended("peers", peer.Serve(ctx, listener, &peerService{n: n})) })
	return servers, nil
}

func (n *Node) serveHTTP(wg *sync.WaitGroup, name, address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	s := &server{
		http: &http.Server{
			Handler:           handler,
			MaxHeaderBytes:    int(n.settings.Request.MaxHeaderBytes),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       n.settings.Request.IdleTimeout.AsDuration(),
			ErrorLog:          nil,
		},
		log: n.log,
	}
	wg.Go(func() { n.ended(name, s.http.Serve(listener)) })
	return s, nil
}

func (n *Node) ended(name string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return
	}
	n.log.WithError(err).WithField("listener", name).Error("listener ended")
}
