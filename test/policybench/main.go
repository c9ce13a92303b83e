// Command policybench replays workloads of both deployments over fake replicas
// in virtual time and prints, as CSV, how routing policies compare. The policies
// "briarlink" and "index_no_decay" run the product's own decision code, prefix
// index, event handling and limits.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/briarlink/briarlink/internal/prefix"
)

// Case is what happens during a run.
type Case struct {
	Name       string
	Shift      bool
	Crash      bool
	Herd       bool
	Flood      bool
	EventLoss  float64
	EventDelay time.Duration
	// Overload multiplies what the replicas can carry; 0 means the shape's load.
	Overload float64
}

var cases = []Case{
	{Name: "steady"},
	{Name: "hot_shift", Shift: true},
	{Name: "engine_crash", Crash: true},
	{Name: "event_loss", EventLoss: 0.5},
	{Name: "events_late", EventDelay: 5 * time.Second},
	{Name: "router_herd", Herd: true},
	{Name: "flood", Flood: true},
	{Name: "overload", Overload: 1.3},
}

type cli struct {
	Seeds  []uint64      `name:"seed" help:"Seeds; default 101 to 105."`
	Shape  []string      `help:"taller or utility; default both."`
	Case   []string      `help:"Cases; default all."`
	Policy []string      `help:"Policies; default all."`
	Length time.Duration `default:"120s" help:"Virtual length of a run."`
	Others bool          `help:"Print p99 of the organisations that do not flood instead."`
	Life   time.Duration `default:"-1ns" help:"Try another belief life."`
	Weight float64       `default:"-1" help:"Try another recompute weight."`
	Means  bool          `help:"Print means over the seeds as a table instead."`
}

func main() {
	args := &cli{}
	kong.Parse(args, kong.Name("policybench"))
	if len(args.Seeds) == 0 {
		args.Seeds = []uint64{101, 102, 103, 104, 105}
	}
	args.override()
	args.run()
}

// override changes what is tried, for tuning.
func (a *cli) override() {
	if a.Life >= 0 {
		tuned.BeliefLife = a.Life
	}
	for i := range shapes {
		if a.Weight >= 0 {
			shapes[i].RecomputeWeight = a.Weight
		}
	}
}

// job is one run.
type job struct {
	shape  *Shape
	c      *Case
	policy string
	seed   uint64
	rate   float64
	out    *stats
}

func (a *cli) run() {
	var jobs []*job
	for i := range shapes {
		shape := &shapes[i]
		if !wanted(a.Shape, shape.Name) {
			continue
		}
		capacity := shape.capacity(a.Length)
		for k := range cases {
			c := &cases[k]
			rate := capacity * shape.Load
			if c.Overload > 0 {
				rate = capacity * c.Overload
			}
			for _, p := range policyNames {
				for _, seed := range a.Seeds {
					if wanted(a.Case, c.Name) && wanted(a.Policy, p) {
						jobs = append(jobs, &job{shape, c, p, seed, rate, nil})
					}
				}
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(8)
	for _, j := range jobs {
		g.Go(func() error {
			j.out = j.run(a.Length)
			return nil
		})
	}
	_ = g.Wait()
	a.print(jobs)
}

func wanted(list []string, name string) bool {
	for _, l := range list {
		if l == name {
			return true
		}
	}
	return len(list) == 0
}

func (a *cli) print(jobs []*job) {
	if a.Means {
		printMeans(jobs, len(a.Seeds))
		return
	}
	if a.Others {
		fmt.Println("shape,case,policy,seed,others_ttft_p99_ms,others_refused")
		for _, j := range jobs {
			fmt.Printf("%s,%s,%s,%d,%.1f,%d\n", j.shape.Name, j.c.Name, j.policy, j.seed, j.out.othersP99(), j.out.othersRefused)
		}
		return
	}
	fmt.Println("shape,case,policy,seed,requests,hit_rate,wasted_pieces_per_request,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,refused")
	for _, j := range jobs {
		fmt.Fprintln(os.Stdout, j.row())
	}
}

func (j *job) row() string {
	s := j.out
	return fmt.Sprintf("%s,%s,%s,%d,%d,%.4f,%.3f,%.1f,%.1f,%.1f,%d", j.shape.Name, j.c.Name, j.policy, j.seed,
		s.requests, s.hitRate(), s.wasted(), s.quantile(0.5), s.quantile(0.95), s.quantile(0.99), s.refusals)
}

func (j *job) run(length time.Duration) *stats {
	s := &sim{
		shape: j.shape, c: j.c, base: time.Now(), rng: rand.New(rand.NewPCG(j.seed, 3)),
		computed: map[prefix.Hash]bool{}, stats: &stats{warm: length / 6}, rate: j.rate,
	}
	for i := range j.shape.Replicas {
		s.replicas = append(s.replicas, newFakeReplica(s, i))
	}
	for i := range j.shape.Routers {
		s.routers = append(s.routers, newRouter(j.policy, s, j.seed*100+uint64(i)))
	}
	s.play(newWorkload(j.shape, j.seed), j.rate, length)
	return s.stats
}

// guarantee is an organisation's share of the offered load in pieces a second.
func (s *sim) guarantee(organisation int) float64 {
	w := workload{orgs: zipf(organisations)}
	mean := float64(s.shape.Levels[0]+s.shape.Levels[1]) + (1-s.shape.Quick)*float64(s.shape.Levels[2]) + 1.5
	return guaranteeMargin * s.shape.steadyRate() * mean * w.share(organisation)
}

// guaranteeMargin sells each organisation a little more than it uses.
const guaranteeMargin = 1.3

var capacities sync.Map

// capacity is the rate of requests at which the replicas would be busy all the
// time, from the mean work of a request under the oracle.
func (shape *Shape) capacity(length time.Duration) float64 {
	if c, ok := capacities.Load(shape.Name); ok {
		return c.(float64)
	}
	perRequest := shape.Prefill.Seconds() * float64(shape.Levels[0])
	for range 4 {
		rate := shape.Load * float64(shape.Replicas) / perRequest
		capacities.Store(shape.Name, rate/shape.Load)
		out := (&job{shape, &cases[0], "oracle", 1, rate, nil}).run(length)
		perRequest = out.work.Seconds() / float64(out.requests)
	}
	c := float64(shape.Replicas) / perRequest
	capacities.Store(shape.Name, c)
	return c
}

func (shape *Shape) steadyRate() float64 {
	c, _ := capacities.Load(shape.Name)
	return c.(float64) * shape.Load
}

// stats gathers what is reported, after the warm-up.
type stats struct {
	warm          time.Duration
	requests      int
	refusals      int
	othersRefused int
	pieces        int
	hits          int
	again         int
	work          time.Duration
	ttft          []float64
	others        []float64
}

// computed counts a prefill; a piece computed before anywhere is wasted.
func (t *stats) computed(s *sim, w *work, hit int) {
	counts := w.at >= t.warm
	for _, h := range w.chain[hit:] {
		if s.computed[h] && counts {
			t.again++
		}
		s.computed[h] = true
	}
	if counts {
		t.pieces += len(w.chain)
		t.hits += hit
		t.work += time.Duration((w.pieces - float64(hit)) * float64(s.shape.Prefill))
	}
}

func (t *stats) answered(ttft time.Duration, w *work) {
	if w.at < t.warm {
		return
	}
	t.requests++
	t.ttft = append(t.ttft, ttft.Seconds()*1000)
	if w.organisation != floodOrganisation {
		t.others = append(t.others, ttft.Seconds()*1000)
	}
}

func (t *stats) refused(w *work) {
	if w.at < t.warm {
		return
	}
	t.refusals++
	if w.organisation != floodOrganisation {
		t.othersRefused++
	}
}

func (t *stats) hitRate() float64 { return float64(t.hits) / float64(max(1, t.pieces)) }
func (t *stats) wasted() float64  { return float64(t.again) / float64(max(1, t.requests)) }

func (t *stats) quantile(q float64) float64 { return quantile(t.ttft, q) }
func (t *stats) othersP99() float64         { return quantile(t.others, 0.99) }

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[int(q*float64(len(values)-1))]
}
