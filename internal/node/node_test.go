package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/settings"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/store"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// waitLimit is the timeout of each wait. Tests continue as soon as the condition holds.
const waitLimit = 20 * time.Second

// site is a store, backend servers and entry hosts in one process.
type site struct {
	t       *testing.T
	store   *store.Store
	address string
	engines []*engine.Engine
	jobs    *engine.Engine
	// ports keeps the hosts' heartbeat ports reserved until all hosts have stopped, so that
	// heartbeats to a stopped host do not reach a host of another test.
	ports []*os.File
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: store.New()}
	// This runs after the cleanups of the hosts, which are registered later.
	t.Cleanup(func() {
		for _, p := range s.ports {
			p.Close()
		}
	})
	s.address = serve(t, s.store.Handler())
	for i := range 2 {
		s.engines = append(s.engines, s.backend(engine.Options{ID: fmt.Sprint("i-writer-", i), Service: "writer", Model: "m", Events: 6, Pace: time.Millisecond, LoadTime: 50 * time.Millisecond}))
	}
	s.jobs = s.backend(engine.Options{ID: "i-jobs", Service: "jobs"})
	return s
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (s *site) backend(o engine.Options) *engine.Engine {
	s.t.Helper()
	var e *engine.Engine
	o.Address = serve(s.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.Handler().ServeHTTP(w, r) }))
	o.Zone, o.Slots = "z1", cmp.Or(o.Slots, 8)
	e = engine.New(o)
	put := func(key string, entry any) error { return s.store.PutJSON(platform.ReplicaTopic, key, entry) }
	if err := e.Register(put, false); err != nil {
		s.t.Fatal(err)
	}
	return e
}

// configure writes the demonstration's configuration with the given version.
func (s *site) configure(version int, change ...string) {
	s.t.Helper()
	data, err := os.ReadFile("../../test/demo/config.json")
	if err != nil {
		s.t.Fatal(err)
	}
	text := strings.Replace(string(data), `"Version": 1`, fmt.Sprintf(`"Version": %d`, version), 1)
	text = strings.NewReplacer(change...).Replace(text)
	s.store.Put(platform.OperatorTopic, "config", []byte(text))
}

// host is a running entry host.
type host struct {
	settings *pb.Settings
	node     *Node
	stop     context.CancelFunc
	done     chan struct{}
	// link is the host's link to the backend servers.
	link *serverLink
}

// openAnywhere opens a host's sockets at ports chosen by the system, and returns them with their
// addresses. It tries again if a free TCP port is in use for UDP.
func openAnywhere(t *testing.T) (*Listeners, *pb.ListenSettings) {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	wanted := &pb.ListenSettings{Caller: anyPort, Ready: anyPort, Directory: anyPort, Operator: anyPort, Peer: anyPort}
	l, err := Listen(wanted)
	for errors.Is(err, syscall.EADDRINUSE) {
		l, err = Listen(wanted)
	}
	if err != nil {
		t.Fatal(err)
	}
	at := func(l net.Listener) string { return l.Addr().String() }
	return l, &pb.ListenSettings{Caller: at(l.callers), Ready: at(l.ready), Directory: at(l.directory), Operator: at(l.operators), Peer: at(l.peers)}
}

func (s *site) host(id, storeAddress string, peers ...*host) *host {
	s.t.Helper()
	return s.hostWith(id, storeAddress, func(*pb.Settings) {}, peers...)
}

// hostWith starts a host whose settings are changed.
func (s *site) hostWith(id, storeAddress string, change func(*pb.Settings), peers ...*host) *host {
	s.t.Helper()
	set := settings.Defaults()
	set.Host.Id, set.Host.AvailabilityZone = id, "z1"
	listeners, addresses := openAnywhere(s.t)
	set.Listen = addresses
	port, err := listeners.heartbeats.File()
	if err != nil {
		s.t.Fatal(err)
	}
	s.ports = append(s.ports, port)
	set.Platform.Address = storeAddress
	set.Platform.CallTimeout = durationpb.New(300 * time.Millisecond)
	set.Replica.PollInterval = durationpb.New(20 * time.Millisecond)
	set.Stop.Grace = durationpb.New(time.Second)
	change(set)
	log, lines := obs.NewLogger(set.Log, io.Discard)
	n := New(set, nil, log, lines)
	link := newServerLink()
	n.pool.Dial, n.engines.Dial = link.dial, link.dial
	for _, p := range peers {
		n.members.AddPeer(p.settings.Listen.Peer, time.Now())
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &host{set, n, stop, make(chan struct{}), link}
	go func() {
		defer close(h.done)
		n.Run(ctx, listeners)
		_ = lines.Close()
	}()
	s.t.Cleanup(func() {
		stop()
		<-h.done
	})
	return h
}

func (h *host) ready() bool { return h.node.ready() }

func (h *host) caller() *caller.Caller {
	return &caller.Caller{Directories: []string{h.settings.Listen.Directory}, HostName: "museum.example", Zone: "z1", Key: "key-of-museum-a"}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func send(t *testing.T, c *caller.Caller, r caller.Request) caller.Answer {
	t.Helper()
	r.Deadline = 5 * time.Second
	answer, err := c.Send(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// TestReadyHostIsInItsDirectory checks that a host is ready only once its own directory lists
// it, as callers may come at once.
func TestReadyHostIsInItsDirectory(t *testing.T) {
	set := settings.Defaults()
	set.Host.Id, set.Host.AvailabilityZone = "a", "z1"
	set.Listen = &pb.ListenSettings{Caller: "127.0.0.1:1", Peer: "127.0.0.1:2"}
	log, lines := obs.NewLogger(set.Log, io.Discard)
	defer lines.Close()
	n := New(set, nil, log, lines)
	statemachine.Fire(n.machine, eventSynced)
	if names := n.directory("z1"); n.ready() || len(names) > 0 {
		t.Errorf("before the directory is updated: ready %v, listed %v", n.ready(), names)
	}
	n.setState()
	if names := n.directory("z1"); !n.ready() || len(names) != 1 {
		t.Errorf("after the directory is updated: ready %v, listed %v", n.ready(), names)
	}
}

func TestWholePath(t *testing.T) {
	s := newSite(t)
	h := s.host("a", s.address)
	early := &caller.Caller{Directories: []string{h.settings.Listen.Directory}, HostName: "museum.example"}
	eventually(t, "the directory's answer", func() bool {
		_, err := early.Resolve(context.Background())
		return err != nil && !strings.Contains(err.Error(), "refused")
	})
	s.configure(1)
	eventually(t, "readiness", h.ready)
	c := h.caller()
	report := send(t, c, caller.Request{ID: "r-1", Method: "POST", Path: "/reports/1", Model: "m", Prefix: "a1:800,b2:40", Tokens: "840,16"})
	if report.Status != 200 || strings.Count(report.Body, "id: ") != 6 || report.Header.Get(wire.Seal) == "" || !report.Whole {
		t.Errorf("report: %+v", report)
	}
	update := send(t, c, caller.Request{ID: "u-1", Method: "POST", Path: "/updates/1", Body: "wax"})
	if update.Status != 200 || s.jobs.Ran("u-1") != 1 {
		t.Errorf("update: %+v, ran %d times", update, s.jobs.Ran("u-1"))
	}
	if view := send(t, c, caller.Request{ID: "v-1", Method: "GET", Path: "/views/1"}); view.Status != 200 {
		t.Errorf("view: %+v", view)
	}
	if missing := send(t, c, caller.Request{ID: "x-1", Method: "GET", Path: "/nowhere/"}); missing.Status != 404 {
		t.Errorf("unknown route: %+v", missing)
	}
	c.Key = "stolen"
	if denied := send(t, c, caller.Request{ID: "x-2", Method: "GET", Path: "/views/1"}); denied.Status != 401 || s.jobs.Ran("x-2") != 0 {
		t.Errorf("unknown key: %+v", denied)
	}
}

// TestFailuresAreRetriedOrReported checks that failures are hidden where a request may be
// retried, and reported correctly where not.
func TestFailuresAreRetriedOrReported(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.host("a", s.address)
	eventually(t, "readiness", h.ready)
	c := h.caller()
	for _, e := range s.engines {
		e.Next(engine.Cut)
	}
	report := send(t, c, caller.Request{ID: "r-1", Method: "POST", Path: "/reports/1", Model: "m", Prefix: "a1:800,b2:40", Tokens: "840,16"})
	if strings.Count(report.Body, "id: ") < 6 && report.Whole {
		t.Errorf("a cut stream looks whole: %q", report.Body)
	}
	s.jobs.Next(engine.Refuse)
	refused := send(t, c, caller.Request{ID: "u-1", Method: "POST", Path: "/updates/1"})
	if refused.Status != 503 || refused.RetryAfter <= 0 || s.jobs.Ran("u-1") != 0 {
		t.Errorf("refused: %+v, ran %d times", refused, s.jobs.Ran("u-1"))
	}
	s.jobs.Next(engine.Cut)
	lost := send(t, c, caller.Request{ID: "u-2", Method: "POST", Path: "/updates/1"})
	if lost.Status != 502 || s.jobs.Ran("u-2") != 1 {
		t.Errorf("lost: %+v, ran %d times", lost, s.jobs.Ran("u-2"))
	}
}

// TestConfigurationReachesHostsWithoutTheStore checks that a host which the store rejects gets
// the configuration from another host.
func TestConfigurationReachesHostsWithoutTheStore(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	var blocked sync.Map
	storeProxy := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isBlocked := blocked.Load("shut"); isBlocked {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.Handler().ServeHTTP(w, r)
	}))
	a := s.host("a", s.address)
	b := s.host("b", storeProxy, a)
	eventually(t, "readiness of both", func() bool { return a.ready() && b.ready() })
	blocked.Store("shut", true)
	eventually(t, "the outage at b", func() bool { return !b.node.access.Stable(time.Now()) })
	s.configure(5, "key-of-museum-a", "new-key")
	eventually(t, "the configuration at b", func() bool { return b.node.config.Load().Version == 5 })
	put := func(key string, entry any) error { return s.store.PutJSON(platform.ReplicaTopic, key, entry) }
	if err := s.jobs.Register(put, true); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the draining at b", func() bool {
		for _, r := range b.node.replicas.Status(time.Now()) {
			if r.Id == "i-jobs" && r.State == "draining" {
				return true
			}
		}
		return false
	})
	// A host that starts while the store rejects it gets the records from other hosts.
	c := s.host("c", storeProxy, a)
	eventually(t, "readiness of c", c.ready)
}

// TestStopFinishesOpenRequests checks that an open stream completes while the host stops, and
// that other hosts' directories drop the host at once.
func TestStopFinishesOpenRequests(t *testing.T) {
	s := newSite(t)
	for _, e := range s.engines {
		e.Pace = 40 * time.Millisecond
	}
	s.configure(1)
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	both := func() bool { return len(a.node.directory("z1")) == 2 && len(b.node.directory("z1")) == 2 }
	eventually(t, "both hosts in the directory", both)
	only := a.caller()
	request, err := http.NewRequest(http.MethodPost, "http://"+a.settings.Listen.Caller+"/reports/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "museum.example"
	request.Header.Set(wire.Key, only.Key)
	request.Header.Set(wire.Attempt, "r-1")
	request.Header.Set(wire.Model, "m")
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	a.stop()
	eventually(t, "the host's removal from the directory", func() bool {
		names := b.node.directory("z1")
		return len(names) == 1 && names[0] == b.settings.Listen.Caller
	})
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || strings.Count(string(body), "id: ") != 6 {
		t.Errorf("%v, %q", err, body)
	}
	<-a.done
}

func TestNewWeightsAreLoaded(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	eventually(t, "readiness", func() bool { return a.ready() && b.ready() })
	s.store.Put(platform.OperatorTopic, "version/m", []byte(`{"Model":"m","Version":2}`))
	eventually(t, "the weights", func() bool { return s.engines[0].Version() == 2 && s.engines[1].Version() == 2 })
	eventually(t, "reports of the new weights", func() bool {
		for _, r := range b.node.replicas.Snapshot("writer", "m", 1000, time.Now()) {
			if r.Weights != 2 || r.Loading {
				return false
			}
		}
		return true
	})
	report := send(t, b.caller(), caller.Request{ID: "r-1", Method: "POST", Path: "/reports/1", Model: "m", Prefix: "a1:800,b2:40", Tokens: "840,16"})
	if report.Status != 200 || report.Header.Get(wire.Weights) != "2" {
		t.Errorf("report: %+v", report)
	}
}
