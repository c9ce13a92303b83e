// Package obs sets up logs and metrics.
package obs

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const reportInterval = time.Second

// NewLogger returns a structured logger to w.
func NewLogger(s *pb.LogSettings, w io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	if s.Format == "text" {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	} else {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		logger.SetLevel(level)
	}
	return logger
}

// Metrics is every metric of an entry host.
type Metrics struct {
	scope tally.Scope
	// FirstToken is the time to first token.
	FirstToken tally.Histogram
	// PromptPieces, CachedPieces and WastedPieces count prompt pieces: all, those
	// an engine had cached, and those expected cached that were computed again.
	PromptPieces tally.Counter
	CachedPieces tally.Counter
	WastedPieces tally.Counter
	// BeliefError counts pieces by which the expectation was off, either way.
	BeliefError tally.Counter
	// ConfigLag is the number of known configuration records not yet applied.
	ConfigLag tally.Gauge
	// Streams is the number of open requests.
	Streams tally.Gauge
}

// NewMetrics returns the metrics and the handler that exposes them to
// Prometheus. Close the closer to stop reporting.
func NewMetrics() (*Metrics, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "briarlink",
		Separator:      prometheus.DefaultSeparator,
		CachedReporter: reporter,
		// The cardinality metrics have names that Prometheus refuses.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 24)
	return &Metrics{
		scope:        scope,
		FirstToken:   scope.Histogram("first_token_seconds", buckets),
		PromptPieces: scope.Counter("prompt_pieces"),
		CachedPieces: scope.Counter("cached_pieces"),
		WastedPieces: scope.Counter("wasted_pieces"),
		BeliefError:  scope.Counter("belief_error_pieces"),
		ConfigLag:    scope.Gauge("config_lag_records"),
		Streams:      scope.Gauge("open_requests"),
	}, reporter.HTTPHandler(), closer
}

// Answered counts a request by error kind ("ok" without one) and run state.
func (m *Metrics) Answered(kind, runState string) {
	m.scope.Tagged(map[string]string{"kind": kind, "run_state": runState}).Counter("requests").Inc(1)
}
