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
	// downFor is how long a crashed server is gone.
	downFor = 150 * time.Millisecond
	// knownWithin is when every host must know that a request crashes servers.
	knownWithin = 3 * time.Second
	// allowedCrashes is how many more servers may run it after that.
	allowedCrashes = 3
)

// crashing is a backend server that a poison request ends, with all that it is at work on,
// and that is back at its address under another ID.
type crashing struct {
	s       *site
	name    string
	address string

	mu     sync.Mutex
	server *http.Server
	starts int
	up     bool
}

func (s *site) crashing(name string) *crashing {
	s.t.Helper()
	c := &crashing{s: s, name: name, address: "127.0.0.1:0"}
	c.start()
	s.t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.server.Close()
	})
	return c
}

func (c *crashing) start() {
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
	e := engine.New(engine.Options{
		ID: id, Service: "writer", Address: c.address, Zone: "z1", Slots: 8, Model: "m", Events: 6, Pace: time.Millisecond,
		OnCrash: func() { c.crash(id) },
	})
	c.server = &http.Server{Handler: e.Handler()}
	go c.server.Serve(listener)
	if err := e.Register(func(key string, entry any) error { return c.s.store.PutJSON(platform.ReplicaTopic, key, entry) }, false); err != nil {
		c.s.t.Error(err)
	}
	c.up = true
}

func (c *crashing) crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up = false
	c.server.Close()
	time.AfterFunc(downFor, func() {
		c.s.store.Put(platform.ReplicaTopic, id, nil)
		c.start()
	})
}

// frailSite is a site whose engines are four servers that a poison request ends.
func frailSite(t *testing.T) (*site, []*crashing) {
	t.Helper()
	s := newSite(t)
	for _, e := range s.engines {
		s.store.Put(platform.ReplicaTopic, e.ID, nil)
	}
	var servers []*crashing
	for i := range 4 {
		servers = append(servers, s.crashing(fmt.Sprint("i-frail-", i)))
	}
	s.configure(1)
	return s, servers
}

// sendPoison sends an attempt at a poison request. Whether its connection is cut or an
// error comes makes no difference to these tests.
func sendPoison(t *testing.T, h *host, id string) {
	t.Helper()
	r := caller.Request{ID: id, Method: "POST", Path: "/reports/1", Body: engine.PoisonBody, Model: "m", Tokens: "840,16", Deadline: limit}
	_, _ = h.caller().SendTo(t.Context(), h.settings.Listen.Caller, r)
}

// allKnown reports whether every server is up and known to each host.
func allKnown(servers []*crashing, hosts ...*host) bool {
	return !slices.ContainsFunc(servers, func(c *crashing) bool { return !c.known(hosts) })
}

// crashes returns how often the servers ended.
func crashes(servers []*crashing) int {
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

// known reports whether the server is up and each host knows its present start.
func (c *crashing) known(hosts []*host) bool {
	c.mu.Lock()
	id, up := fmt.Sprintf("%s-%d", c.name, c.starts), c.up
	c.mu.Unlock()
	for _, h := range hosts {
		up = up && slices.ContainsFunc(h.node.replicas.Endpoints(), func(e replica.Endpoint) bool { return e.ID == id })
	}
	return up
}

// TestRequestThatCrashesServersIsKeptAway tells of a request that ended every server that
// ran it: some twenty in half a minute, with the streams that these were at work on. Its
// caller sent it again after each failure, to any host and under a new ID, and each host
// took it for a new one: nothing was remembered of a request but its attempt's ID. Proof was
// a digest of what is the same for all attempts, in the log: all but a few lost one or two
// attempts, that one 44, on each host. Once three servers have ended under it and every host
// has had time to hear of it, at most three more may run it; other requests are served by
// both hosts all the while.
func TestRequestThatCrashesServersIsKeptAway(t *testing.T) {
	s, servers := frailSite(t)
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	hosts := []*host{a, b}
	eventually(t, "two ready hosts that know each other", func() bool {
		return a.ready() && b.ready() && len(a.node.directory("z1")) == 2 && len(b.node.directory("z1")) == 2
	})
	attempts := 0
	poison := func() {
		attempts++
		sendPoison(t, hosts[attempts%2], fmt.Sprint("d-", attempts))
	}
	everyServer := func() bool { return allKnown(servers, hosts...) }
	eventually(t, "three crashes", func() bool {
		eventually(t, "four servers", everyServer)
		poison()
		return crashes(servers) >= 3
	})
	time.Sleep(knownWithin)
	before := crashes(servers)
	for range 10 {
		eventually(t, "four servers", everyServer)
		poison()
	}
	if more := crashes(servers) - before; more > allowedCrashes {
		t.Errorf("%d servers more ended under a request that had ended %d", more, before)
	}
	for _, h := range hosts {
		eventually(t, "four servers", everyServer)
		if answer := send(t, h.caller(), caller.Request{ID: "r", Method: "POST", Path: "/reports/1", Model: "m", Tokens: "840,16"}); answer.Status != http.StatusOK {
			t.Errorf("another request: %+v", answer)
		}
	}
}

// TestPoisonRequestOutlivesALossOfPower: a fleet that had lost all its hosts at once let
// three more servers end under a request that it had refused before, each time. What is
// refused is kept in the store, where hosts that start find it.
func TestPoisonRequestOutlivesALossOfPower(t *testing.T) {
	s, servers := frailSite(t)
	first := s.host("a", s.address)
	eventually(t, "readiness", first.ready)
	for i := 0; crashes(servers) < 3; i++ {
		eventually(t, "four servers", func() bool { return allKnown(servers, first) })
		sendPoison(t, first, fmt.Sprint("d-", i))
	}
	eventually(t, "the refusal in the store", func() bool { return len(first.node.crashes.Unsaved()) == 0 })
	first.stop()
	<-first.done
	again := s.host("b", s.address)
	eventually(t, "readiness", again.ready)
	eventually(t, "four servers", func() bool { return allKnown(servers, again) })
	eventually(t, "the refusal on the started host", func() bool { return again.node.crashes.Count(time.Now()) == 1 })
	before := crashes(servers)
	for i := range 3 {
		sendPoison(t, again, fmt.Sprint("e-", i))
	}
	if n := crashes(servers) - before; n != 0 {
		t.Errorf("%d servers ended under a request that was refused before the loss of power", n)
	}
}
