// Package node wires one entry host together and runs it.
//
// Lock order: every table (topic.Table, member.Table, replica.Table,
// prefix.Index, retry.Budget, quota.Limiter, quarantine.Table, rollout.Lease, rollout.Loader,
// canary.Table) is locked alone; no
// lock is held over a call to another table or process, but for Node.stating, which
// comes before member.Table. A topic.Table tells of one record at a time, without its
// lock.
package node

import (
	"context"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/addr"
	"github.com/briarlink/briarlink/internal/bandwidth"
	"github.com/briarlink/briarlink/internal/canary"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/entry"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/peer"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/retry"
	"github.com/briarlink/briarlink/internal/rollout"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// States of a host.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	// StateLeaving hosts are named to no caller, and serve those that come.
	StateLeaving = "leaving"
	// StateClosing hosts refuse new requests and finish those they have.
	StateClosing = "closing"
)

const (
	eventKnow  = "configuration and replicas known"
	eventTerm  = "stop asked for"
	eventClose = "callers had time to go elsewhere"
)

func newMachine() *fsm.FSM {
	return fsm.NewFSM(StateStarting, fsm.Events{
		{Name: eventKnow, Src: []string{StateStarting}, Dst: StateReady},
		{Name: eventTerm, Src: []string{StateStarting, StateReady}, Dst: StateLeaving},
		{Name: eventClose, Src: []string{StateLeaving}, Dst: StateClosing},
	}, fsm.Callbacks{})
}

// Diagram returns the host's state machine as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }

// memoryShare of the process's memory is where the garbage collector works
// harder; the rest is for sockets and for what the runtime does not count.
const memoryShare = 0.6

// Node is one entry host.
type Node struct {
	settings *pb.Settings
	// off holds the mechanisms that are switched off.
	off         mechanism.Off
	log         *logrus.Logger
	lines       *obs.Writer
	incarnation uint64
	machine     *fsm.FSM

	store   *platform.Store
	engines *platform.Engines
	// bulk is what this host may read in bulk, and bulkSent what it may send.
	bulk      *bandwidth.Budget
	bulkSent  *bandwidth.Budget
	access    *topic.Access
	operators *topic.Table
	servers   *topic.Table
	hosts     *topic.Table
	config    atomic.Pointer[config.Config]

	members   *member.Table
	gossip    *member.Gossip
	peers     *peer.Client
	replicas  *replica.Table
	index     *prefix.Index
	scheduler *schedule.Scheduler
	pool      *upstream.Pool
	budget    *retry.Budget
	limiter   *quota.Limiter
	crashes   *quarantine.Table
	lease     *rollout.Lease
	// moves are the moves of services to other versions of their software, moveLease the
	// right to decide about them, and statuses what the store keeps of them. movesOrdered is
	// closed by the first order.
	moves        *canary.Table
	moveLease    *rollout.Lease
	statuses     *topic.Table
	movesOrdered chan struct{}
	firstMove    sync.Once
	loader       *rollout.Loader
	metrics      *obs.Metrics
	entry        *entry.Server

	// stating is held while the table of hosts is told of this host's state, and over
	// no other call.
	stating  sync.Mutex
	sequence atomic.Uint64
	sharers  sharers
	// limitSharers are those that share rate limits; the heartbeats' alone.
	limitSharers sharers
	// moveSharers are those that share what a new version may get; the loop's of moves alone.
	moveSharers sharers
	// limitLive is the same of all hosts, and routed who they were.
	limitLive sharers
	routed    routed
	// loggedShare is the last logged share of rate limits, and shareLines rate-limits these
	// log lines. Both are used only by the heartbeat loop.
	loggedShare float64
	shareLines  obs.Limiter
	// started is when the process began; holdFor is how long it waits for other hosts'
	// word before it asks the store.
	started time.Time
	holdFor time.Duration
	// suspended is the time of the machine's suspensions that the log tells; the sweep's
	// alone.
	suspended time.Duration
	// malformed bounds the lines about records that are not what they should be,
	// changes those about other hosts.
	malformed, changes obs.Limiter
	// fetches are those of each topic from other hosts.
	fetches map[string]*fetches
	// kick asks for a heartbeat at once.
	kick chan struct{}
	// toAll is set while the next heartbeat is for every host.
	toAll atomic.Bool
	// told is what the others know of this host's work; the heartbeats' alone.
	told replica.Told
	// serving bounds the peers that fetch from this host at once, and packed keeps what they
	// are sent.
	serving *semaphore.Weighted
	packed  packed
	// recordsOffered is when a host last offered a topic that this one does not know whole.
	recordsOffered topic.Freshness
	// waitsForOperators is whether this host reads operators' records itself.
	waitsForOperators atomic.Bool
	// followed is the number of holders of KV cache whose events this host reads.
	followed atomic.Int64
	// operatorsFresh and entriesFresh are since when the topics are known whole by
	// other hosts' word.
	operatorsFresh, entriesFresh topic.Freshness
}

// New returns a host that is not running yet. lines is the log's writer; the
// mechanisms in off are switched off.
func New(s *pb.Settings, off mechanism.Off, log *logrus.Logger, lines *obs.Writer) *Node {
	n := &Node{
		settings:    s,
		off:         off,
		log:         log,
		lines:       lines,
		incarnation: rand.Uint64(),
		machine:     newMachine(),
		store:       platform.NewStore(s.Platform.Address, s.Platform.CallTimeout.AsDuration()),
		engines:     platform.NewEngines(),
		bulk:        bandwidth.NewBudget(s.Host.LinkMbps),
		bulkSent:    bandwidth.NewBudget(s.Host.LinkMbps),
		access:      topic.NewAccess(s.Replica.OutageGrace.AsDuration(), log),
		peers:       peer.NewClient(),
		index:       prefix.NewIndex(),
		pool:        upstream.NewPool(),
		kick:        make(chan struct{}, 1),
		serving:     semaphore.NewWeighted(maxServed),
		packed:      packed{last: map[span][]byte{}},
		started:     clock.Now(),
		routed:      routed{},
		holdFor:     firstHold(s.Member),
	}
	n.members = member.NewTable(n.self(), s.Member.DeadAfter.AsDuration())
	if off[mechanism.PrimaryHosts] {
		n.members.ChooseAll()
	}
	n.operators = topic.NewTable(platform.OperatorTopic, n.operatorRecord)
	n.servers = topic.NewTable(platform.ReplicaTopic, n.replicaRecord)
	n.hosts = topic.NewTable(platform.HostTopic, n.hostRecord)
	n.statuses = topic.NewTable(platform.StatusTopic, n.statusRecord)
	n.movesOrdered = make(chan struct{})
	n.moves = canary.NewTable(canary.Terms{Share: s.Move.Share, Slack: s.Move.Slack, RollBack: s.Move.RollBack.AsDuration()}, log)
	n.fetches = map[string]*fetches{}
	for _, t := range n.shared() {
		n.fetches[t.Name()] = &fetches{refused: map[string]time.Time{}}
	}
	n.replicas = replica.NewTable(log, func(id, address string) {
		n.index.Clear(id)
		n.pool.Forget(address)
		n.loader.Forget(id)
	})
	n.crashes = quarantine.NewTable(log)
	n.replicas.Crashed = n.replicaCrashed
	n.engines.Answered = n.replicas.ToldAt
	n.replicas.Off = off
	n.replicas.Known = func(service string) bool {
		c := n.config.Load()
		return c != nil && c.Services[service] != nil
	}
	policy := route.DefaultPolicy().Without(off)
	policy.WeightsDeadline = s.Weights.Deadline.AsDuration()
	n.scheduler = schedule.New(n.replicas, n.index, policy, s.Host.AvailabilityZone, s.Request.ShareCache)
	n.scheduler.Tell = n.beatSoon
	n.scheduler.Off = off
	n.scheduler.Moves = n.moves
	n.budget = retry.NewBudget(s.Retry.Ratio, s.Retry.Window.AsDuration(), 0, 1, n.started)
	n.limiter = quota.NewLimiter(quota.Terms{
		Window: s.Quota.Window.AsDuration(), Over: s.Quota.Over, Slack: s.Quota.Slack,
	}, s.Member.HeartbeatInterval.AsDuration(), n.started)
	n.limiter.EqualShares = off[mechanism.SharedCounts]
	n.lease = rollout.NewLease(n.store, log, s.Host.Id, n.incarnation, s.Weights.Lease.AsDuration())
	n.lease.Follows = n.followsLease
	n.moveLease = rollout.NewLease(n.store, log, s.Host.Id, n.incarnation, s.Weights.Lease.AsDuration())
	n.moveLease.Topic, n.moveLease.Purpose, n.moveLease.Follows = platform.MoveLeaseTopic, "moves", n.followsMoveLease
	n.loader = rollout.NewLoader(n.lease, n.engines, n.replicas, log, s.Host.Id, platform.LoadMode(s.Weights.Mode), int(s.Weights.Concurrency))
	n.loader.Rank = n.rank
	n.loader.Changed = n.beatSoon
	n.loader.Loaded = n.index.Clear
	n.loader.Ordered = func() { n.metrics.Orders.Inc(1) }
	return n
}

// slackShare of the budget's slack is spent: other hosts may count a window that
// begins a little earlier or later.
const slackShare = 0.7

// Run serves on the listeners until ctx ends, then stops gracefully and has closed
// them.
func (n *Node) Run(ctx context.Context, l *Listeners) {
	if mb := n.settings.Host.MemoryMb; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryShare))
	}
	metrics, metricsHandler, closer := obs.NewMetrics()
	defer closer.Close()
	n.metrics = metrics
	n.buildEntry()
	n.gossip = member.NewGossip(l.heartbeats, n.log)
	n.gossip.Sent = n.countSent
	// Background work outlives ctx: a graceful stop still needs it.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer n.closeClients()
	defer cancel()
	servers := n.serve(work, &wg, l, metricsHandler)
	for _, loop := range n.loops() {
		wg.Go(func() { loop(work) })
	}
	n.log.WithFields(logrus.Fields{
		"host": n.settings.Host.Id, "zone": n.settings.Host.AvailabilityZone, "caller": n.settings.Listen.Caller,
		"incarnation": n.incarnation, "pid": os.Getpid(), "without": len(n.off),
	}).Info("started")
	<-ctx.Done()
	n.stop(servers)
}

func (n *Node) closeClients() {
	if err := n.gossip.Close(); err != nil {
		n.log.WithError(err).Debug("heartbeat socket")
	}
	n.peers.Close()
	n.store.Close()
	n.engines.Close()
	n.pool.Close()
}

func (n *Node) buildEntry() {
	s := n.settings
	dispatcher := dispatch.New(n.scheduler, n.replicas, n.pool, n.budget, n.crashes)
	dispatcher.Off = n.off
	n.entry = entry.New(entry.Deps{
		View:            n.view,
		Refuse:          n.refuse,
		Ready:           n.ready,
		Closing:         n.leaving,
		Directory:       n.directory,
		AnswerTTL:       s.Request.AnswerTtl.AsDuration(),
		Dispatcher:      dispatcher,
		Limiter:         n.limiter,
		Tell:            n.beatSoon,
		Metrics:         n.metrics,
		Log:             n.log,
		MaxBodyBytes:    s.Request.MaxBodyBytes,
		DefaultDeadline: s.Request.DefaultDeadline.AsDuration(),
	})
}

// refuse returns an error while the host takes no new requests.
func (n *Node) refuse() error {
	switch {
	case n.machine.Is(StateClosing):
		return errkind.New(errkind.Stopping, "this host is stopping")
	case n.config.Load() == nil || !n.servers.Synced():
		return errkind.New(errkind.NotReady, "this host has no configuration yet")
	default:
		return nil
	}
}

// directory returns the hosts that callers in an availability zone should use.
func (n *Node) directory(zone string) []string {
	var out []string
	for _, h := range hostsFor(zone, n.members.View(clock.Now()).Serving) {
		out = append(out, h.CallerAddress)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxDirectory)]
}

const (
	// largeHost is the share of the largest host's processor time from which a host is
	// large, and enoughLarge the share of all that the large ones must give together to
	// carry what all are there for.
	largeHost   = 0.5
	enoughLarge = 0.5
	// leastNear is the least number of hosts of a zone: one may be lost.
	leastNear = 2
)

// hostsFor returns those of the serving hosts that callers in an availability zone should use:
// those of the zone, so that little crosses zones, or all where the zone has too few. Callers
// pick any of them, a small host as often as a large one: small hosts, which route where a
// zone has lost its large ones, are named only where the large ones are too few for all.
func hostsFor(zone string, serving []*pb.Heartbeat) []*pb.Heartbeat {
	most, all := 0.0, 0.0
	for _, h := range serving {
		most = max(most, h.Cores)
		all += h.Cores
	}
	var large, near []*pb.Heartbeat
	given := 0.0
	for _, h := range serving {
		if h.Cores >= largeHost*most {
			large = append(large, h)
			given += h.Cores
		}
	}
	if given < enoughLarge*all {
		large = serving
	}
	for _, h := range large {
		if h.AvailabilityZone == zone {
			near = append(near, h)
		}
	}
	if len(near) >= leastNear {
		return near
	}
	return large
}

// maxDirectory is the largest number of addresses that callers take.
const maxDirectory = 64

// stop leaves without cutting a request. Other hosts stop naming this one at
// once; callers that hold an older answer are still served until closeAfter of
// the grace time; then open requests finish.
func (n *Node) stop(servers []*server) {
	began := clock.Now()
	grace := n.settings.Stop.Grace.AsDuration()
	statemachine.Fire(n.machine, eventTerm)
	n.setState()
	n.beatNow()
	n.log.WithField("open", n.entry.Open()).Info("stopping: callers are sent elsewhere")
	time.Sleep(part(grace, closeAfter))
	statemachine.Fire(n.machine, eventClose)
	for n.entry.Open() > 0 && clock.Since(began) < part(grace, endAfter) {
		time.Sleep(stopPoll)
	}
	// A request that is no longer open may still have the end of its answer on the way.
	for _, s := range servers {
		s.close(max(part(grace, endAfter)-clock.Since(began), part(grace, shutdownTime)))
	}
	n.log.WithFields(logrus.Fields{"open": n.entry.Open(), "ms": clock.Since(began).Milliseconds()}).Info("stopped")
}

const (
	// closeAfter of the grace time new requests are refused: callers had three
	// times an answer's lifetime to go elsewhere.
	closeAfter = 0.42
	// endAfter of the grace time open requests are given up, and answers on their way.
	endAfter = 0.9
	// shutdownTime of the grace time is left for connections to close after that.
	shutdownTime = 0.02
	stopPoll     = 20 * time.Millisecond
)

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// Reload takes the settings that may change while the host runs.
func (n *Node) Reload(s *pb.Settings) error {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	n.log.SetLevel(level)
	n.learnSeeds(s.Member.Seeds)
	n.log.Info("settings reloaded")
	return nil
}

// learnSeeds takes the IP addresses of hosts to try.
func (n *Node) learnSeeds(ips []string) {
	now := clock.Now()
	for _, ip := range ips {
		n.members.Learn(n.peerAt(ip), now)
	}
}

// peerAt returns the peer address of a host: ports are the same on all hosts.
func (n *Node) peerAt(ip string) string {
	return addr.OnHost(ip, n.settings.Listen.Peer)
}
