package node

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
)

const (
	// restartDelay is how long a crashed server is down.
	restartDelay = 150 * time.Millisecond
	// propagationTime is the time after which every host must know that a request crashes
	// servers.
	propagationTime = 3 * time.Second
	// maxLaterCrashes is the maximum number of servers that may crash after that.
	maxLaterCrashes = 3
)

// crashingServer is a backend server that crashes when it runs a poison request, losing all
// running requests, and restarts at the same address under another ID.
type crashingServer struct {
	s       *site
	name    string
	address string
	// options are those of its engine beyond the ones that start sets.
	options engine.Options

	mu     sync.Mutex
	server *http.Server
	starts int
	up     bool
}

func (s *site) crashingServer(name string, options engine.Options) *crashingServer {
	s.t.Helper()
	c := &crashingServer{s: s, name: name, address: "127.0.0.1:0", options: options}
	c.start()
	s.t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.server.Close()
	})
	return c
}

func (c *crashingServer) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	listener, err := net.Listen("tcp4", c.address)
	if err != nil {
		c.s.t.Errorf("%s does not start: %v", c.name, err)
		return
	}
	c.address = listener.Addr().String()
	c.starts++
	id := fmt.Sprintf("%s-%d", c.name, c.starts)
	options := c.options
	options.ID, options.Service, options.Address, options.Zone, options.Model = id, "writer", c.address, "z1", "m"
	options.Slots, options.Events = 8, 6
	options.OnCrash = func() { c.crash(id) }
	e := engine.New(options)
	c.server = &http.Server{Handler: e.Handler()}
	go c.server.Serve(listener)
	if err := e.Register(func(key string, entry any) error { return c.s.store.PutJSON(platform.ReplicaTopic, key, entry) }, false); err != nil {
		c.s.t.Error(err)
	}
	c.up = true
}

func (c *crashingServer) crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.up || id != fmt.Sprintf("%s-%d", c.name, c.starts) {
		return
	}
	c.up = false
	c.server.Close()
	time.AfterFunc(restartDelay, func() {
		c.s.store.Put(platform.ReplicaTopic, id, nil)
		c.start()
	})
}

// newCrashSite returns a site whose engines are four servers that crash when they run a poison
// request.
func newCrashSite(t *testing.T) (*site, []*crashingServer) {
	t.Helper()
	s := newSite(t)
	for _, e := range s.engines {
		s.store.Put(platform.ReplicaTopic, e.ID, nil)
	}
	var servers []*crashingServer
	for i := range 4 {
		servers = append(servers, s.crashingServer(fmt.Sprint("i-frail-", i), engine.Options{Pace: time.Millisecond}))
	}
	s.configure(1)
	return s, servers
}

// sendPoison sends an attempt of a poison request. Its outcome, a broken connection or an error,
// does not matter.
func sendPoison(t *testing.T, h *host, id string) {
	t.Helper()
	r := caller.Request{ID: id, Method: "POST", Path: "/reports/1", Body: engine.PoisonBody, Model: "m", Tokens: "840,16", Deadline: waitLimit}
	_, _ = h.caller().SendTo(t.Context(), h.settings.Listen.Caller, r)
}

// allRegistered reports whether every server is up and registered at each host.
func allRegistered(servers []*crashingServer, hosts ...*host) bool {
	return !slices.ContainsFunc(servers, func(c *crashingServer) bool { return !c.registered(hosts) })
}

// countCrashes returns the number of crashes of the servers.
func countCrashes(servers []*crashingServer) int {
	n := 0
	for _, c := range servers {
		c.mu.Lock()
		n += c.starts
		if c.up {
			n--
		}
		c.mu.Unlock()
	}
	return n
}

// registered reports whether the server is up and registered at each host under its current ID.
func (c *crashingServer) registered(hosts []*host) bool {
	c.mu.Lock()
	id, up := fmt.Sprintf("%s-%d", c.name, c.starts), c.up
	c.mu.Unlock()
	for _, h := range hosts {
		up = up && slices.ContainsFunc(h.node.replicas.Endpoints(), func(e replica.Endpoint) bool { return e.ID == id })
	}
	return up
}

// TestCrashingRequestIsQuarantined guards against a request that crashes every server that runs
// it: some twenty in half a minute, with all streams on them. Its caller retried at any host
// under a new ID, and hosts kept only attempt IDs, so each treated it as a new request. A
// digest of the parts common to all attempts identifies such a request: in the log most digests
// had lost one or two attempts, this one 44, on each host. After three crashes, and time for
// every host to receive reports of them, at most three more servers may crash. Both hosts serve
// other requests meanwhile.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s, servers := newCrashSite(t)
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	hosts := []*host{a, b}
	eventually(t, "two ready hosts that list each other", func() bool {
		return a.ready() && b.ready() && len(a.node.directory("z1")) == 2 && len(b.node.directory("z1")) == 2
	})
	attempts := 0
	poison := func() {
		attempts++
		sendPoison(t, hosts[attempts%2], fmt.Sprint("d-", attempts))
	}
	everyServer := func() bool { return allRegistered(servers, hosts...) }
	eventually(t, "three crashes", func() bool {
		eventually(t, "four servers", everyServer)
		poison()
		return countCrashes(servers) >= 3
	})
	time.Sleep(propagationTime)
	before := countCrashes(servers)
	for range 10 {
		eventually(t, "four servers", everyServer)
		poison()
	}
	if more := countCrashes(servers) - before; more > maxLaterCrashes {
		t.Errorf("%d more servers crashed under a request after %d crashes", more, before)
	}
	for _, h := range hosts {
		eventually(t, "four servers", everyServer)
		if answer := send(t, h.caller(), caller.Request{ID: "r", Method: "POST", Path: "/reports/1", Model: "m", Tokens: "840,16"}); answer.Status != http.StatusOK {
			t.Errorf("another request: %+v", answer)
		}
	}
}

// TestQuarantineSurvivesPowerLoss guards against a fleet that loses all hosts at once and then
// lets three more servers crash under a request that it had already quarantined. Quarantined
// requests are kept in the store, where starting hosts find them.
func TestQuarantineSurvivesPowerLoss(t *testing.T) {
	s, servers := newCrashSite(t)
	first := s.host("a", s.address)
	eventually(t, "readiness", first.ready)
	for i := 0; countCrashes(servers) < 3; i++ {
		eventually(t, "four servers", func() bool { return allRegistered(servers, first) })
		sendPoison(t, first, fmt.Sprint("d-", i))
	}
	eventually(t, "the quarantine in the store", func() bool { return len(first.node.crashes.Unsaved()) == 0 })
	first.stop()
	<-first.done
	again := s.host("b", s.address)
	eventually(t, "readiness", again.ready)
	eventually(t, "four servers", func() bool { return allRegistered(servers, again) })
	eventually(t, "the quarantine on the started host", func() bool { requests, _ := again.node.crashes.Count(time.Now()); return requests == 1 })
	before := countCrashes(servers)
	for i := range 3 {
		sendPoison(t, again, fmt.Sprint("e-", i))
	}
	if n := countCrashes(servers) - before; n != 0 {
		t.Errorf("%d servers crashed under a request that was quarantined before the power loss", n)
	}
}
