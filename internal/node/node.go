// Package node wires the components of one entry host together and runs them.
//
// Lock order: the tables (topic.Table, member.Table, replica.Table, prefix.Index, retry.Budget,
// quota.Limiter, quarantine.Table, permit.Granter, rollout.Lease, rollout.Loader, canary.Table,
// await.Table, fairshare.Table) are never locked two at a time, and no lock is held during a call to
// another table or process.
// The exception is Node.stateMu, which is taken before the lock of member.Table. A topic.Table
// delivers one record at a time, without holding its lock.
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
	"github.com/briarlink/briarlink/internal/fairshare"
	"github.com/briarlink/briarlink/internal/forward"
	"github.com/briarlink/briarlink/internal/hostload"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/peer"
	"github.com/briarlink/briarlink/internal/permit"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/quota"
	"github.com/briarlink/briarlink/internal/reach"
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
	// StateLeaving means that directories no longer list the host, but it still serves requests.
	StateLeaving = "leaving"
	// StateClosing means that the host rejects new requests and finishes open ones.
	StateClosing = "closing"
)

const (
	eventSynced = "configuration and replicas known"
	eventStop   = "stop asked for"
	eventClose  = "callers had time to go elsewhere"
)

func newMachine() *fsm.FSM {
	return fsm.NewFSM(StateStarting, fsm.Events{
		{Name: eventSynced, Src: []string{StateStarting}, Dst: StateReady},
		{Name: eventStop, Src: []string{StateStarting, StateReady}, Dst: StateLeaving},
		{Name: eventClose, Src: []string{StateLeaving}, Dst: StateClosing},
	}, fsm.Callbacks{})
}

// Diagram returns the host's state machine as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }

// memoryLimitShare is the garbage collector's soft limit as a share of the process's memory. The
// remainder is for sockets and for memory that the Go runtime does not count.
const memoryLimitShare = 0.6

// Node is one entry host.
type Node struct {
	settings *pb.Settings
	// off holds the disabled mechanisms.
	off         mechanism.Off
	log         *logrus.Logger
	logWriter   *obs.Writer
	incarnation uint64
	machine     *fsm.FSM

	store   *platform.Store
	engines *platform.Engines
	// bulkReads limits bulk transfers to this host, and bulkSends those from it.
	bulkReads *bandwidth.Budget
	bulkSends *bandwidth.Budget
	access    *topic.Access
	operators *topic.Table
	servers   *topic.Table
	hosts     *topic.Table
	config    atomic.Pointer[config.Config]

	members *member.Table
	gossip  *member.Gossip
	peers   *peer.Client
	// permitPeers has connections of its own, as a call waits for the one before it.
	permitPeers *peer.Client
	permits     *permit.Granter
	replicas    *replica.Table
	index       *prefix.Index
	scheduler   *schedule.Scheduler
	pool        *upstream.Pool
	// forwardPool has the connections to other hosts that requests are passed on to, and reach is what
	// services these reach.
	forwardPool *upstream.Pool
	reach       *reach.Table
	budget      *retry.Budget
	limiter     *quota.Limiter
	crashes     *quarantine.Table
	// shares divides the capacity of services that are short of it; nil unless the settings enable it.
	shares *fairshare.Table
	lease  *rollout.Lease
	// canaries are the canary releases of services, canaryLease is the lease for decisions about
	// them, and releaseStatuses are their stored statuses. releaseOrdered is closed by the first
	// order.
	canaries        *canary.Table
	canaryLease     *rollout.Lease
	releaseStatuses *topic.Table
	releaseOrdered  chan struct{}
	// unsavedSince is since when the status of a release is missing from the store, or zero. Only the canary
	// loop uses it.
	unsavedSince time.Time
	firstRelease sync.Once
	loader       *rollout.Loader
	metrics      *obs.Metrics
	entry        *entry.Server
	// load measures this host's utilisation, and directoryLog logs which zones' directories name further
	// hosts because of it.
	load         *hostload.Meter
	directoryLog directoryLog
	// workedAt is when this host last had requests in flight. Only the heartbeat loop uses it.
	workedAt time.Time
	// directoryPlans caches the plans of directories for the last view.
	directoryPlans atomic.Pointer[directoryPlans]
	// memory is the budget for callers' requests, answers and connections. memoryCounts are the counts
	// at the last sweep; only the sweep loop uses them.
	memory           *membudget.Budget
	memoryCounts     membudget.Counts
	memoryLogLimiter obs.Limiter

	// stateMu serialises reports of this host's state to the membership table, and is held over
	// no other call.
	stateMu     sync.Mutex
	sequence    atomic.Uint64
	budgetHosts recentMax
	// routingSince is since when this host has been a routing host, or zero.
	routingSince time.Time
	// limitHosts is the recent maximum of hosts that share rate limits. Only the heartbeat loop
	// uses it.
	limitHosts recentMax
	// canaryHosts is the recent maximum of hosts that share a canary's exposure limit. Only the
	// canary loop uses it.
	canaryHosts recentMax
	// limitLiveHosts is the recent maximum of live hosts, and routingHistory names the recent
	// routing hosts.
	limitLiveHosts recentMax
	routingHistory routingHistory
	// reachableShare holds the bits of the share of the recent routing hosts that have not failed.
	reachableShare atomic.Uint64
	// loggedShare is the last logged share of rate limits, and shareLogLimiter rate-limits these
	// log lines. Only the heartbeat loop uses them.
	loggedShare     float64
	shareLogLimiter obs.Limiter
	// started is when the process started. firstReadDelay is how long it waits for records from
	// other hosts before it reads the store.
	started        time.Time
	firstReadDelay time.Duration
	// loggedSuspension is the total time of machine suspensions logged so far. Only the sweep
	// loop uses it.
	loggedSuspension time.Duration
	// malformedLogLimiter rate-limits log lines about malformed records, hostLogLimiter those
	// about changes of other hosts.
	malformedLogLimiter, hostLogLimiter obs.Limiter
	// fetches holds, by topic name, the state of record fetches from other hosts.
	fetches map[string]*fetches
	// heartbeatRequested requests a heartbeat before the next interval.
	heartbeatRequested chan struct{}
	// restored holds an element after the store was restored from a copy, until announce takes it.
	restored chan struct{}
	// heartbeatToAll is set if the next requested heartbeat goes to every peer, not only to
	// routing hosts.
	heartbeatToAll atomic.Bool
	// heartbeatBytes counts the bytes of all heartbeats sent.
	heartbeatBytes atomic.Int64
	// loadReports tracks what has been reported of this host's requests. Only the heartbeat loop
	// uses it.
	loadReports replica.LoadReporter
	// fetchSlots limits the record fetches served at once, and responses caches the answers to
	// them.
	fetchSlots *semaphore.Weighted
	responses  responseCache
	// recordsOffered is when a host last offered a topic that this host has not synced yet.
	recordsOffered topic.Freshness
	// longPollsOperators is whether this host itself waits at the store for operators' records.
	longPollsOperators atomic.Bool
	// followedHolders is the number of holders of KV cache whose events this host follows.
	followedHolders atomic.Int64
	// operatorsFreshness and entriesFreshness hold the times up to which this host's operators'
	// records and backend servers' entries are complete according to other hosts' reports.
	operatorsFreshness, entriesFreshness topic.Freshness
}

// New returns a host that is not running yet. logWriter is the writer behind log; the mechanisms
// in off are disabled.
func New(s *pb.Settings, off mechanism.Off, log *logrus.Logger, logWriter *obs.Writer) *Node {
	n := &Node{
		settings:           s,
		off:                off,
		log:                log,
		logWriter:          logWriter,
		incarnation:        rand.Uint64(),
		machine:            newMachine(),
		store:              platform.NewStore(s.Platform.Address, s.Platform.CallTimeout.AsDuration()),
		engines:            platform.NewEngines(),
		bulkReads:          bandwidth.NewBudget(s.Host.LinkMbps),
		bulkSends:          bandwidth.NewBudget(s.Host.LinkMbps),
		access:             topic.NewAccess(s.Replica.OutageGrace.AsDuration(), log),
		peers:              peer.NewClient(),
		permitPeers:        peer.NewClient(),
		permits:            permit.NewGranter(),
		index:              prefix.NewIndex(),
		pool:               upstream.NewPool(),
		forwardPool:        upstream.NewPool(),
		reach:              reach.NewTable(s.Host.AvailabilityZone),
		heartbeatRequested: make(chan struct{}, 1),
		restored:           make(chan struct{}, 1),
		fetchSlots:         semaphore.NewWeighted(maxServedFetches),
		responses:          responseCache{deflated: map[recordRange][]byte{}},
		started:            clock.Now(),
		routingHistory:     routingHistory{},
		load:               hostload.NewMeter(s.Host.Cores),
		firstReadDelay:     chooseFirstReadDelay(s.Member),
	}
	n.memory = newMemoryBudget(s)
	if buffer := socketBuffer(n.memory); buffer > 0 {
		n.pool = upstream.NewPoolWithBuffers(buffer)
		n.forwardPool = upstream.NewPoolWithBuffers(buffer)
	}
	n.store.OnEra = n.storeRestored
	n.members = member.NewTable(n.self(), s.Member.DeadAfter.AsDuration())
	n.members.ByLoad = n.directoryByLoad()
	if off[mechanism.PrimaryHosts] {
		n.members.ChooseAll()
	}
	n.operators = topic.NewTable(platform.OperatorTopic, n.applyOperatorRecord)
	n.servers = topic.NewTable(platform.ReplicaTopic, n.applyReplicaRecord)
	n.hosts = topic.NewTable(platform.HostTopic, n.applyHostRecord)
	n.releaseStatuses = topic.NewTable(platform.StatusTopic, n.applyStatusRecord)
	n.releaseOrdered = make(chan struct{})
	n.canaries = canary.NewTable(canary.Terms{Share: s.Move.Share, Slack: s.Move.Slack, RollBack: s.Move.RollBack.AsDuration()}, log)
	n.fetches = map[string]*fetches{}
	for _, t := range n.sharedTopics() {
		n.fetches[t.Name()] = &fetches{retryAfter: map[string]time.Time{}, retainedFrom: map[string]int64{}}
	}
	for _, t := range []*topic.Table{n.operators, n.servers, n.hosts, n.releaseStatuses} {
		t.RetainLost = t != n.servers
		t.OnRestored = func(era int64) { n.topicRestored(t, era) }
	}
	n.operators.IsOlder = isOlderOperatorRecord
	n.operators.OnRewritten = n.applyRewrittenOrder
	n.replicas = replica.NewTable(log, func(id, address string) {
		n.index.Clear(id)
		n.pool.Forget(address)
		n.loader.Forget(id)
	})
	n.crashes = quarantine.NewTable(log, clock.Now())
	if s.Overload.GetFairShare() {
		n.shares = fairshare.NewTable(n.incarnation)
	}
	n.replicas.OnCrash = n.replicaCrashed
	n.replicas.OnAnswered = func(f quarantine.Fingerprint, at time.Time) { n.crashes.Answered(f, at, clock.Now()) }
	n.engines.OnAnswer = func(address string, a platform.ReplicaAnswer, began time.Time) {
		n.replicas.RecordAnswerAt(address, began, clock.Now())
		n.replicas.RecordNoticeAt(address, a, began)
	}
	n.engines.BeforeCall = n.beforeEngineCall
	n.replicas.Off = off
	n.replicas.IsKnownService = func(service string) bool {
		c := n.config.Load()
		return c != nil && c.Services[service] != nil
	}
	policy := route.DefaultPolicy().Without(off)
	policy.WeightsDeadline = s.Weights.Deadline.AsDuration()
	n.scheduler = schedule.New(n.replicas, n.index, policy, s.Host.AvailabilityZone, s.Request.ShareCache)
	n.scheduler.NotifyPeers = n.requestHeartbeat
	n.scheduler.Config = n.config.Load
	n.scheduler.Off = off
	n.scheduler.AwaitPrefill = s.GetOverload().GetAwaitPrefill()
	n.scheduler.Canaries = n.canaries
	n.budget = retry.NewBudget(s.Retry.Ratio, s.Retry.Window.AsDuration(), 0, 1, n.started)
	n.limiter = quota.NewLimiter(quota.Terms{
		Window: s.Quota.Window.AsDuration(), Over: s.Quota.Over, Slack: s.Quota.Slack,
	}, s.Member.HeartbeatInterval.AsDuration(), n.started)
	n.limiter.EqualShares = off[mechanism.SharedCounts]
	n.lease = rollout.NewLease(n.store, log, s.Host.Id, n.incarnation, s.Weights.Lease.AsDuration())
	n.lease.Follows, n.lease.StoreEra = n.followsLease, n.store.Era
	n.canaryLease = rollout.NewLease(n.store, log, s.Host.Id, n.incarnation, s.Weights.Lease.AsDuration())
	n.canaryLease.Topic, n.canaryLease.Purpose, n.canaryLease.Follows = platform.MoveLeaseTopic, "moves", n.followsCanaryLease
	n.canaryLease.StoreEra = n.store.Era
	n.loader = rollout.NewLoader(n.lease, n.engines, n.replicas, log, s.Host.Id, platform.LoadMode(s.Weights.Mode), int(s.Weights.Concurrency))
	n.loader.Rank = n.rank
	n.loader.IsCutOff = n.isDetachedFrom
	n.loader.OnChange = n.requestHeartbeat
	n.loader.OnLoaded = n.index.Clear
	n.loader.OnOrder = func() { n.metrics.Orders.Inc(1) }
	return n
}

// Hosts spend only slackShare of the retry budget's slack, as windows of other hosts may begin
// slightly earlier or later.
const slackShare = 0.7

// Run serves on the listeners until ctx ends, then stops gracefully. It closes the listeners
// before it returns.
func (n *Node) Run(ctx context.Context, l *Listeners) {
	if mb := n.settings.Host.MemoryMb; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryLimitShare))
	}
	metrics, metricsHandler, closer := obs.NewMetrics()
	defer closer.Close()
	n.metrics = metrics
	n.buildEntry()
	n.gossip = member.NewGossip(l.heartbeats, n.log)
	n.gossip.OnSent = n.countSent
	// Background work outlives ctx because the graceful stop needs it.
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
	n.permitPeers.Close()
	n.store.Close()
	n.engines.Close()
	n.pool.Close()
	n.forwardPool.Close()
}

func (n *Node) buildEntry() {
	s := n.settings
	dispatcher := dispatch.New(n.scheduler, n.replicas, n.pool, n.budget, n.crashes)
	dispatcher.Off = n.off
	dispatcher.Shares = n.shares
	dispatcher.AcquirePermit = n.acquireRequestPermit
	dispatcher.IsCutOff = n.isCutOff
	forwarder := &forward.Forwarder{Self: s.Host.Id, Pool: n.forwardPool, Pick: n.forwardTarget, Served: n.recordForwardServed}
	dispatcher.PassOn = func(ctx context.Context, req *dispatch.Request, progress dispatch.Progress) (*dispatch.PassedOn, error) {
		return forwarder.Begin(ctx, &forward.Request{
			Request: req, Config: n.config.Load().Version, Ran: progress.Ran, LastEvent: progress.LastEvent,
			AllowRetry: func() bool { return dispatcher.AllowRetry(req.Service.Name) },
		}, progress.Charged)
	}
	n.entry = entry.New(entry.Deps{
		View:            n.entryView,
		CheckAccepting:  n.refuse,
		Ready:           n.ready,
		Stopping:        n.leaving,
		Directory:       n.answerDirectory,
		AnswerTTL:       s.Request.AnswerTtl.AsDuration(),
		Dispatcher:      dispatcher,
		IsCutOff:        n.isCutOff,
		LostContact:     n.replicas.LostContact,
		ReachesFew:      n.reachesFew,
		Forwarder:       forwarder,
		Limiter:         n.limiter,
		ReportUsage:     n.requestHeartbeat,
		Memory:          n.memory,
		Metrics:         n.metrics,
		Log:             n.log,
		MaxBodyBytes:    s.Request.MaxBodyBytes,
		DefaultDeadline: s.Request.DefaultDeadline.AsDuration(),
		StallTimeout:    s.Request.StallTimeout.AsDuration(),
	})
}

// refuse returns an error while the host accepts no new requests.
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

// stop shuts down without aborting requests that end before drainShare of the grace time has
// passed. Directories of other hosts drop this host at once. Callers with an older directory
// answer are served for acceptTime; then open requests finish.
func (n *Node) stop(servers []*server) {
	began := clock.Now()
	grace := n.settings.Stop.Grace.AsDuration()
	statemachine.Fire(n.machine, eventStop)
	n.setState()
	n.requestHeartbeatToAll()
	n.log.WithField("open", n.entry.Open()).Info("stopping: callers are sent elsewhere")
	time.Sleep(acceptTime(grace))
	statemachine.Fire(n.machine, eventClose)
	for n.entry.Open() > 0 && clock.Since(began) < fraction(grace, drainShare) {
		time.Sleep(stopPollInterval)
	}
	// The end of an answer may still be in transit after its request is no longer open.
	for _, s := range servers {
		s.close(max(fraction(grace, drainShare)-clock.Since(began), fraction(grace, shutdownShare)), n.entry.Abort)
	}
	n.log.WithFields(logrus.Fields{"open": n.entry.Open(), "ms": clock.Since(began).Milliseconds()}).Info("stopped")
}

const (
	// closeShare is the share of the grace time after which new requests are rejected, and maxAcceptTime limits that
	// time. By then callers have had twice a directory answer's lifetime to switch hosts.
	closeShare    = 0.42
	maxAcceptTime = 2800 * time.Millisecond // Requests sent 3 s after SIGTERM must not be cut at the end of the grace time.
	// drainShare is the share of the grace time after which open requests and answers in transit
	// are abandoned.
	drainShare = 0.9
	// shutdownShare is the share of the grace time that is then left for closing connections.
	shutdownShare    = 0.02
	stopPollInterval = 20 * time.Millisecond
)

// acceptTime returns how long a stopping host accepts requests.
func acceptTime(grace time.Duration) time.Duration {
	return min(fraction(grace, closeShare), maxAcceptTime)
}

func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// Reload applies the settings that may change while the host runs.
func (n *Node) Reload(s *pb.Settings) error {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	n.log.SetLevel(level)
	n.addSeeds(s.Member.Seeds)
	n.log.Info("settings reloaded")
	return nil
}

// addSeeds adds the IP addresses of seed hosts to the membership table.
func (n *Node) addSeeds(ips []string) {
	now := clock.Now()
	for _, ip := range ips {
		n.members.AddPeer(n.peerAddress(ip), now)
	}
}

// peerAddress returns the peer address of the host with an IP address. All hosts use the same
// port.
func (n *Node) peerAddress(ip string) string {
	return addr.OnHost(ip, n.settings.Listen.Peer)
}
