// Package node wires one entry host together and runs it.
//
// Lock order, for the whole program: replica.Table, then prefix.Index. Every
// other table (member.Table, limit.Limiter, limit.RetryBudget, once.Claimer,
// state.Store, peer.Client) is locked alone, and no lock is held over a call to
// another process.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/admin"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/entry"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/limit"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/once"
	"github.com/briarlink/briarlink/internal/peer"
	"github.com/briarlink/briarlink/internal/platform"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/rollout"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/state"
)

// claimAppendsPerSecond is the part of the log's rate that claims of all hosts
// together may use.
const claimAppendsPerSecond = 200

// weightsDuty is the duty of ordering weights, held by one host at a time.
const weightsDuty = "weights"

// Node is one entry host.
type Node struct {
	settings *pb.Settings
	log      *logrus.Logger
	rng      *rand.Rand

	platform platform.Log
	list     platform.HostList
	store    *state.Store
	tailer   *state.Tailer
	members  *member.Table
	index    *prefix.Index
	replicas *replica.Table
	poller   *replica.Poller
	keeper   *rollout.Keeper
	limiter  *limit.Limiter
	claimer  *once.Claimer
	peers    *peer.Client
	// workPeers has connections of its own: its short timeouts close them.
	workPeers *peer.Client
	metrics   *obs.Metrics
	entry     *entry.Server
	admin     *admin.Server

	started time.Time
	// ready is closed once the host has a configuration and has heard from the
	// backend servers.
	ready     chan struct{}
	touch     *touch
	stopping  atomic.Bool
	transfers chan struct{}
}

// New returns a host that is not running yet.
func New(s *pb.Settings, log *logrus.Logger) *Node {
	client := platform.NewClient(s.Platform.Address, s.Platform.CallTimeout.AsDuration())
	n := &Node{
		settings:  s,
		log:       log,
		rng:       rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)),
		platform:  client,
		list:      client,
		store:     state.NewStore(),
		index:     prefix.NewIndex(int(s.Prefix.MaxPieces)),
		limiter:   limit.NewLimiter(),
		peers:     peer.NewClient(),
		workPeers: peer.NewClient(),
		started:   time.Now(),
		ready:     make(chan struct{}),
		transfers: make(chan struct{}, maxTransfers),
	}
	n.tailer = state.NewTailer(n.store, n.platform)
	n.members = member.NewTable(&pb.HostEntry{
		Id:               s.Host.Id,
		Incarnation:      uint64(n.started.UnixNano()),
		AvailabilityZone: s.Host.AvailabilityZone,
		CallerAddress:    s.Listen.Caller,
		PeerAddress:      s.Listen.Peer,
	}, s.Member.DeadAfter.AsDuration())
	n.touch = newTouch(n.started, s.Member.OutOfTouchAfter.AsDuration())
	n.replicas = replica.NewTable(n.index, s.Route.DownAfter.AsDuration())
	n.keeper = rollout.NewKeeper(n.platform, weightsDuty, rollout.Holder{Host: s.Host.Id, Incarnation: uint64(n.started.UnixNano())})
	n.poller = replica.NewPoller(n.replicas, s.Route.PollInterval.AsDuration())
	n.claimer = once.NewClaimer(n.platform, s.Claim.MaxKeyAge.AsDuration(), s.Claim.Wait.AsDuration(), n.claimInterval, n.claimsRead)
	return n
}

// claimsRead returns when any other live host last read the claims; ok is false
// when this host is not in touch with most hosts and so cannot tell.
func (n *Node) claimsRead() (at time.Time, ok bool) {
	now := time.Now()
	return n.members.ClaimsRead(now), n.members.InTouchWithMost(now, n.settings.Member.DeadAfter.AsDuration())
}

// claimInterval keeps the appends of all hosts together within the log's rate.
func (n *Node) claimInterval() time.Duration {
	hosts := len(n.members.Serving(time.Now()))
	return max(n.settings.Claim.GroupInterval.AsDuration(), time.Duration(hosts)*time.Second/claimAppendsPerSecond)
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	metrics, metricsHandler, closer := obs.NewMetrics()
	defer closer.Close()
	n.metrics = metrics
	n.buildServers()
	// Background work outlives ctx: a graceful stop still needs it.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer n.peers.Close()
	defer n.workPeers.Close()
	defer cancel()
	callers, operators, err := n.listen(work, &wg, metricsHandler)
	if err != nil {
		return err
	}
	for _, loop := range []func(context.Context){
		n.tailer.Run, n.claimer.Run, n.applyConfig, n.heartbeats, n.catchUp, n.watchList, n.checkpoints,
		n.poller.Run, n.awaitReady, n.tellWork, n.keeper.Run,
		rollout.NewLoader(n.keeper, n.replicas, dispatch.NewHTTPEngine(), n.log).Run,
	} {
		wg.Go(func() { loop(work) })
	}
	n.log.WithField("caller", n.settings.Listen.Caller).Info("entry host started")
	<-ctx.Done()
	err = n.stop(callers)
	operators.Close()
	return err
}

func (n *Node) buildServers() {
	s := n.settings
	retries := limit.NewRetryBudget(s.Request.RetryRatio)
	policy := route.DefaultPolicy()
	policy.RecomputeWeight = s.Route.RecomputeWeight
	pipeline := route.NewPipeline(policy)
	n.entry = entry.New(entry.Deps{
		Settings:   s,
		Store:      n.store,
		Members:    n.members,
		Replicas:   n.replicas,
		Limiter:    n.limiter,
		Dispatcher: dispatch.New(dispatch.NewHTTPEngine(), schedule.New(n.replicas, n.index, pipeline), retries, s.Request.IdleTimeout.AsDuration()),
		Services:   dispatch.NewServices(retries),
		Claimer:    n.claimer,
		Metrics:    n.metrics,
		Log:        n.log,
		Gate:       n.gate,
		Stopping:   n.stopping.Load,
	})
	settle := s.Platform.CallTimeout.AsDuration() + s.Claim.Wait.AsDuration()
	n.admin = admin.New(n.store, state.NewSubmitter(n.store, n.platform, settle), n.members, n.replicas, n.log)
}

// listen opens the three listeners and serves on them.
func (n *Node) listen(ctx context.Context, wg *sync.WaitGroup, metrics http.Handler) (callers, operators *http.Server, err error) {
	l := n.settings.Listen
	callerListener, err := net.Listen("tcp", l.Caller)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for callers")
	}
	operatorListener, err := net.Listen("tcp", l.Operator)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for operators")
	}
	peerListener, err := net.Listen("tcp", l.Peer)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for peers")
	}
	maxHeader := int(n.settings.Request.MaxHeaderBytes)
	callers = &http.Server{
		Handler:           n.entry.Handler(),
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       n.settings.Member.AnswerTtl.AsDuration(),
	}
	operators = &http.Server{Handler: n.operatorHandler(metrics), MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout}
	n.serve(wg, "callers", func() error { return callers.Serve(callerListener) })
	n.serve(wg, "operators", func() error { return operators.Serve(operatorListener) })
	n.serve(wg, "peers", func() error { return peer.Serve(ctx, peerListener, &peerService{n}) })
	return callers, operators, nil
}

const (
	headerTimeout = 10 * time.Second
	// startWait is how long a request waits for a host that is starting.
	startWait     = time.Second
	readyInterval = 10 * time.Millisecond
)

func (n *Node) serve(wg *sync.WaitGroup, name string, f func() error) {
	wg.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled) {
			n.log.WithError(err).WithField("listener", name).Error("listener ended")
		}
	})
}

// operatorHandler serves operators' calls, metrics and health.
func (n *Node) operatorHandler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(n.admin.Handler(n.settings.Operators.Tokens))
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.gate(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// isReady reports whether the start is over.
func (n *Node) isReady() bool {
	select {
	case <-n.ready:
		return true
	default:
		return false
	}
}

// awaitReady ends the start once there is a configuration and most backend
// servers have been heard from, or have had their time.
func (n *Node) awaitReady(ctx context.Context) {
	if n.store.Await(ctx, func(s *state.State) bool { return s != nil }) != nil {
		return
	}
	limit := time.Now().Add(n.settings.Route.DownAfter.AsDuration())
	for ctx.Err() == nil && !n.replicas.Polled() && time.Now().Before(limit) {
		time.Sleep(readyInterval)
	}
	close(n.ready)
}

// gate returns an error while this host must not take new work. A request that
// comes while the host starts waits a little: callers keep an answer that names
// a host over its restart.
func (n *Node) gate() error {
	if !n.isReady() {
		select {
		case <-n.ready:
		case <-time.After(startWait):
		}
	}
	switch {
	case !n.isReady():
		return errkind.New(errkind.NotReady, "this host has no configuration yet")
	case n.tailer.Gap():
		return errkind.New(errkind.OutOfTouch, "the log has forgotten records that this host lacks")
	case n.members.Superseded():
		return errkind.New(errkind.OutOfTouch, "another process has taken this host's place")
	case n.outOfTouch(time.Now()):
		return errkind.New(errkind.OutOfTouch, "this host reaches neither the log nor most other hosts")
	default:
		return nil
	}
}

// stop leaves without cutting a request: other hosts stop naming this one, the
// answers that did name it run out, then open requests finish.
func (n *Node) stop(callers *http.Server) error {
	n.stopping.Store(true)
	n.members.Leave()
	m := n.settings.Member
	wait := m.AnswerTtl.AsDuration() + leaveMargin*m.HeartbeatInterval.AsDuration()
	n.log.WithField("wait_ms", wait.Milliseconds()).Info("stopping: still serving callers that were sent here")
	time.Sleep(wait)
	ctx, cancel := context.WithTimeout(context.Background(), m.StopTimeout.AsDuration())
	defer cancel()
	err := callers.Shutdown(ctx)
	n.log.WithField("open_requests", n.entry.Open()).Info("stopped")
	return errors.Wrap(err, "requests were still open at the stop timeout")
}

// leaveMargin is in heartbeats: how long until every peer knows of the leave.
const leaveMargin = 4
