package obs

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Metrics is every metric of an entry host. Their number does not grow with
// organisations or replicas.
type Metrics struct {
	scope tally.Scope
	moved map[movedKey]moved
	// limited holds the organisations that have a counter of their own.
	limitedMu sync.Mutex
	limited   map[string]bool
	// First is the time to an answer's head or a stream's first event.
	First tally.Histogram
	// Whole is the time to the end of an answer.
	Whole tally.Histogram
	// PromptTokens counts prompt tokens, CachedTokens those expected in the chosen
	// replica's cache, FetchedTokens those expected to be fetched.
	PromptTokens  tally.Counter
	CachedTokens  tally.Counter
	FetchedTokens tally.Counter
	// Repeats counts sends beyond the first of a request; Resumed counts streams
	// continued at another replica.
	Repeats tally.Counter
	Resumed tally.Counter
	// Open is the number of open requests.
	Open tally.Gauge
	// ConfigVersion is the version in force on this host; StoreAge is how long ago
	// the store last answered, in seconds.
	ConfigVersion tally.Gauge
	StoreAge      tally.Gauge
	// Hosts and Replicas are the numbers known to live; RoutingHosts of them are those
	// that callers are sent to.
	Hosts        tally.Gauge
	RoutingHosts tally.Gauge
	Replicas     tally.Gauge
	// Lacking is the number of replicas that lack the wanted weights, and LackingAge
	// the longest time, in seconds, for which one of them has, as this host believes.
	Lacking    tally.Gauge
	LackingAge tally.Gauge
	// LeaseHeld is 1 while this host holds the lease for weights.
	LeaseHeld tally.Gauge
	Orders    tally.Counter
	// Connections is the number of connections opened to backend servers.
	Connections tally.Gauge
	// BulkRead is the number of bytes that were read in bulk, as cache events.
	BulkRead tally.Gauge
	// Malformed counts backend servers' entries that name no server.
	Malformed tally.Counter
	// Quarantined is the number of requests that are refused since servers crash under them.
	Quarantined tally.Gauge
	// DroppedLines is the number of log lines dropped.
	DroppedLines tally.Gauge
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
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.8, 15)
	return &Metrics{
		scope:         scope,
		moved:         newMoved(scope),
		limited:       map[string]bool{},
		First:         scope.Histogram("first_event_seconds", buckets),
		Whole:         scope.Histogram("answer_seconds", buckets),
		PromptTokens:  scope.Counter("prompt_tokens"),
		CachedTokens:  scope.Counter("cached_tokens"),
		FetchedTokens: scope.Counter("fetched_tokens"),
		Repeats:       scope.Counter("repeats"),
		Resumed:       scope.Counter("resumed_streams"),
		Open:          scope.Gauge("open_requests"),
		ConfigVersion: scope.Gauge("config_version"),
		StoreAge:      scope.Gauge("store_age_seconds"),
		Hosts:         scope.Gauge("hosts"),
		RoutingHosts:  scope.Gauge("routing_hosts"),
		Replicas:      scope.Gauge("replicas"),
		Lacking:       scope.Gauge("replicas_lacking_weights"),
		LackingAge:    scope.Gauge("replicas_lacking_weights_seconds"),
		LeaseHeld:     scope.Gauge("lease_held"),
		Orders:        scope.Counter("load_orders"),
		Connections:   scope.Gauge("backend_connections_opened"),
		BulkRead:      scope.Gauge("bulk_bytes_read"),
		Malformed:     scope.Counter("malformed_entries"),
		Quarantined:   scope.Gauge("quarantined_requests"),
		DroppedLines:  scope.Gauge("log_lines_dropped"),
	}, reporter.HTTPHandler(), closer
}

// maxLimited bounds the organisations whose refusals are counted by name.
const maxLimited = 32

// others stands for the organisations beyond them.
const others = "others"

// OverLimit counts a request that was refused for its organisation's rate limit: by name
// for the first organisations that it happens to.
func (m *Metrics) OverLimit(organisation string) {
	m.limitedMu.Lock()
	if !m.limited[organisation] {
		if len(m.limited) < maxLimited {
			m.limited[organisation] = true
		} else {
			organisation = others
		}
	}
	m.limitedMu.Unlock()
	m.scope.Tagged(map[string]string{"organisation": organisation}).Counter("over_rate_limit").Inc(1)
}

// Answered counts a request by outcome: an error kind, or "ok".
func (m *Metrics) Answered(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}
