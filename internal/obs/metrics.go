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

// Metrics holds all metrics of an entry host. The number of time series does not grow
// with the numbers of organisations and replicas.
type Metrics struct {
	scope   tally.Scope
	traffic map[trafficKey]trafficCounters
	// named holds the organisations whose rate-limit rejections are counted by name.
	namedMu sync.Mutex
	named   map[string]bool
	// First is the time to an answer's header or to a stream's first event.
	First tally.Histogram
	// Whole is the time to the end of an answer.
	Whole tally.Histogram
	// PromptTokens counts prompt tokens, CachedTokens those of them expected to be in the
	// chosen replica's cache, and FetchedTokens those it is expected to fetch.
	PromptTokens  tally.Counter
	CachedTokens  tally.Counter
	FetchedTokens tally.Counter
	// AwaitedPrefills counts requests that waited for a prefill at another replica than their own.
	AwaitedPrefills tally.Counter
	// RoomWait is how long requests waited after servers had no room for them.
	RoomWait tally.Histogram
	// Repeats counts retries: sends of a request after its first. Resumed counts streams
	// continued by another replica.
	Repeats tally.Counter
	Resumed tally.Counter
	// Open is the number of open requests.
	Open tally.Gauge
	// CallerConnections is the number of open connections of callers.
	CallerConnections tally.Gauge
	// ConfigVersion is the version of the configuration in force on this host; StoreAge
	// is the time since the store last answered, in seconds.
	ConfigVersion tally.Gauge
	StoreAge      tally.Gauge
	// StoreEra is the store's era: it rises when the store is restored from a copy.
	StoreEra tally.Gauge
	// Hosts and Replicas are the numbers of live hosts and of registered replicas;
	// RoutingHosts is the number of hosts that callers are sent to.
	Hosts        tally.Gauge
	RoutingHosts tally.Gauge
	Replicas     tally.Gauge
	// Lacking is the number of replicas with outdated weights, and LackingAge the longest
	// time, in seconds, for which a replica has had outdated weights, as far as this host knows.
	Lacking    tally.Gauge
	LackingAge tally.Gauge
	// LeaseHeld is 1 while this host holds the lease for weights.
	LeaseHeld tally.Gauge
	// Orders counts the load orders that this host sends.
	Orders tally.Counter
	// LostContacts is the number of services of which this host reaches no server.
	LostContacts tally.Gauge
	// MissingServers is the number of servers that this host fails to reach, or gets no answers from.
	MissingServers tally.Gauge
	// Connections is the number of connections opened to backend servers.
	Connections tally.Gauge
	// BulkRead is the number of bytes received in bulk reads, such as those of cache events.
	BulkRead tally.Gauge
	// Malformed counts store entries of backend servers that describe no server.
	Malformed tally.Counter
	// Quarantined is the number of quarantined requests: backend servers crashed while
	// running them, so they are rejected.
	Quarantined tally.Gauge
	// QuarantinedBlocks is the same for prefix blocks.
	QuarantinedBlocks tally.Gauge
	// Utilisation is the CPU time that this host uses, as a fraction of what it provides.
	// DirectoryHosts is the number of hosts named by the last directory answer.
	Utilisation    tally.Gauge
	DirectoryHosts tally.Gauge
	// DroppedLines is the number of dropped log lines.
	DroppedLines tally.Gauge
}

// NewMetrics returns the metrics, the handler that exposes them to Prometheus, and a
// closer that stops reporting.
func NewMetrics() (*Metrics, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "briarlink",
		Separator:      prometheus.DefaultSeparator,
		CachedReporter: reporter,
		// Prometheus rejects the names of tally's cardinality metrics.
		OmitCardinalityMetrics: true,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.8, 15)
	return &Metrics{
		scope:             scope,
		traffic:           newTrafficCounters(scope),
		named:             map[string]bool{},
		First:             scope.Histogram("first_event_seconds", buckets),
		Whole:             scope.Histogram("answer_seconds", buckets),
		PromptTokens:      scope.Counter("prompt_tokens"),
		CachedTokens:      scope.Counter("cached_tokens"),
		FetchedTokens:     scope.Counter("fetched_tokens"),
		AwaitedPrefills:   scope.Counter("awaited_prefills"),
		RoomWait:          scope.Histogram("room_wait_seconds", buckets),
		Repeats:           scope.Counter("repeats"),
		Resumed:           scope.Counter("resumed_streams"),
		Open:              scope.Gauge("open_requests"),
		CallerConnections: scope.Gauge("caller_connections"),
		ConfigVersion:     scope.Gauge("config_version"),
		StoreAge:          scope.Gauge("store_age_seconds"),
		StoreEra:          scope.Gauge("store_era"),
		Hosts:             scope.Gauge("hosts"),
		RoutingHosts:      scope.Gauge("routing_hosts"),
		Replicas:          scope.Gauge("replicas"),
		Lacking:           scope.Gauge("replicas_lacking_weights"),
		LackingAge:        scope.Gauge("replicas_lacking_weights_seconds"),
		LeaseHeld:         scope.Gauge("lease_held"),
		Orders:            scope.Counter("load_orders"),
		LostContacts:      scope.Gauge("services_without_contact"),
		MissingServers:    scope.Gauge("missing_servers"),
		Connections:       scope.Gauge("backend_connections_opened"),
		BulkRead:          scope.Gauge("bulk_bytes_read"),
		Malformed:         scope.Counter("malformed_entries"),
		Quarantined:       scope.Gauge("quarantined_requests"),
		QuarantinedBlocks: scope.Gauge("quarantined_blocks"),
		Utilisation:       scope.Gauge("utilisation"),
		DirectoryHosts:    scope.Gauge("directory_hosts"),
		DroppedLines:      scope.Gauge("log_lines_dropped"),
	}, reporter.HTTPHandler(), closer
}

// Memory updates the bytes that callers' requests use of the memory budget, and counts what was refused
// and ended since the last call, for one kind of memory.
func (m *Metrics) Memory(kind string, held, refused, ended int64) {
	tagged := m.scope.Tagged(map[string]string{"kind": kind})
	tagged.Gauge("memory_held_bytes").Update(float64(held))
	tagged.Counter("memory_refused").Inc(refused)
	tagged.Counter("memory_ended").Inc(ended)
}

// maxNamed is the maximum number of organisations whose rejections are counted by name.
const maxNamed = 32

// others is the label value for all further organisations.
const others = "others"

// OverLimit counts a request rejected because its organisation is over its rate limit. The
// first maxNamed organisations are counted by name, all others together.
func (m *Metrics) OverLimit(organisation string) {
	m.namedMu.Lock()
	if !m.named[organisation] {
		if len(m.named) < maxNamed {
			m.named[organisation] = true
		} else {
			organisation = others
		}
	}
	m.namedMu.Unlock()
	m.scope.Tagged(map[string]string{"organisation": organisation}).Counter("over_rate_limit").Inc(1)
}

// Permit counts a request for a permit to call a backend server that limits its requests.
func (m *Metrics) Permit(granted bool) {
	result := "refused"
	if granted {
		result = "granted"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter("permits").Inc(1)
}

// Shortage sets whether a service is short of capacity, and counts the requests that were refused for
// that and those that came back and were admitted. The number of services is small.
func (m *Metrics) Shortage(service string, short bool, refused, returned int64) {
	scope := m.scope.Tagged(map[string]string{"service": service})
	value := 0.0
	if short {
		value = 1
	}
	scope.Gauge("service_short").Update(value)
	scope.Counter("shortage_refused").Inc(refused)
	scope.Counter("shortage_returned").Inc(returned)
}

// RetryBudget counts the retries of a request that the retry budget allowed, and one that it refused.
func (m *Metrics) RetryBudget(allowed int, refused bool) {
	if allowed > 0 {
		m.scope.Tagged(map[string]string{"result": "allowed"}).Counter("retry_budget").Inc(int64(allowed))
	}
	if refused {
		m.scope.Tagged(map[string]string{"result": "refused"}).Counter("retry_budget").Inc(1)
	}
}

// Forwarded counts a request that this host passed on to another one.
func (m *Metrics) Forwarded(answered bool) {
	result := "failed"
	if answered {
		result = "answered"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter("forwarded").Inc(1)
}

// Answered counts a request by its outcome: the name of an error kind, or OutcomeOK.
func (m *Metrics) Answered(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}
