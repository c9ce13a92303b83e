package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/forward"
	"github.com/briarlink/briarlink/internal/netdial"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/retry"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/wire"
)

const (
	testHost = "museum.example"
	testKey  = "key-a"
	// dialTimeout limits connection attempts. It may be long, as an attempt ends once it is connected.
	dialTimeout = 20 * time.Second
)

// fixture is a server in front of one engine.
type fixture struct {
	*httptest.Server
	engine *engine.Engine
	view   View
	deps   Deps
	budget *retry.Budget
	// replicas has the engine.
	replicas *replica.Table
	// lastHeader holds the headers of the last request that the engine ran. Requests run concurrently.
	lastHeader atomic.Pointer[http.Header]
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{}
	f.engine = engine.New(engine.Options{ID: "i-1", Service: "s", Slots: 4, Model: "m", Events: 6, OnRun: func(_ string, h http.Header) { h = h.Clone(); f.lastHeader.Store(&h) }})
	backend := httptest.NewServer(f.engine.Handler())
	t.Cleanup(backend.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := replica.NewTable(log, func(string, string) {})
	table.Register(platform.Registration{ID: "i-1", Service: "s", Address: backend.Listener.Addr().String(), Slots: 4, Weights: map[string]int64{"m": 1}}, 0)
	pool := upstream.NewPool()
	// The pool's default dial timeout is so short that a busy machine may exceed it.
	pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return netdial.New(dialTimeout).DialContext(ctx, "tcp4", address)
	}
	t.Cleanup(pool.Close)
	metrics, _, closer := obs.NewMetrics()
	t.Cleanup(func() { closer.Close() })
	scheduler := schedule.New(table, prefix.NewIndex(), route.DefaultPolicy(), "z", true)
	f.replicas = table
	f.view = View{Config: testConfig()}
	f.budget = retry.NewBudget(0.2, 10*time.Second, 50, 1, time.Now())
	f.deps = Deps{
		View:           func() View { return f.view },
		CheckAccepting: func() error { return nil },
		Ready:          func() bool { return true },
		Stopping:       func() bool { return false },
		Directory:      func(string) []string { return []string{"10.0.0.1:1"} },
		AnswerTTL:      time.Second,
		Dispatcher:     dispatch.New(scheduler, table, pool, f.budget, quarantine.NewTable(log, time.Now())),
		Limiter:        quota.NewLimiter(quota.Terms{Window: 10 * time.Second, Over: 0.1}, time.Second, time.Now().Add(-time.Minute)),
		IsCutOff:       func(string) bool { return false },
		LostContact:    func(string) bool { return false },
		ReachesFew:     func(string) bool { return false },
		Forwarder:      &forward.Forwarder{Self: "here", Pool: pool, Pick: func(string, map[string]bool) (forward.Host, bool) { return forward.Host{}, false }},
		ReportUsage:    func() {},
		Metrics:        metrics, Log: log, MaxBodyBytes: 1 << 10, DefaultDeadline: 5 * time.Second,
	}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { New(f.deps).Handler().ServeHTTP(w, r) }))
	t.Cleanup(f.Close)
	return f
}

func testConfig() *config.Config {
	c := &config.Config{
		Version: 1,
		Routes: []*config.Route{{
			Name: "notes", Host: testHost, Prefix: "/notes/", Kind: config.Streaming, Services: []config.Share{{Service: "s", Weight: 1}},
			Timeout: 5 * time.Second, LatencyTarget: time.Second, Attempts: 1, Prompts: true,
		}},
		Services:      map[string]*config.Service{"s": {Name: "s", Engine: &config.Engine{Slots: 4, CacheTokens: 1000, TokenBytes: 1, LinkMbps: 1}}},
		Organisations: []*config.Organisation{{Name: "museum-a", Keys: []string{testKey}}},
	}
	return c.Build()
}

// engineHeader returns the headers of the last request that the engine ran.
func (f *fixture) engineHeader() http.Header {
	if h := f.lastHeader.Load(); h != nil {
		return *h
	}
	return nil
}

// post sends a request and returns the answer. complete is false if the answer was cut off.
func (f *fixture) post(t *testing.T, path, key, body string) (resp *http.Response, text string, complete bool) {
	t.Helper()
	return f.postAs(t, "r-1", path, key, body)
}

// postAs sends a request with an ID of its own.
func (f *fixture) postAs(t *testing.T, id, path, key, body string) (resp *http.Response, text string, complete bool) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = testHost
	for name, value := range map[string]string{wire.Attempt: id, wire.Key: key, wire.Model: "m", wire.Tokens: "100,8", wire.Prefix: "a:80,b:20", wire.Organisation: "somebody else", wire.Salt: "theirs"} {
		req.Header.Set(name, value)
	}
	resp, err = http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err == nil
}

func TestAnswerIsForwarded(t *testing.T) {
	f := newFixture(t)
	resp, text, complete := f.post(t, "/notes/1", testKey, "x")
	if resp == nil || resp.StatusCode != http.StatusOK || !complete || strings.Count(text, "data:") != 6 || resp.Header.Get(wire.Attempt) != "r-1" {
		t.Errorf("answer %v, %q, complete %t", resp, text, complete)
	}
	if f.engineHeader().Get(wire.Organisation) != "museum-a" || f.engineHeader().Get(wire.Key) != "" || f.engineHeader().Get(wire.Salt) != "m/w1" {
		t.Errorf("the engine got organisation %q, key %q, salt %q", f.engineHeader().Get(wire.Organisation), f.engineHeader().Get(wire.Key), f.engineHeader().Get(wire.Salt))
	}
}

// TestUnknownRouteOrKeyWithStaleView: a host that may have missed a newer configuration does not
// deny an unknown route or key, but tells the caller to retry.
func TestUnknownRouteOrKeyWithStaleView(t *testing.T) {
	f := newFixture(t)
	for name, c := range map[string]struct {
		path, key string
		age       time.Duration
		want      int
	}{
		"an unknown route":                {"/other/1", testKey, 0, http.StatusNotFound},
		"an unknown route, an old view":   {"/other/1", testKey, 2 * staleViewAge, http.StatusServiceUnavailable},
		"an unknown key":                  {"/notes/1", "other", 0, http.StatusUnauthorized},
		"an unknown key, an old view":     {"/notes/1", "other", 2 * staleViewAge, http.StatusServiceUnavailable},
		"no key":                          {"/notes/1", "", 0, http.StatusUnauthorized},
		"a known route and key, old view": {"/notes/1", testKey, 2 * staleViewAge, http.StatusOK},
	} {
		f.view.Age = c.age
		resp, _, _ := f.post(t, c.path, c.key, "")
		if resp == nil || resp.StatusCode != c.want {
			t.Errorf("%s: %v, want %d", name, resp, c.want)
			continue
		}
		if retryAfter := resp.Header.Get("Retry-After"); (retryAfter != "") != (c.want == http.StatusServiceUnavailable) {
			t.Errorf("%s: Retry-After %q", name, retryAfter)
		}
	}
}

// TestMissingConfigurationAnswersUnavailable: without any configuration the host answers 503, not
// 404 or 401.
func TestMissingConfigurationAnswersUnavailable(t *testing.T) {
	f := newFixture(t)
	f.view = View{}
	if resp, _, _ := f.post(t, "/other/1", "other", ""); resp == nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answer %v", resp)
	}
}

// TestTruncatedAnswersAreAborted: an answer that the engine cut off must not end cleanly, as the
// caller would take it for complete.
func TestTruncatedAnswersAreAborted(t *testing.T) {
	f := newFixture(t)
	f.engine.Next(engine.Cut)
	resp, text, complete := f.post(t, "/notes/1", testKey, "")
	if resp == nil || complete || !strings.HasSuffix(text, "\n\n") {
		t.Errorf("answer %v, %q, complete %t", resp, text, complete)
	}
}

func TestLargeBodiesAreRefused(t *testing.T) {
	f := newFixture(t)
	resp, _, _ := f.post(t, "/notes/1", testKey, strings.Repeat("x", 2<<10))
	if resp == nil || resp.StatusCode != http.StatusRequestEntityTooLarge || f.engine.Ran("r-1") != 0 {
		t.Errorf("answer %v, ran %d times", resp, f.engine.Ran("r-1"))
	}
}

// TestStoppingHostsCloseConnections: a stopping host still answers the request, and asks the
// caller to close the connection.
func TestStoppingHostsCloseConnections(t *testing.T) {
	f := newFixture(t)
	f.deps.Stopping = func() bool { return true }
	if resp, _, complete := f.post(t, "/notes/1", testKey, ""); resp == nil || !resp.Close || !complete {
		t.Errorf("answer %v, complete %t", resp, complete)
	}
}

// TestDirectory: the directory lists the hosts, and answers 503 if there are none.
func TestDirectory(t *testing.T) {
	f := newFixture(t)
	get := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		New(f.deps).DirectoryHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, platform.PathDirectory+"?Zone=z", nil))
		return w
	}
	if w := get(); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), "10.0.0.1:1") {
		t.Errorf("answer %d %s", w.Code, w.Body)
	}
	f.deps.Directory = func(string) []string { return nil }
	if w := get(); w.Code != http.StatusServiceUnavailable {
		t.Errorf("answer %d without hosts", w.Code)
	}
}
