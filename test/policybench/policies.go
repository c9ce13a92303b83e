package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/limit"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
)

const (
	benchModel   = "m"
	benchVersion = "v1"
	indexSize    = 1_000_000
	// deadline is what a host's settings would say.
	deadline = 10 * time.Second
)

// work is a request on its way.
type work struct {
	*arrival
	router   router
	decision choice
	tried    []int
}

// choice is a router's pick.
type choice struct {
	replica int
	// product is set by routers that run the product's code.
	product route.Decision
}

// router is one entry host's policy.
type router interface {
	pick(*work) (choice, bool)
	answered(w *work, cached int)
	unreachable(replica int)
	poll()
	heartbeat()
	tellWork()
	restart()
}

// policyNames in the order in which they are reported.
var policyNames = []string{"random", "round_robin", "least_loaded", "consistent_hash", "index_no_decay", "briarlink", "oracle"}

func newRouter(name string, s *sim, seed uint64) router {
	rng := rand.New(rand.NewPCG(seed, 2))
	switch name {
	case "index_no_decay":
		return newProduct(s, route.Policy{RecomputeWeight: s.shape.RecomputeWeight}, false)
	case "briarlink":
		return newProduct(s, productPolicy(s.shape), true)
	case "oracle":
		return &oracle{s, route.NewPipeline(route.Policy{RecomputeWeight: s.shape.RecomputeWeight})}
	default:
		return &simple{name: name, sim: s, rng: rng, down: map[int]time.Duration{}, loads: make([]float64, len(s.replicas))}
	}
}

// tuned is the product's policy before the deployment's own weight.
var tuned = route.DefaultPolicy()

func productPolicy(shape *Shape) route.Policy {
	p := tuned
	p.RecomputeWeight = shape.RecomputeWeight
	return p
}

// simple is a baseline without an index.
type simple struct {
	name  string
	sim   *sim
	rng   *rand.Rand
	turn  int
	down  map[int]time.Duration
	loads []float64
}

func (b *simple) pick(w *work) (choice, bool) {
	var up []int
	for i := range b.sim.replicas {
		if b.sim.now >= b.down[i] && !slices.Contains(w.tried, i) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return choice{}, false
	}
	picked := up[0]
	switch b.name {
	case "random":
		picked = up[b.rng.IntN(len(up))]
	case "round_robin":
		b.turn++
		picked = up[b.turn%len(up)]
	case "least_loaded":
		for _, i := range up {
			if b.loads[i] < b.loads[picked] {
				picked = i
			}
		}
		b.loads[picked] += w.pieces
	case "consistent_hash":
		var ids []string
		for _, i := range up {
			ids = append(ids, fmt.Sprint(i))
		}
		first := member.Rank(fmt.Sprint(w.chain[0]), ids)[0]
		picked = up[slices.Index(ids, first)]
	}
	return choice{replica: picked}, true
}

func (b *simple) answered(*work, int) {}
func (b *simple) restart()            {}
func (b *simple) heartbeat()          {}
func (b *simple) tellWork()           {}

func (b *simple) unreachable(i int) { b.down[i] = b.sim.now + time.Second }

func (b *simple) poll() {
	for i, r := range b.sim.replicas {
		b.loads[i] = float64(r.poll(math.MaxUint64).QueuedPieces)
	}
}

// product runs the product's own index, tables, limiter and decision.
type product struct {
	sim      *sim
	policy   route.Policy
	limiter  *limit.Limiter
	table    *replica.Table
	schedule *schedule.Scheduler
	limited  bool
	name     string
}

func newProduct(s *sim, policy route.Policy, limited bool) *product {
	p := &product{sim: s, policy: policy, limited: limited, name: fmt.Sprint(len(s.routers))}
	p.restart()
	return p
}

func (p *product) restart() {
	index := prefix.NewIndex(indexSize)
	p.table = replica.NewTable(index, time.Second)
	p.schedule = schedule.New(p.table, index, route.NewPipeline(p.policy))
	p.limiter = limit.NewLimiter()
	p.limiter.SetHosts(p.sim.shape.Routers)
	specs := map[string]*pb.BackendServer{}
	for i := range p.sim.replicas {
		specs[replicaID(i)] = &pb.BackendServer{Address: fmt.Sprintf("127.0.0.1:%d", i+1), Model: benchModel}
	}
	p.table.Configure(specs, nil)
	for i := range organisations {
		p.limiter.Configure(fmt.Sprint(i), &pb.RateLimit{GuaranteedPerSecond: p.sim.guarantee(i)})
	}
	p.poll()
}

func replicaID(i int) string { return fmt.Sprintf("r%03d", i) }

func (p *product) poll() {
	now := p.sim.clock()
	for i, t := range p.table.Targets() {
		if r := p.sim.replicas[i]; !r.down {
			p.table.Report(t.ID, r.poll(t.Sequence), now)
		}
	}
	p.table.Expire(now)
}

// heartbeat tells the other hosts the demand seen here.
func (p *product) heartbeat() {
	demand := p.limiter.Demand(p.sim.clock())
	for _, r := range p.sim.routers {
		if other := r.(*product); other != p {
			other.limiter.Heard(p.name, demand)
		}
	}
}

// tellWork tells the other hosts what was sent since the last time.
func (p *product) tellWork() {
	work := p.table.TakeSent()
	if !p.limited {
		return
	}
	now := p.sim.clock()
	for _, r := range p.sim.routers {
		if other := r.(*product); other != p {
			other.table.SentByPeer(work, now)
		}
	}
}

func (p *product) prompt(w *work) *schedule.Prompt {
	return &schedule.Prompt{Model: benchModel, Version: benchVersion, Chain: w.chain, Pieces: w.pieces}
}

func (p *product) pick(w *work) (choice, bool) {
	now := p.sim.clock()
	var bounds route.Bounds
	if p.limited {
		class, err := p.limiter.Admit(fmt.Sprint(w.organisation), w.pieces+1, now)
		if err != nil {
			return choice{}, false
		}
		bounds.FirstToken = deadline
		if class == limit.Borrowed {
			bounds.Wait = p.sim.shape.BorrowWait
		}
	}
	var exclude []string
	for _, i := range w.tried {
		exclude = append(exclude, replicaID(i))
	}
	d, err := p.schedule.Pick(p.prompt(w), exclude, bounds, now)
	if err != nil {
		return choice{}, false
	}
	var i int
	_, _ = fmt.Sscanf(d.Replica.ID, "r%d", &i)
	return choice{i, d}, true
}

func (p *product) answered(w *work, cached int) {
	d := &w.decision.product
	p.schedule.Learn(p.prompt(w), d.Replica.Number, p.sim.replicas[w.decision.replica].incarnation, p.sim.clock())
}

func (p *product) unreachable(i int) { p.table.Failed(replicaID(i), "connection failed") }

// oracle decides by the same rule with every cache and queue known exactly.
type oracle struct {
	sim      *sim
	pipeline *route.Pipeline
}

func (o *oracle) pick(w *work) (choice, bool) {
	req := route.Request{Model: benchModel, Version: benchVersion, Pieces: w.pieces, Affinity: uint64(w.chain[0])}
	var snap route.Snapshot
	for i, r := range o.sim.replicas {
		snap.Replicas = append(snap.Replicas, route.Replica{
			ID: replicaID(i), Number: prefix.Replica(i), Model: benchModel, Version: benchVersion,
			Serving: !r.down, Queued: r.ahead(), Prefill: o.sim.shape.Prefill,
		})
		if depth := r.willHold(w.chain); depth > 0 {
			req.Matches = append(req.Matches, prefix.Match{Replica: prefix.Replica(i), Depth: depth})
		}
	}
	d, err := o.pipeline.Decide(&req, snap)
	if err != nil {
		return choice{}, false
	}
	return choice{replica: int(d.Replica.Number)}, true
}

func (o *oracle) answered(*work, int) {}
func (o *oracle) unreachable(int)     {}
func (o *oracle) poll()               {}
func (o *oracle) heartbeat()          {}
func (o *oracle) tellWork()           {}
func (o *oracle) restart()            {}

// ahead returns the exact work before a request that comes now, in pieces.
func (r *fakeReplica) ahead() float64 {
	sum := 0.0
	if r.current != nil {
		sum = float64(r.until-r.sim.now) / float64(r.sim.shape.Prefill)
	}
	for i, w := range r.queue {
		sum += w.pieces - float64(r.willHoldBefore(i, w.chain))
	}
	return sum
}

// willHold returns the leading pieces held now or computed by what is queued.
func (r *fakeReplica) willHold(chain []prefix.Hash) int {
	return r.willHoldBefore(len(r.queue), chain)
}

// willHoldBefore looks no further than the first n of the queue.
func (r *fakeReplica) willHoldBefore(n int, chain []prefix.Hash) int {
	best := r.cached(chain)
	before := r.queue[:n]
	if r.current != nil {
		before = append([]*work{r.current}, before...)
	}
	for _, w := range before {
		n := 0
		for n < len(chain) && n < len(w.chain) && chain[n] == w.chain[n] {
			n++
		}
		best = max(best, n)
	}
	return best
}
