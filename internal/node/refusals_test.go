package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/platform"
)

var wholeFleets = flag.Bool("whole-fleets", false, "simulate restarts of fleets of up to 1,000 hosts, which takes some minutes")

const (
	// fleetStep is the time step of the simulation.
	fleetStep = 10 * time.Millisecond
	// startTime is how long a host takes to start, and addressReadTime when it has read the
	// other hosts' addresses.
	startTime       = 300 * time.Millisecond
	addressReadTime = 1500 * time.Millisecond
	// largeCores and smallCores are the cores of the two sizes of hosts.
	largeCores, smallCores = 0.8, 0.192
	fleetZones             = 4
	// answerTTL is how long callers use a directory's answer.
	answerTTL = time.Second
	// belowLimitShare is the organisations' demand as a share of their limits.
	belowLimitShare = 0.55
	// settleTime is the time after the last restart from which nothing may be rejected. A fleet
	// that lost power has discovered its hosts by then.
	settleTime = 5 * time.Second
	// maxRefusedShare is the maximum share of the entitled tokens that may be rejected after
	// settleTime.
	maxRefusedShare = 0.001
)

// limitHost is a host of a simulated fleet.
type limitHost struct {
	n             *Node
	large         bool
	nextHeartbeat time.Time
	tick          int
	// readyAt is when the host accepts requests, and addressesRead whether it has read the other
	// hosts' addresses.
	readyAt       time.Time
	addressesRead bool
}

// limitOrganisation is an organisation that stays below its limit.
type limitOrganisation struct {
	name  string
	limit config.RateLimit
	// idealLevel is the level of a bucket that receives all usage without delay.
	idealLevel float64
	callers    [16]limitCaller
}

// limitCaller is a caller. It keeps its host while the directory lists it.
type limitCaller struct {
	host *limitHost
	// resolved is when it last queried a directory.
	resolved time.Time
}

// limitFleet is a fleet whose heartbeats are function calls, one in a hundred of which is lost.
type limitFleet struct {
	t             *testing.T
	rng           *rand.Rand
	hosts         []*limitHost
	byAddress     map[string]*limitHost
	addresses     []platform.Record
	organisations []*limitOrganisation
	// entitled and refused count tokens since the start of the current run.
	entitled, refused float64
}

func newLimitFleet(t *testing.T, large, small int) *limitFleet {
	f := &limitFleet{t: t, rng: rand.New(rand.NewPCG(1, uint64(large+small))), byAddress: map[string]*limitHost{}}
	for i := range 8 {
		rate := 400_000 / float64(i+1)
		f.organisations = append(f.organisations, &limitOrganisation{
			name: fmt.Sprint("organisation-", i), limit: config.RateLimit{Unit: config.Tokens, PerSecond: rate, Burst: rate},
		})
	}
	for i := range large + small {
		h := &limitHost{large: i < large}
		f.hosts = append(f.hosts, h)
		id := fmt.Sprint("host-", i)
		f.byAddress[id+":5"], f.byAddress[id+":1"] = h, h
		f.addresses = append(f.addresses, platform.Record{Key: id, Offset: int64(i), Value: platform.HostRecord{PeerAddress: id + ":5"}.Encode()})
	}
	for i := range f.hosts {
		f.start(i, 0)
	}
	return f
}

// start restarts a host after a downtime. It knows the first three hosts.
func (f *limitFleet) start(i int, down time.Duration) {
	n := newIdleNode(f.t, fmt.Sprint("host-", i))
	h := f.hosts[i]
	n.settings.Host.AvailabilityZone = fmt.Sprint("zone-", i%fleetZones)
	n.settings.Host.Cores = smallCores
	if h.large {
		n.settings.Host.Cores = largeCores
	}
	n.members = member.NewTable(n.self(), n.settings.Member.DeadAfter.AsDuration())
	n.started = time.Now().Add(down)
	n.limiter = quota.NewLimiter(quota.Terms{Window: 8 * time.Second, Over: 0.1, Slack: 190_000}, n.settings.Member.HeartbeatInterval.AsDuration(), n.started)
	var organisations []*config.Organisation
	for _, o := range f.organisations {
		organisations = append(organisations, &config.Organisation{Name: o.name, RateLimit: &o.limit})
	}
	n.limiter.SetLimits(organisations, n.started)
	for seed := range min(3, len(f.hosts)) {
		n.members.AddPeer(fmt.Sprint("host-", seed, ":5"), n.started)
	}
	h.n, h.addressesRead, h.tick = n, false, f.rng.IntN(100)
	h.readyAt = n.started.Add(startTime)
	h.nextHeartbeat = n.started.Add(time.Duration(f.rng.Int64N(int64(n.settings.Member.HeartbeatInterval.AsDuration()))))
}

// restart restarts the selected hosts, with half a second of downtime each.
func (f *limitFleet) restart(which func(*limitFleet, *limitHost) bool) {
	for i, h := range f.hosts {
		if which(f, h) {
			f.start(i, 500*time.Millisecond)
		}
	}
}

// run simulates a period and returns the share of the entitled tokens that was rejected.
func (f *limitFleet) run(d time.Duration, demandShare float64) float64 {
	f.entitled, f.refused = 0, 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(fleetStep) {
		now := clock.Now()
		for _, h := range f.hosts {
			f.heartbeat(h, now)
		}
		for _, o := range f.organisations {
			f.requests(o, demandShare, now)
		}
	}
	return f.refused / max(1, f.entitled)
}

// heartbeat runs a host's heartbeat loop once if a heartbeat is due.
func (f *limitFleet) heartbeat(h *limitHost, now time.Time) {
	n := h.n
	if now.Before(n.started) || now.Before(h.nextHeartbeat) {
		return
	}
	h.nextHeartbeat = now.Add(n.settings.Member.HeartbeatInterval.AsDuration())
	if !n.machine.Is(StateReady) && !now.Before(h.readyAt) {
		statemachine.Fire(n.machine, eventSynced)
		n.setState()
	}
	if !h.addressesRead && now.Sub(n.started) >= addressReadTime && !n.members.HasActiveRelay(now) {
		h.addressesRead = true
		n.hosts.Snapshot(platform.Page{Records: f.addresses, End: int64(len(f.addresses))}, true)
	}
	n.expireHosts(now)
	n.updateLimitShares(now)
	f.sendHeartbeat(n, n.members.IntervalAudience(h.tick, n.limiter.HasUnreported(), now), true, now)
	h.tick++
}

// sendHeartbeat is Node.sendHeartbeat without a socket.
func (f *limitFleet) sendHeartbeat(n *Node, to member.Audience, atInterval bool, now time.Time) {
	state := n.commonHeartbeat(now)
	if len(to.Routing) > 0 {
		full := proto.CloneOf(state)
		if atInterval {
			full.Members = n.members.MemberStates(false, now)
		}
		n.addRoutingState(full, atInterval, now)
		f.send(n, full, to.Routing)
	}
	if len(to.Standby) > 0 {
		f.send(n, n.standbyHeartbeat(state, now), to.Standby)
	}
	if len(to.Ask) > 0 {
		state.Asks = true
		f.send(n, state, to.Ask)
	}
}

func (f *limitFleet) send(n *Node, b *pb.Heartbeat, to []string) {
	for _, part := range member.Split(b, n.nextSequence) {
		for _, address := range to {
			if h := f.byAddress[address]; h != nil && !time.Now().Before(h.n.started) && f.rng.IntN(100) > 0 {
				h.n.receiveHeartbeat(proto.CloneOf(part))
			}
		}
	}
}

// requests sends an organisation's requests of one step.
func (f *limitFleet) requests(o *limitOrganisation, demandShare float64, now time.Time) {
	// Requests are small, so that even many at once stay far below the smallest burst.
	const short, long, longShare = 390, 8_000, 0.05
	o.idealLevel = max(0, o.idealLevel-o.limit.PerSecond*fleetStep.Seconds())
	expected := demandShare * o.limit.PerSecond * fleetStep.Seconds() / (long*longShare + short*(1-longShare))
	for drawn := f.rng.ExpFloat64(); drawn < expected; drawn += f.rng.ExpFloat64() {
		cost := short
		if f.rng.Float64() < longShare {
			cost = long
		}
		if h := f.host(o, now); h != nil {
			f.request(o, h, cost, now)
		}
	}
}

// host returns the host of one of an organisation's callers. Once the caller's answer has
// expired, it queries the directory of any host and switches if that no longer lists its host.
func (f *limitFleet) host(o *limitOrganisation, now time.Time) *limitHost {
	c := &o.callers[f.rng.IntN(len(o.callers))]
	if c.host != nil && !now.Before(c.host.readyAt) && now.Sub(c.resolved) < answerTTL {
		return c.host
	}
	resolver := f.hosts[f.rng.IntN(len(f.hosts))]
	if now.Before(resolver.readyAt) {
		return nil
	}
	addresses := resolver.n.directory(fmt.Sprint("zone-", f.rng.IntN(fleetZones)))
	if len(addresses) == 0 {
		return nil
	}
	if c.resolved = now; c.host == nil || now.Before(c.host.readyAt) || !slices.Contains(addresses, c.host.n.settings.Listen.Caller) {
		c.host = f.byAddress[addresses[0]]
	}
	if now.Before(c.host.readyAt) {
		c.host = nil
	}
	return c.host
}

func (f *limitFleet) request(o *limitOrganisation, h *limitHost, cost int, now time.Time) {
	entitled := o.idealLevel < o.limit.Burst
	if entitled {
		o.idealLevel += float64(cost)
		f.entitled += float64(cost)
	}
	admitted := h.n.limiter.Admit(o.name, quota.Size{PromptTokens: cost, HasTokenCount: true}, now).Admitted
	switch {
	case !admitted && entitled:
		f.refused += float64(cost)
	case admitted && h.n.limiter.ShouldReportNow(o.name):
		f.sendHeartbeat(h.n, h.n.members.ImmediateAudience(false, now), false, now)
	}
}

// TestNothingIsRefusedBelowLimitsAfterRestarts guards against lasting rejections after restarts.
// Restarted hosts divided limits by hosts that no longer existed, or used levels that had grown
// without limit, and from then on rejected four in five requests of organisations far below
// their limits. Rejections must end after any restarts of a fleet of any size. The test prints
// what is rejected until then.
func TestNothingIsRefusedBelowLimitsAfterRestarts(t *testing.T) {
	fleets := []struct{ large, small int }{{3, 0}, {9, 0}, {4, 16}}
	if *wholeFleets {
		fleets = append(fleets, []struct{ large, small int }{{8, 61}, {24, 276}, {60, 925}}...)
	}
	var table strings.Builder
	table.WriteString("| large, small hosts | restart | refused until 5 s after | later |\n|---|---|---|---|\n")
	var violations []string
	for _, size := range fleets {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitFleet(t, size.large, size.small)
			f.run(12*time.Second, 0)
			for _, r := range restarts {
				r.play(f)
				until := f.run(settleTime, belowLimitShare)
				later := f.run(settleTime, belowLimitShare)
				fmt.Fprintf(&table, "| %d, %d | %s | %.2f %% | %.2f %% |\n", size.large, size.small, r.name, 100*until, 100*later)
				if later > maxRefusedShare {
					violations = append(violations, fmt.Sprintf("%d large and %d small hosts, restart of %s: %.2f %% refused below limits from %v on", size.large, size.small, r.name, 100*later, settleTime))
				}
			}
		})
	}
	t.Log("\n" + table.String())
	for _, line := range violations {
		t.Error(line)
	}
}

// restarts are the restarts that each fleet goes through, in this order.
var restarts = []struct {
	name string
	play func(f *limitFleet)
}{
	{"none", func(*limitFleet) {}},
	{"all", func(f *limitFleet) { f.restart(everyHost) }},
	{"a fifth", func(f *limitFleet) { f.restart(oneInFive) }},
	{"the large ones", func(f *limitFleet) { f.restart(largeHosts) }},
	{"all, and nine in ten soon after", func(f *limitFleet) {
		f.restart(everyHost)
		f.run(time.Second, belowLimitShare)
		f.restart(func(f *limitFleet, _ *limitHost) bool { return f.rng.IntN(10) > 0 })
	}},
	{"a fifth, six times a second apart", func(f *limitFleet) {
		for range 6 {
			f.restart(oneInFive)
			f.run(time.Second, belowLimitShare)
		}
	}},
	{"each in turn", func(f *limitFleet) {
		for _, h := range f.hosts {
			f.restart(func(_ *limitFleet, other *limitHost) bool { return other == h })
			f.run(rollingRestartTime/time.Duration(len(f.hosts)), belowLimitShare)
		}
	}},
}

// rollingRestartTime is the duration of a rolling restart of a whole fleet.
const rollingRestartTime = 8 * time.Second

func everyHost(*limitFleet, *limitHost) bool         { return true }
func oneInFive(f *limitFleet, _ *limitHost) bool     { return f.rng.IntN(5) == 0 }
func largeHosts(_ *limitFleet, host *limitHost) bool { return host.large }
