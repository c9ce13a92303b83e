// Package entry is the callers' side of an entry host: their requests, the call
// that says which entry hosts to use, and the platform's readiness checks.
package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/platform"
)

// View is what a host believes of the configuration.
type View struct {
	// Config is nil before the first configuration is known.
	Config *config.Config
	// Age is the time since this host could have missed a newer one.
	Age time.Duration
}

// Deps is what the callers' side needs from the rest of the host.
type Deps struct {
	// View returns the configuration in force on this host.
	View func() View
	// Refuse returns an error while the host takes no new requests.
	Refuse func() error
	// Ready reports whether callers may be sent here.
	Ready func() bool
	// Closing reports whether callers should connect elsewhere.
	Closing func() bool
	// Directory returns the callers' addresses of hosts for an availability zone.
	Directory  func(zone string) []string
	AnswerTTL  time.Duration
	Dispatcher *dispatch.Dispatcher
	// Limiter keeps organisations within their rate limits, and Tell lets other hosts
	// know at once what this one let in.
	Limiter *quota.Limiter
	Tell    func()
	Metrics *obs.Metrics
	Log     *logrus.Logger
	// MaxBodyBytes and DefaultDeadline hold where neither the configuration nor
	// the caller says.
	MaxBodyBytes    int64
	DefaultDeadline time.Duration
}

// Server answers callers. It is safe for concurrent use.
type Server struct {
	Deps
	open atomic.Int64
}

// New returns a server.
func New(d Deps) *Server { return &Server{Deps: d} }

// Open returns the number of open requests.
func (s *Server) Open() int64 { return s.open.Load() }

// Handler returns the handler of callers' requests. It takes every path as it
// is: a mux would redirect some.
func (s *Server) Handler() http.Handler {
	return alice.New(s.countOpen, s.closeWhenStopping, s.recoverPanic).ThenFunc(s.serve)
}

func (s *Server) countOpen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Metrics.Open.Update(float64(s.open.Add(1)))
		defer func() { s.Metrics.Open.Update(float64(s.open.Add(-1))) }()
		next.ServeHTTP(w, r)
	})
}

// closeWhenStopping asks callers to connect elsewhere for their next request.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Closing() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p != http.ErrAbortHandler {
				s.Log.WithField("panic", p).Error("request handler panicked")
			}
			// Ends the connection: what was written may be half an answer.
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

// ReadyHandler answers the platform's readiness checks.
func (s *Server) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.PathReady || !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// DirectoryHandler tells callers which hosts to use.
func (s *Server) DirectoryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.PathDirectory {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		question := platform.DecodeDirectory(r)
		addresses := s.Directory(question.AvailabilityZone)
		if len(addresses) == 0 {
			writeError(w, errkind.New(errkind.NotReady, "no entry host is ready"))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(platform.EncodeDirectory(addresses, s.AnswerTTL)); err != nil {
			s.Log.WithError(err).Debug("a caller left before its directory answer")
		}
	})
}
