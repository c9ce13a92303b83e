package node

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/canary"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
)

// canarySite is a site that runs a canary release of service jobs to v2 under constant load.
type canarySite struct {
	*site
	hosts  []*host
	target []*engine.Engine
	wg     sync.WaitGroup
	end    chan struct{}

	mu       sync.Mutex
	sent     int
	failures int
}

func newCanarySite(t *testing.T, failing bool) *canarySite {
	m := &canarySite{site: newSite(t), end: make(chan struct{})}
	m.configure(1)
	for i := range 2 {
		m.target = append(m.target, m.backend(engine.Options{ID: fmt.Sprint("i-new-", i), Service: "jobs", Software: "v2", Failing: failing}))
	}
	// Before the order, the new version gets no requests.
	m.order(0, "v2", 6)
	a := m.host("a", m.address)

	m.hosts = []*host{a, m.host("b", m.address, a)}
	eventually(t, "readiness", func() bool { return m.hosts[0].ready() && m.hosts[1].ready() })
	for i := range 4 {
		m.wg.Go(func() { m.sendLoad(i) })
	}
	t.Cleanup(func() {
		close(m.end)
		m.wg.Wait()
	})
	return m
}

func (m *canarySite) order(_ int, target string, seconds int) {
	m.store.Put(platform.OperatorTopic, "rollout/jobs", fmt.Appendf(nil, `{"Service":"jobs","Target":%q,"DurationS":%d}`, target, seconds))
}

// sendLoad sends requests until the test ends.
func (m *canarySite) sendLoad(i int) {
	c := m.hosts[i%2].caller()
	for n := 0; ; n++ {
		select {
		case <-m.end:
			return
		case <-time.After(4 * time.Millisecond):
		}
		answer, err := c.Send(m.t.Context(), caller.Request{ID: fmt.Sprint("v-", i, "-", n), Method: "GET", Path: "/views/1", Deadline: 5 * time.Second})
		m.mu.Lock()
		m.sent++
		if err != nil || answer.Status != 200 {
			m.failures++
		}
		m.mu.Unlock()
	}
}

// state returns the stored state of the order.
func (m *canarySite) state() string {
	var status struct{ State, Target string }
	for _, h := range m.hosts {
		records, _, _ := h.node.releaseStatuses.RecordsFrom(topic.Position{})
		for _, r := range records {
			if err := json.Unmarshal(r.Value, &status); err != nil {
				m.t.Error(err)
			}
		}
	}
	return status.State
}

// arrivals returns the number of requests that reached the new version, and of all requests.
func (m *canarySite) arrivals() (target, all int) {
	for _, e := range m.target {
		target += e.Arrived()
	}
	return target, target + m.jobs.Arrived()
}

// TestCanaryReleaseCompletes checks that a release ends within the time of the order and that
// the old version gets no requests afterwards.
func TestCanaryReleaseCompletes(t *testing.T) {
	m := newCanarySite(t, false)
	eventually(t, "the running release", func() bool { return m.state() == "running" })
	began := time.Now()
	eventually(t, "the end of the release", func() bool { return m.state() == "done" })
	if took := time.Since(began); took > 6500*time.Millisecond {
		t.Errorf("release took %v", took)
	}
	before := m.jobs.Arrived()
	time.Sleep(300 * time.Millisecond)
	if n := m.jobs.Arrived() - before; n > 0 {
		t.Errorf("%d requests reached the old version after the release was done", n)
	}
	if m.failures > 0 {
		t.Errorf("%d of %d requests failed", m.failures, m.sent)
	}
}

// TestCanaryReleaseIsRolledBack checks that a bad version gets a small share of the requests,
// and none once it is found bad, also from a host that starts later.
func TestCanaryReleaseIsRolledBack(t *testing.T) {
	m := newCanarySite(t, true)
	eventually(t, "the end of the release", func() bool { return m.state() == "rolled_back" })
	target, all := m.arrivals()
	if maxTarget := all/10 + 50; target > maxTarget {
		t.Errorf("%d of %d requests reached the bad version", target, all)
	}
	c := m.site.host("c", m.address, m.hosts[0])
	eventually(t, "readiness", c.ready)
	eventually(t, "the status", func() bool { return len(c.node.canaries.Active()) == 0 })
	before, _ := m.arrivals()
	for i := range 50 {
		send(t, c.caller(), caller.Request{ID: fmt.Sprint("c-", i), Method: "GET", Path: "/views/1"})
	}
	if after, _ := m.arrivals(); after > before {
		t.Errorf("%d requests reached the bad version after it was rolled back", after-before)
	}
}

// TestInvalidReleaseOrdersAreIgnored checks that invalid orders do not start a canary release.
func TestInvalidReleaseOrdersAreIgnored(t *testing.T) {
	n := newIdleNode(t, "host")
	for offset, value := range []string{
		`{`, `{"Service":"jobs","Target":"v2","DurationS":-1}`, `{"Service":"jobs","Target":"v2"}`, `{"Service":"jobs","Target":7,"DurationS":5}`,
		`{"Service":"other","Target":"v2","DurationS":5}`, `{"Service":"jobs","Target":"","DurationS":5}`, `{"Service":"jobs","Target":"v2","DurationS":1e12}`,
	} {
		n.applyReleaseOrder(platform.Record{Key: "rollout/jobs", Offset: int64(offset), Value: []byte(value)})
		if active := n.canaries.Active(); len(active) > 0 {
			t.Errorf("order %s started a release", value)
		}
	}
}

// TestStandbyHostsReceiveAnswersOfACanaryRelease guards against a standby host that moves all requests to a bad version:
// all routing hosts found it worse and were killed before one could write so, and the host that decided next had no
// answers.
func TestStandbyHostsReceiveAnswersOfACanaryRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service, old, target = "jobs", "v1", "v2"
		standby := newIdleNodeOf(t, "standby", 1)
		var routing []*Node
		for i := range 4 {
			routing = append(routing, newIdleNodeOf(t, fmt.Sprint("large-", i), 4))
		}
		for _, n := range append(routing[:4:4], standby) {
			n.canaries.ApplyOrder(canary.ReleaseOrder{Service: service, Target: target, Duration: 20 * time.Second, Offset: 1}, time.Now())
		}
		for range 40 {
			routing[0].canaries.RecordAnswer(service, old, canary.Answer{Route: "updates", Server: "i-1"})
			routing[0].canaries.RecordAnswer(service, target, canary.Answer{Route: "updates", Server: "i-2", Failed: true})
		}
		// The routing hosts have received the newest counts already.
		routing[0].addRoutingState(routing[0].commonHeartbeat(time.Now()), true, time.Now())
		for range 2 {
			for _, from := range routing {
				b := from.standbyHeartbeat(from.commonHeartbeat(time.Now()), time.Now())
				b.Sequence = from.nextSequence()
				standby.receiveHeartbeat(b)
			}
			time.Sleep(time.Second)
		}
		standby.canaries.Evaluate(service, 1, time.Now())
		load := canary.ServiceLoad{TargetServers: 1, OldServers: 1, TargetSlots: 8, Hosts: 4}
		if d, _ := standby.canaries.Decide(service, 1, load, []string{old, target}, time.Now()); d.State != canary.StateRolledBack {
			t.Errorf("decision %+v, want a rollback", d)
		}
	})
}
