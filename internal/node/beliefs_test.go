package node

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/settings"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

// TestKeysTakenAwayShowInTheLog: operators took keys away, and one request in nine was
// denied. The lines of the configurations said how many organisations and routes there
// were, which had not changed, so that no line told a configuration without keys from
// callers with wrong ones.
func TestKeysTakenAwayShowInTheLog(t *testing.T) {
	n := idle(t, "host")
	var keys []any
	n.log.AddHook(&onEach{"configuration in force", func(e *logrus.Entry) { keys = append(keys, e.Data["keys"]) }})
	for offset, value := range []string{
		`{"Version":1,"Tenants":[{"Name":"a","ApiKeys":["k1","k2"]},{"Name":"b","ApiKeys":["k3"]}]}`,
		`{"Version":2,"Tenants":[{"Name":"a","ApiKeys":[]},{"Name":"b","ApiKeys":["k3"]}]}`,
	} {
		n.operatorRecord(platform.Record{Key: "config", Offset: int64(offset), Value: []byte(value)}, topic.Origin{})
	}
	if want := []any{3, 1}; !slices.Equal(keys, want) {
		t.Errorf("keys in the lines: %v, want %v", keys, want)
	}
}

// idle returns a host that runs no loops; tests hand it what it would hear.
func idle(t *testing.T, id string) *Node {
	t.Helper()
	set := settings.Defaults()
	set.Host.Id, set.Host.AvailabilityZone = id, "z1"
	set.Listen = &pb.ListenSettings{Caller: id + ":1", Ready: id + ":2", Directory: id + ":3", Operator: id + ":4", Peer: id + ":5"}
	set.Platform.Address = "store:1"
	log, lines := obs.NewLogger(set.Log, io.Discard)
	t.Cleanup(func() { _ = lines.Close() })
	n := New(set, nil, log, lines)
	// No configuration names the service here.
	n.replicas.Known = func(string) bool { return true }
	return n
}

// holding registers a replica with a weights version.
func (n *Node) holding(id string, version int64) {
	n.replicas.Register(platform.Registration{ID: id, Service: "writer", Address: id + ":1", Slots: 8, Weights: map[string]int64{"m": version}}, 0)
}

// behind returns for how long a replica is thought to be on older weights.
func (n *Node) behind(id string) time.Duration {
	for _, r := range n.replicas.Snapshot("writer", "m", 0, time.Now()) {
		if r.ID == id {
			return r.Behind
		}
	}
	return -1
}

// naming is the page of operators' records in which a weights version is named.
func naming() platform.Page {
	return platform.Page{Records: []platform.Record{{Key: "version/m", Value: []byte(`{"Model":"m","Version":2}`)}}, End: 1}
}

// work is a heartbeat with all that routing hosts tell each other.
func (n *Node) work() *pb.Heartbeat {
	now := time.Now()
	b := n.state(now)
	n.addWork(b, true, now)
	b.Sequence = n.nextSequence()
	return b
}

// TestStartingHostIsToldWhenWeightsWereNamed: a host that started beside others sent
// requests to replicas on older weights up to the whole deadline after its start,
// though the newer ones had been named long before: their time counted from the
// host's first read of the store, which does not tell when a record was written. A
// live host has seen it come and tells in its heartbeats.
func TestStartingHostIsToldWhenWeightsWereNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		live, starting := idle(t, "live"), idle(t, "starting")
		for _, n := range []*Node{live, starting} {
			n.holding("a", 1)
		}
		live.operators.Snapshot(platform.Page{}, true)
		live.operators.Merge(naming().Records, naming().End, true)
		const since = 6 * time.Second
		time.Sleep(since)
		starting.operators.Snapshot(naming(), true)
		starting.heard(live.work())
		if got := starting.behind("a"); got != since {
			t.Errorf("behind for %v at the host that starts, want %v", got, since)
		}
		time.Sleep(time.Second)
		// The starting host's word makes nothing younger, and outlives the other host.
		live.heard(starting.work())
		next := idle(t, "next")
		next.holding("a", 1)
		next.operators.Snapshot(naming(), true)
		next.heard(starting.work())
		for id, n := range map[string]*Node{"live": live, "next": next} {
			if got := n.behind("a"); got != since+time.Second {
				t.Errorf("behind for %v at %s, want %v", got, id, since+time.Second)
			}
		}
	})
}

// TestWordOfAReadAges: with 20 ms on the way, eight hosts thought 5 s after the last
// read of the store that it was 1 s old. None steps in in time for a reader that is
// lost, and strange keys are denied at an old view. Each told the others'
// word as its own; a word's time on the way is not known, and what came back was younger
// than what had been told, round by round. Routing hosts tell each other of their own
// reads alone.
func TestWordOfAReadAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			interval = 200 * time.Millisecond
			onTheWay = 20 * time.Millisecond
			rounds   = 25
		)
		var hosts []*Node
		for i := range 8 {
			n := idle(t, fmt.Sprint("host-", i))
			n.operators.Snapshot(platform.Page{}, true)
			n.servers.Snapshot(platform.Page{}, true)
			hosts = append(hosts, n)
		}
		began := time.Now()
		hosts[0].operators.Read(began)
		hosts[0].servers.Read(began)
		for range rounds {
			for _, from := range hosts {
				b := from.work()
				time.Sleep(onTheWay)
				for _, to := range hosts {
					to.heard(b)
				}
				time.Sleep(interval/time.Duration(len(hosts)) - onTheWay)
			}
		}
		now := time.Now()
		for _, n := range hosts {
			for name, age := range map[string]time.Duration{"operators": n.operatorsAge(now), "entries": n.entriesAge(now)} {
				if least := now.Sub(began) - onTheWay - time.Millisecond; age < least || age > now.Sub(began) {
					t.Errorf("%s: read of %s thought %v old, want %v or more", n.settings.Host.Id, name, age, least)
				}
			}
		}
	})
}

// TestStandbyHostsAreToldOfAllReads by a routing host, and tell nobody of others'.
func TestStandbyHostsAreToldOfAllReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, host := idle(t, "reader"), idle(t, "host")
		for _, n := range []*Node{reader, host} {
			n.operators.Snapshot(platform.Page{}, true)
			n.servers.Snapshot(platform.Page{}, true)
		}
		reader.operators.Read(time.Now())
		reader.servers.Read(time.Now())
		host.heard(reader.work())
		const later = 300 * time.Millisecond
		time.Sleep(later)
		now := time.Now()
		for routing, want := range map[bool]int64{true: later.Milliseconds(), false: -1} {
			state := host.state(now)
			state.Routing = routing
			if b := host.brief(state, now); b.OperatorsAgeMs != want || b.EntriesAgeMs != want {
				t.Errorf("routing: %v, tells of reads %d and %d ms ago, want %d", routing, b.OperatorsAgeMs, b.EntriesAgeMs, want)
			}
			if state.OperatorsAgeMs != -1 || state.EntriesAgeMs != -1 {
				t.Errorf("tells all hosts of reads %d and %d ms ago, which were not its own", state.OperatorsAgeMs, state.EntriesAgeMs)
			}
		}
	})
}

// TestWeightsOfUnknownAge: after a whole fleet lost power, its hosts sent requests to
// the replicas that had missed a rollout, up to the whole deadline after their start:
// nobody knew how long ago the version had been named, and it was taken for new. A
// version that some replica holds has been named for a while, so that older ones are
// not used. One that nobody holds was most probably named a moment ago: it must not end
// all service until the first replica has loaded it.
func TestWeightsOfUnknownAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadline := route.DefaultPolicy().WeightsDeadline
		n := idle(t, "a")
		n.holding("missed", 1)
		n.operators.Snapshot(naming(), true)
		time.Sleep(time.Second)
		if got := n.behind("missed"); got != time.Second {
			t.Errorf("behind for %v while nobody holds the version, want 1s", got)
		}
		n.holding("loaded", 2)
		if got := n.behind("missed"); got < deadline {
			t.Errorf("behind for %v once another replica holds the version, want %v or more", got, deadline)
		}
		if got := n.behind("loaded"); got != 0 {
			t.Errorf("the newest weights are behind for %v", got)
		}
	})
}
