package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/settings"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// nodeAmongOthers returns a node that knows four large and six small hosts, which report with a utilisation of the
// large ones, and the lines that it logs.
func nodeAmongOthers(t *testing.T, byLoad bool) (n *Node, report func(utilisation int32), log *bytes.Buffer) {
	set := settings.Defaults()
	set.Host.Id, set.Host.AvailabilityZone, set.Host.Cores = "self", "z1", 0.192
	set.Listen = &pb.ListenSettings{Caller: "127.0.0.1:1", Peer: "127.0.0.1:2"}
	set.Overload.DirectoryByLoad = byLoad
	logger, lines := obs.NewLogger(set.Log, io.Discard)
	t.Cleanup(func() { _ = lines.Close() })
	log = &bytes.Buffer{}
	logger = &logrus.Logger{Out: log, Formatter: &logrus.JSONFormatter{}, Level: logger.Level, Hooks: logrus.LevelHooks{}}
	n = New(set, nil, logger, lines)
	metrics, _, closer := obs.NewMetrics()
	t.Cleanup(func() { _ = closer.Close() })
	n.metrics = metrics
	sequence := uint64(0)
	return n, func(utilisation int32) {
		sequence++
		for i := range 10 {
			b := &pb.Heartbeat{
				Host: fmt.Sprint("h", i), Incarnation: 1, Sequence: sequence, AvailabilityZone: "z1", Ready: true, Routing: i < 4,
				CallerAddress: fmt.Sprint("127.0.1.1:", i+1), PeerAddress: fmt.Sprint("127.0.1.2:", i+1), Cores: 0.192, Utilisation: 20,
			}
			if i < 4 {
				b.Cores, b.Utilisation = 0.8, utilisation
			}
			n.members.ApplyHeartbeat(b, clock.Now())
		}
		// A view is used for 100 ms.
		time.Sleep(120 * time.Millisecond)
	}, log
}

// TestDirectoryByLoad guards against directories that do not consider the reports of other hosts, and against a
// change of answers or heartbeats where that is not enabled.
func TestDirectoryByLoad(t *testing.T) {
	for _, byLoad := range []bool{false, true} {
		n, report, log := nodeAmongOthers(t, byLoad)
		report(300)
		if names := n.answerDirectory("z1"); len(names) != 4 {
			t.Errorf("by load %v: of idle hosts %v are named, want the four large ones", byLoad, names)
		}
		report(1000)
		further := map[string]bool{}
		for range 100 {
			for _, name := range n.answerDirectory("z1") {
				further[name] = true
			}
		}
		if want := map[bool]int{false: 4, true: 10}[byLoad]; len(further) != want {
			t.Errorf("by load %v: of saturated hosts %d are named, want %d", byLoad, len(further), want)
		}
		const line = "directory names other hosts by load"
		if got := strings.Count(log.String(), line); got != map[bool]int{false: 0, true: 1}[byLoad] {
			t.Errorf("by load %v: %d log lines: %s", byLoad, got, log)
		}
		n.replicas.Register(platform.Registration{ID: "s", Service: "jobs", Address: "127.0.0.1:9", Started: 1}, 1)
		n.replicas.ApplyBrittle("h0", &pb.BrittleServer{Replica: "s", Started: 1, Brittle: true, MaxRejections: 5}, clock.Now())
		report(1000)
		if names := n.answerDirectory("z1"); len(names) != 4 {
			t.Errorf("by load %v: before a brittle server %v are named, want the four large ones", byLoad, names)
		}
		now := clock.Now()
		n.commonHeartbeat(now)
		if got := n.commonHeartbeat(now.Add(time.Second)).Utilisation; (got > 0) != byLoad {
			t.Errorf("by load %v: the utilisation in heartbeats is %d", byLoad, got)
		}
		for _, m := range n.members.MemberStates(true, now) {
			if (m.Utilisation > 0) != byLoad {
				t.Errorf("by load %v: a utilisation of %d is relayed", byLoad, m.Utilisation)
			}
		}
	}
}

// TestStandbyHostServesAndKnowsAllLoads guards against standby hosts that refuse the callers that directories send
// to them, and against ones that send requests to servers that other hosts keep busy.
func TestStandbyHostServesAndKnowsAllLoads(t *testing.T) {
	s := newSite(t)
	for _, e := range s.engines {
		e.Pace = 300 * time.Millisecond
	}
	s.configure(1)
	var hosts []*host
	for i := range 5 {
		hosts = append(hosts, s.hostWith(fmt.Sprint("h", i), s.address, func(set *pb.Settings) {
			set.Overload.DirectoryByLoad = true
			set.Host.Cores = 0.8
			if i == 4 {
				set.Host.Cores = 0.192
			}
		}, hosts...))
	}
	standby := hosts[4]
	eventually(t, "four routing hosts and one on standby, which knows its utilisation", func() bool {
		v := standby.node.members.View(clock.Now())
		return len(v.Routing) == 4 && len(v.Serving) == 4 && !v.SelfRouting && standby.ready() && standby.node.load.Utilisation() > 0
	})
	client := newTestClient(t)
	answers := make(chan error, 1)
	start := func(h *host, id string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+h.settings.Listen.Caller+"/reports/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "museum.example"
		request.Header.Set(wire.Key, "key-of-museum-a")
		request.Header.Set(wire.Attempt, id)
		request.Header.Set(wire.Model, "m")
		go func() {
			resp, err := client.Do(request)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				if n := strings.Count(string(body), "id: "); err == nil && (resp.StatusCode != 200 || n != 6) {
					err = fmt.Errorf("status %d, %d events", resp.StatusCode, n)
				}
			}
			answers <- err
		}()
	}
	for i, h := range []*host{hosts[0], hosts[1], hosts[1], standby} {
		start(h, fmt.Sprint("r-", i))
	}
	requests := func() int {
		sum := 0
		for _, r := range standby.node.replicas.Snapshot("writer", "m", 1000, clock.Now()) {
			sum += r.Requests
		}
		return sum
	}
	most := 0
	for range 4 {
		for waiting := true; waiting; {
			select {
			case err := <-answers:
				if err != nil {
					t.Error(err)
				}
				waiting = false
			case <-time.After(5 * time.Millisecond):
				most = max(most, requests())
			case <-time.After(waitLimit):
				t.Fatal("no answer")
			}
		}
	}
	if most != 4 {
		t.Errorf("the standby host counted up to %d requests of all hosts, want 4", most)
	}
}
