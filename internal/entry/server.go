// Package entry is the callers' side of an entry host: OpenAI-compatible
// requests, plain services, and the call that says which entry hosts to use.
package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/limit"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/once"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/state"
)

// Deps is what the callers' side needs from the rest of the host.
type Deps struct {
	Settings   *pb.Settings
	Store      *state.Store
	Members    *member.Table
	Replicas   *replica.Table
	Limiter    *limit.Limiter
	Dispatcher *dispatch.Dispatcher
	Services   *dispatch.Services
	Claimer    *once.Claimer
	Metrics    *obs.Metrics
	Log        *logrus.Logger
	// Gate returns an error while the host must not take new work.
	Gate func() error
	// Stopping reports whether a graceful stop has begun.
	Stopping func() bool
}

// Server answers callers. It is safe for concurrent use.
type Server struct {
	Deps
	open atomic.Int64
}

// New returns the callers' side over deps.
func New(deps Deps) *Server { return &Server{Deps: deps} }

// Handler returns the HTTP handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handle(s.completions))
	mux.HandleFunc("POST /v1/completions", s.handle(s.completions))
	mux.HandleFunc("GET /v1/models", s.handle(s.models))
	mux.HandleFunc("GET /v1/hosts", s.handle(s.hosts))
	mux.HandleFunc("/services/{service}/{path...}", s.handle(s.service))
	mux.HandleFunc("/", s.handle(s.unknown))
	return alice.New(s.recoverPanic, s.requestID, s.closeWhenStopping, s.countOpen).Then(mux)
}

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// exchange is one request while it is answered.
type exchange struct {
	w            http.ResponseWriter
	r            *http.Request
	id           string
	view         *state.View
	organisation string
	started      time.Time
	// wroteStream is true once a stream's header was written.
	wroteStream bool
	// claimed is true once the request's idempotency key was looked up.
	claimed bool
	// kind and run are what is counted and logged.
	kind, run string
}

type handler func(*exchange) error

// handle authenticates, runs h, and turns its error into the answer.
func (s *Server) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ex := &exchange{w: w, r: r, id: requestIDOf(r.Context()), started: time.Now(), kind: "ok", run: "ran"}
		err := s.admit(ex)
		if err == nil {
			err = h(ex)
		}
		if err != nil {
			err = s.beforeClaim(ex, err)
			ex.fail(err)
		}
		s.record(ex, err)
	}
}

// beforeClaim corrects a refusal of a request with an idempotency key that came
// before its claim: "not run" is true of this attempt, but an earlier one with
// the same key may have run.
func (s *Server) beforeClaim(ex *exchange, err error) error {
	e := errkind.From(err)
	key := ex.r.Header.Get(HeaderKey)
	if key == "" || ex.claimed || e.Kind.Answer().Run != errkind.NotRun {
		return err
	}
	if e.Kind == errkind.NotReady || e.Kind == errkind.OutOfTouch || s.Claimer.Silent() {
		return errkind.Wrap(errkind.Undecided, err, "this host cannot tell whether the key was used; ask another")
	}
	if s.Claimer.Known(ex.organisation, key) {
		return errkind.Wrap(errkind.InDoubt, err, "a request with this key was sent before")
	}
	return err
}

func (s *Server) record(ex *exchange, err error) {
	s.Metrics.Answered(ex.kind, ex.run)
	entry := s.Log.WithFields(logrus.Fields{
		"request_id":   ex.id,
		"organisation": ex.organisation,
		"method":       ex.r.Method,
		"path":         ex.r.URL.Path,
		"kind":         ex.kind,
		"run_state":    ex.run,
		"duration_ms":  time.Since(ex.started).Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("request answered")
}
