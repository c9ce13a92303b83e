// Package entry serves callers on an entry host: their requests, the directory call that lists
// the entry hosts to use, and the platform's readiness checks.
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
	"github.com/briarlink/briarlink/internal/forward"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/platform"
)

// View is the configuration as this host knows it.
type View struct {
	// Config is nil until the first configuration has been received.
	Config *config.Config
	// Age is the time during which this host may have missed a newer configuration.
	Age time.Duration
}

// Deps are the server's dependencies and settings.
type Deps struct {
	// View returns the configuration in force on this host.
	View func() View
	// CheckAccepting returns an error while the host accepts no new requests, and nil otherwise.
	CheckAccepting func() error
	// Ready reports whether the host passes the readiness check, so that callers may be sent to it.
	Ready func() bool
	// Stopping reports whether callers should close their connections and use another host.
	Stopping func() bool
	// Directory returns the addresses of the entry hosts that callers in an availability zone
	// should use.
	Directory func(zone string) []string
	// AnswerTTL is how long callers may use a directory answer.
	AnswerTTL  time.Duration
	Dispatcher *dispatch.Dispatcher
	// IsCutOff reports whether this host reaches no replica of a service although other hosts do;
	// Forwarder then passes requests on to one of those.
	IsCutOff  func(service string) bool
	Forwarder *forward.Forwarder
	// ReachesFew reports whether other hosts reach many more replicas of a service than this host.
	ReachesFew func(service string) bool
	// LostContact reports whether this host reaches no replica of a service, whether or not others do.
	LostContact func(service string) bool
	// Limiter enforces the organisations' rate limits. ReportUsage makes this host report at once
	// to the other hosts what it has admitted.
	Limiter     *quota.Limiter
	ReportUsage func()
	// Memory limits the memory of bodies and answers; nil sets no limits.
	Memory  *membudget.Budget
	Metrics *obs.Metrics
	Log     *logrus.Logger
	// MaxBodyBytes applies where the configuration sets no limit, DefaultDeadline where the
	// caller sets no timeout.
	MaxBodyBytes    int64
	DefaultDeadline time.Duration
	// StallTimeout is the time after which a caller that takes no byte of its answer is disconnected.
	StallTimeout time.Duration
}

// Server answers callers. It is safe for concurrent use.
type Server struct {
	Deps
	// open counts the requests in progress.
	open atomic.Int64
	// aborting is set once the connections of open requests are closed, as this host's time to stop is over.
	aborting atomic.Bool
}

// New returns a server.
func New(d Deps) *Server { return &Server{Deps: d} }

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// Abort records that this host closes the connections of open requests from now on.
func (s *Server) Abort() { s.aborting.Store(true) }

// Handler returns the handler for callers' requests. It is not a mux, which would redirect
// paths that are not clean: every path is used as received.
func (s *Server) Handler() http.Handler {
	return alice.New(s.countOpen, s.closeWhenStopping, s.recoverPanic).ThenFunc(s.serve)
}

// countOpen counts the requests in progress.
func (s *Server) countOpen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Metrics.Open.Update(float64(s.open.Add(1)))
		defer func() { s.Metrics.Open.Update(float64(s.open.Add(-1))) }()
		next.ServeHTTP(w, r)
	})
}

// closeWhenStopping closes callers' connections after their answers while this host is stopping,
// so that their next requests go to another host.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// recoverPanic logs a handler's panic and aborts the connection.
func (s *Server) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if recovered != http.ErrAbortHandler {
				s.Log.WithField("panic", recovered).Error("request handler panicked")
			}
			if !r.ProtoAtLeast(1, 1) {
				// Has the connection reset: an answer without a length is complete to a caller of HTTP/1.0 when it ends. An
				// error means that it is closed.
				_ = http.NewResponseController(w).SetWriteDeadline(past)
			}
			// Aborts the connection, because the answer may be incomplete.
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

// DirectoryHandler answers callers with the addresses of the hosts to use.
func (s *Server) DirectoryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.PathDirectory {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		query := platform.DecodeDirectoryQuery(r)
		addresses := s.Directory(query.AvailabilityZone)
		if len(addresses) == 0 {
			writeError(w, errkind.New(errkind.NotReady, "no entry host is ready"))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(platform.EncodeDirectoryAnswer(addresses, s.AnswerTTL)); err != nil {
			s.Log.WithError(err).Debug("a caller left before its directory answer")
		}
	})
}
