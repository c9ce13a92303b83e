package node

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/canary"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/peer"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/store"
)

// configApplyTime is how soon after its acknowledgement a configuration must be in force.
const configApplyTime = 2 * time.Second

// restore makes the store unreachable for a moment and brings it back from a copy.
func (s *site) restore(c store.Copy) {
	s.store.SetMode(store.Down)
	time.Sleep(700 * time.Millisecond)
	s.store.Restore(c)
	s.store.SetMode(store.Up)
}

// register writes the entries of all servers again.
func (s *site) register() {
	s.t.Helper()
	for _, e := range append(s.engines, s.jobs) {
		if err := e.Register(func(key string, entry any) error { return s.store.PutJSON(platform.ReplicaTopic, key, entry) }, false); err != nil {
			s.t.Fatal(err)
		}
	}
}

// inForce reports whether a host has a configuration of at least the version in force.
func (h *host) inForce(version int64) bool {
	c := h.node.config.Load()
	return c != nil && c.Version >= version
}

// watchVersions fails the test if a host goes back to an older configuration. The returned function
// ends it.
func watchVersions(t *testing.T, hosts []*host) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			for last := int64(0); ; {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if c := h.node.config.Load(); c != nil {
					if c.Version < last {
						t.Errorf("%s went back from version %d to %d", h.settings.Host.Id, last, c.Version)
						return
					}
					last = c.Version
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// TestConfigurationsApplyAfterTheStoreIsRestored guards against configurations that never come into
// force: a store that was restored from a copy assigns offsets again, and hosts ignored records at
// offsets that they had applied before. Two acknowledged configurations were in force on none of
// eight hosts more than 2 s later. A host that the store rejects must get them from the others, and
// a host that starts must get the newest from them too, although the copy has an older one.
func TestConfigurationsApplyAfterTheStoreIsRestored(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	var rejects atomic.Bool
	rejecting := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rejects.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.Handler().ServeHTTP(w, r)
	}))
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	c := s.host("c", rejecting, a, b)
	hosts := []*host{a, b, c}
	for _, h := range hosts {
		eventually(t, "readiness", h.ready)
	}
	for round := range int64(2) {
		version := 10 * (round + 1)
		copied := s.store.Copy()
		for v := version; v < version+4; v++ {
			s.configure(int(v))
		}
		for _, h := range hosts {
			eventually(t, "the configuration", func() bool { return h.inForce(version + 3) })
		}
		stop := watchVersions(t, hosts)
		rejects.Store(true)
		s.restore(copied)
		started := s.host(fmt.Sprint("started-", round), s.address, a, b)
		eventually(t, "readiness of a host that starts", started.ready)
		for ready := time.Now(); !started.inForce(version+3) && time.Since(ready) < configApplyTime; {
			time.Sleep(5 * time.Millisecond)
		}
		if !started.inForce(version + 3) {
			t.Errorf("a host that started serves by version %d, acknowledged is %d", started.node.config.Load().Version, version+3)
		}
		s.configure(int(version + 3))
		s.register()
		time.Sleep(300 * time.Millisecond)
		for v := version + 4; v < version+6; v++ {
			s.configure(int(v))
			acknowledged := time.Now()
			for _, h := range append(hosts, started) {
				for !h.inForce(v) && time.Since(acknowledged) < configApplyTime {
					time.Sleep(5 * time.Millisecond)
				}
				if !h.inForce(v) {
					t.Errorf("round %d: version %d in force on %s %v after version %d was acknowledged", round, h.node.config.Load().Version, h.settings.Host.Id, configApplyTime, v)
				}
			}
		}
		stop()
		rejects.Store(false)
		eventually(t, "the store at c", func() bool { return c.node.access.Stable(time.Now()) })
		if sent := sendReports(t, c, 3); countServed(sent) != len(sent) {
			t.Errorf("round %d: answers %+v", round, sent)
		}
	}
}

// TestEntriesAfterTheStoreIsRestored guards against servers that come back or get lost with a copy:
// one whose entry was removed must get no requests because the copy still has the entry, one that
// registered after the copy must keep serving and be found by a host that starts once it has
// registered again, and one that does not register again is gone.
func TestEntriesAfterTheStoreIsRestored(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	for _, h := range []*host{a, b} {
		eventually(t, "readiness", h.ready)
		eventually(t, "the servers", func() bool { return h.node.replicas.Count() == 3 })
	}
	state := func(h *host, id string) string {
		for _, r := range h.node.replicas.Status(time.Now()) {
			if r.Id == id {
				return r.State
			}
		}
		return ""
	}
	copied := s.store.Copy()
	s.store.Put(platform.ReplicaTopic, "i-writer-0", nil)
	put := func(key string, entry any) error { return s.store.PutJSON(platform.ReplicaTopic, key, entry) }
	s.engines[1].ID = "i-late"
	if err := s.engines[1].Register(put, false); err != nil {
		t.Fatal(err)
	}
	s.store.PutJSON(platform.ReplicaTopic, "i-dead", map[string]any{"Service": "jobs", "Addr": "127.0.0.1:1", "Zone": "z1", "Version": "v1", "State": "ready", "Slots": 1, "ColdLeftMs": 0, "Seq": 0})
	for _, h := range []*host{a, b} {
		eventually(t, "the changes", func() bool {
			return state(h, "i-writer-0") == "" && state(h, "i-late") == "serving" && state(h, "i-dead") == "serving"
		})
	}
	s.restore(copied)
	if err := s.engines[1].Register(put, false); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, h := range []*host{a, b} {
			if got := state(h, "i-writer-0"); got != "" {
				t.Fatalf("the removed server is %s on %s", got, h.settings.Host.Id)
			}
			if got := state(h, "i-late"); got != "serving" && got != "lapsed" {
				t.Fatalf("the server that registered after the copy is %q on %s", got, h.settings.Host.Id)
			}
		}
	}
	for _, h := range []*host{a, b} {
		eventually(t, "the end of the dead server", func() bool { return state(h, "i-dead") == "" })
		if got := state(h, "i-late"); got != "serving" {
			t.Errorf("the server that registered again is %q on %s", got, h.settings.Host.Id)
		}
	}
}

// TestWeightsAreLoadedAfterTheStoreIsRestored guards against load commands that end or go back with
// the lease's log: the record of the lease is not in the copy, the holder's position is beyond the end
// of the log, and fencing tokens derived from offsets would be given out again.
func TestWeightsAreLoadedAfterTheStoreIsRestored(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	var mu sync.Mutex
	tokens := map[int64]string{}
	highest := int64(0)
	for _, e := range s.engines {
		e.OnOrder = func(holder string, fence int64) {
			mu.Lock()
			defer mu.Unlock()
			if fence < highest {
				t.Errorf("%s commands with token %d after token %d", holder, fence, highest)
			}
			if other := tokens[fence]; other != "" && other != holder {
				t.Errorf("%s and %s command with token %d", other, holder, fence)
			}
			tokens[fence], highest = holder, max(highest, fence)
		}
	}
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	eventually(t, "readiness", func() bool { return a.ready() && b.ready() })
	copied := s.store.Copy()
	name := func(version int64) {
		s.store.Put(platform.OperatorTopic, "version/m", fmt.Appendf(nil, `{"Model":"m","Version":%d}`, version))
	}
	loaded := func(version int64) bool {
		return s.engines[0].Version() == version && s.engines[1].Version() == version
	}
	name(2)
	eventually(t, "the weights", func() bool { return loaded(2) })
	for version := int64(3); version < 5; version++ {
		s.restore(copied)
		name(version - 1)
		s.register()
		name(version)
		named := time.Now()
		eventually(t, "the weights after a restoration", func() bool { return loaded(version) })
		if took := time.Since(named); took > 6*time.Second {
			t.Errorf("version %d loaded %v after it was named", version, took)
		}
	}
}

// TestReleaseStaysDoneAfterTheStoreIsRestored guards against a canary release that starts again
// because its status, which hosts had written, is not in the copy, or because its order, which operators
// write again, has another offset. A host that starts then must not take it for a new one: the old
// servers may have been stopped.
func TestReleaseStaysDoneAfterTheStoreIsRestored(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	eventually(t, "readiness", func() bool { return a.ready() && b.ready() })
	copied := s.store.Copy()
	order := func() {
		s.store.Put(platform.OperatorTopic, "rollout/jobs", []byte(`{"Service":"jobs","Target":"v2","DurationS":60}`))
	}
	state := func(h *host) string {
		for _, m := range h.node.canaries.Status(time.Now()) {
			return m.State
		}
		return ""
	}
	s.configure(2)
	order()
	eventually(t, "the order", func() bool { return state(a) != "" && state(b) != "" })
	s.store.Put(platform.StatusTopic, "rollout/jobs", []byte(`{"Service":"jobs","State":"done","Target":"v2","Order":2,"Fence":9,"BeganMs":1}`))
	eventually(t, "the end of the release", func() bool { return state(a) == "done" && state(b) == "done" })
	s.restore(copied)
	order()
	s.configure(2)
	time.Sleep(300 * time.Millisecond)
	eventually(t, "the status in the store", func() bool {
		started := canary.NewTable(canary.Terms{}, a.node.log)
		for topicName, apply := range map[string]func(rec platform.Record){
			platform.OperatorTopic: func(rec platform.Record) {
				if o, ok, err := platform.DecodeCanaryOrder(rec); ok && err == nil {
					started.ApplyOrder(o, time.Now())
				}
			},
			platform.StatusTopic: func(rec platform.Record) {
				if st, ok, err := platform.DecodeCanaryStatus(rec); ok && err == nil {
					started.ApplyStatus(st, time.Now())
				}
			},
		} {
			page, err := a.node.store.Newest(t.Context(), topicName)
			if err != nil {
				return false
			}
			for _, rec := range page.Records {
				rec.Era = page.Era
				apply(rec)
			}
		}
		return len(started.Status(time.Now())) == 1 && started.Status(time.Now())[0].State == "done"
	})
	c := s.host("c", s.address, a, b)
	eventually(t, "readiness of a host that starts", c.ready)
	for _, h := range []*host{a, b, c} {
		eventually(t, "the state of the release", func() bool { return state(h) == "done" })
	}
}

// TestHostsWriteTheirRecordsAgain guards against records of hosts that are missing from a restored
// store: their addresses, by which hosts that start find them, and the crashes under a request, without which a
// fleet that loses power would let as many servers crash as before.
func TestHostsWriteTheirRecordsAgain(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	copied := s.store.Copy()
	a := s.host("a", s.address)
	eventually(t, "readiness", a.ready)
	held := func(want int) func() bool {
		return func() bool {
			page, err := a.node.store.Newest(t.Context(), platform.HostTopic)
			return err == nil && len(page.Records) == want
		}
	}
	for server := range quarantine.Server(2) {
		a.node.replicaCrashed(server+1, []quarantine.Fingerprint{{Request: 7}}, time.Now())
	}
	eventually(t, "the address and the crashes in the store", held(2))
	s.restore(copied)
	if held(2)() {
		t.Fatal("the copy has the records")
	}
	eventually(t, "the address and the crashes after the restoration", held(2))
}

// TestFrozenHostDoesNotDelayConfigurationsAfterRestoration guards against configurations that reach a
// host without the store too late: after a restoration it fetches the operators' records whole, and
// waited 3 s for a frozen host while others offered them.
func TestFrozenHostDoesNotDelayConfigurationsAfterRestoration(t *testing.T) {
	n := newIdleNode(t, "without-store")
	n.operators.MergeFetched(topic.Fetched{Records: namedWeightsPage().Records, At: topic.Position{Offset: namedWeightsPage().End}, Extent: topic.Whole, Trusted: true})
	// The sockets accept connections in the kernel, as those of a frozen process do.
	frozen, other := listenOnly(t), listenOnly(t)
	asked := make(chan time.Time, 1)
	go func() {
		if c, err := other.Accept(); err == nil {
			asked <- time.Now()
			c.Close()
		}
	}()
	offer := func(host string, l net.Listener) {
		n.catchUp(&pb.Heartbeat{Host: host, PeerAddress: l.Addr().String(), Positions: []*pb.TopicPosition{{Topic: n.operators.Name(), Era: 1, End: 1}}})
	}
	began := time.Now()
	offer("frozen", frozen)
	for {
		offer("other", other)
		select {
		case at := <-asked:
			t.Logf("the second host is asked after %v", at.Sub(began))
			return
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(began) > configApplyTime {
			t.Fatalf("the second host is not asked within %v", configApplyTime)
		}
	}
}

// listenOnly returns a listener whose connections nobody answers.
func listenOnly(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestConfigurationsAreSentInFullAfterRestoration guards against configurations that wait for bulk
// transfers: a host that is in the era before gets the operators' records although whole topics use up
// what the link has for them.
func TestConfigurationsAreSentInFullAfterRestoration(t *testing.T) {
	n := newIdleNode(t, "serves")
	metrics, _, closer := obs.NewMetrics()
	defer closer.Close()
	n.metrics = metrics
	page := namedWeightsPage()
	for i := range page.Records {
		page.Records[i].Era = 1
	}
	n.operators.MergeFetched(topic.Fetched{Records: page.Records, At: topic.Position{Era: 1, Offset: page.End}, Extent: topic.Whole, Trusted: true})
	n.bulkSends.Spend(10 << 20)
	p := &peerService{n: n}
	out, err := p.FetchRecords(t.Context(), &pb.FetchRecordsRequest{Topic: n.operators.Name(), From: page.End + 5})
	if err != nil {
		t.Fatal(err)
	}
	if sent, err := peer.Unpack(out); err != nil || len(sent) != len(page.Records) || out.Era != 1 {
		t.Errorf("sent %d of %d records of era %d: %v", len(sent), len(page.Records), out.Era, err)
	}
}
