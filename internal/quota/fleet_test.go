package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/config"
)

const (
	testInterval = 150 * time.Millisecond
	testWindow   = 8 * time.Second
	// step is the time resolution of the simulated fleet.
	step = 10 * time.Millisecond
)

// strategy is a method of enforcing a limit across hosts.
type strategy interface {
	// admit decides on a request at a host.
	admit(host int, organisation string, cost int64, now time.Time) bool
	// tick is called once per step.
	tick(f *fleet)
	// restart starts a host again without any of its earlier state.
	restart(host int, now time.Time)
}

// charge is the cost of an admitted request.
type charge struct {
	admittedAt time.Time
	cost       int64
}

// organisation is one of the simulated organisations.
type organisation struct {
	name  string
	limit config.RateLimit
	// demand is the cost of the requests that its callers send, per second.
	demand float64
	// unit is set if each request costs 1.
	unit bool
	// callerHosts is the host that each of its callers sends to.
	callerHosts []int
	// ideal is the level of a bucket that accounts for all usage on all hosts at once.
	ideal    float64
	admitted []charge
	// requested is the cost of all requests, idealAdmitted that of the requests for which the ideal
	// bucket had room, and wronglyRefused that of the requests refused although it had room.
	requested, idealAdmitted, wronglyRefused int64
}

// fleet is a simulated fleet of routing hosts. It uses neither a network nor a real clock.
type fleet struct {
	strategy strategy
	terms    Terms
	now      time.Time
	rng      *rand.Rand
	hosts    int
	// partition holds the group of each host. Hosts in different groups cannot communicate.
	partition []int
	// Hosts that are down accept no requests and send nothing.
	down          []bool
	loss          float64
	organisations []*organisation
	// messages and bytes count what hosts sent to each other.
	messages, bytes int
}

func newFleet(s strategy, terms Terms, hosts int, seed uint64) *fleet {
	f := &fleet{strategy: s, terms: terms, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)), hosts: hosts}
	f.partition, f.down = make([]int, hosts), make([]bool, hosts)
	return f
}

// callers is the number of callers per organisation. Each sends to one host for a while.
const callers = 24

// add adds an organisation whose demand is a multiple of its limit.
func (f *fleet) add(limit config.RateLimit, demandFactor float64) *organisation {
	o := &organisation{name: fmt.Sprintf("organisation-%d", len(f.organisations)), limit: limit, demand: demandFactor * limit.PerSecond}
	for range callers {
		o.callerHosts = append(o.callerHosts, f.rng.IntN(f.hosts))
	}
	f.organisations = append(f.organisations, o)
	return o
}

// configured returns the organisations as they appear in a configuration.
func (f *fleet) configured() []*config.Organisation {
	var out []*config.Organisation
	for _, o := range f.organisations {
		out = append(out, &config.Organisation{Name: o.name, RateLimit: &o.limit})
	}
	return out
}

// Costs of requests: nearly all requests are short, and the long ones account for most of the
// tokens.
const (
	shortCost = 390
	longCost  = 17000
	longShare = 0.05
	meanCost  = longShare*longCost + (1-longShare)*shortCost
)

// run simulates the fleet for a duration.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.strategy.tick(f)
		for _, o := range f.organisations {
			f.requests(o)
		}
	}
}

func (f *fleet) requests(o *organisation) {
	o.ideal = max(0, o.ideal-o.limit.PerSecond*step.Seconds())
	mean := float64(meanCost)
	if o.unit {
		mean = 1
	}
	for n := f.poisson(o.demand / mean * step.Seconds()); n > 0; n-- {
		caller := f.rng.IntN(callers)
		if f.down[o.callerHosts[caller]] || f.rng.Float64() < 0.002 {
			o.callerHosts[caller] = f.rng.IntN(f.hosts)
		}
		host := o.callerHosts[caller]
		if f.down[host] {
			continue
		}
		cost := int64(shortCost)
		switch {
		case o.unit:
			cost = 1
		case f.rng.Float64() < longShare:
			cost = longCost
		}
		f.request(o, host, cost)
	}
}

func (f *fleet) request(o *organisation, host int, cost int64) {
	o.requested += cost
	idealAdmits := o.ideal < o.limit.Burst
	if idealAdmits {
		o.ideal += float64(cost)
		o.idealAdmitted += cost
	}
	if f.strategy.admit(host, o.name, cost, f.now) {
		o.admitted = append(o.admitted, charge{f.now, cost})
	} else if idealAdmits {
		o.wronglyRefused += cost
	}
}

// settle runs the fleet for a while before any requests arrive.
func (f *fleet) settle() {
	demands := make([]float64, len(f.organisations))
	for i, o := range f.organisations {
		demands[i], o.demand = o.demand, 0
	}
	f.run(5 * time.Second)
	for i, o := range f.organisations {
		o.demand = demands[i]
	}
}

// poisson draws from a Poisson distribution with the given mean.
func (f *fleet) poisson(mean float64) int {
	n := 0
	for passed := f.rng.ExpFloat64(); passed < mean; passed += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// worstWindow returns the largest usage admitted in any window, as a fraction of what is allowed.
func (f *fleet) worstWindow(o *organisation) float64 {
	sum, most, first := int64(0), int64(0), 0
	for _, c := range o.admitted {
		sum += c.cost
		for c.admittedAt.Sub(o.admitted[first].admittedAt) >= f.terms.Window {
			sum -= o.admitted[first].cost
			first++
		}
		most = max(most, sum)
	}
	allowed := o.limit.PerSecond*f.terms.Window.Seconds() + o.limit.Burst
	return float64(most) / (allowed*(1+f.terms.Over) + f.terms.Slack)
}

// receives reports whether a message from one host arrives at another one now.
func (f *fleet) receives(to, from int) bool {
	return to != from && !f.down[to] && !f.down[from] && f.partition[to] == f.partition[from] && f.rng.Float64() >= f.loss
}

// deadTimeout and hostRetention are how long a host without heartbeats counts as live, and as one
// of the hosts that share limits.
const (
	deadTimeout   = time.Second
	hostRetention = 20 * time.Second
	// addressReadDelay is the time that a host takes after its start to read the addresses of all
	// hosts from the store. The store is assumed to be reachable.
	addressReadDelay = 1500 * time.Millisecond
)

// counts is the strategy of the Limiter: hosts report the usage that they admitted to each other.
type counts struct {
	equal        bool
	terms        Terms
	limiters     []*Limiter
	setup        func() []*config.Organisation
	incarnations []uint64
	// lastSeen is when each host last received a heartbeat from each other one. maxHosts is the
	// largest number of hosts that each host had a record of, and maxHostsSince when it was last
	// reached.
	lastSeen      [][]time.Time
	maxHosts      []int
	maxHostsSince []time.Time
	nextReport    []time.Time
	// startedAt is the time of each host's last start.
	startedAt []time.Time
}

func newCounts(hosts int, terms Terms, equal bool) *counts {
	return &counts{
		equal: equal, terms: terms, limiters: make([]*Limiter, hosts), incarnations: make([]uint64, hosts),
		lastSeen: make([][]time.Time, hosts), maxHosts: make([]int, hosts), maxHostsSince: make([]time.Time, hosts), nextReport: make([]time.Time, hosts),
		startedAt: make([]time.Time, hosts),
	}
}

func (c *counts) admit(host int, organisation string, cost int64, now time.Time) bool {
	l := c.limiters[host]
	ok := l.Admit(organisation, Size{PromptTokens: int(cost), HasTokenCount: true}, now).Admitted
	if ok && l.ShouldReportNow(organisation) {
		c.nextReport[host] = now
	}
	return ok
}

func (c *counts) restart(host int, now time.Time) {
	c.limiters[host] = NewLimiter(c.terms, testInterval, now)
	c.limiters[host].EqualShares = c.equal
	c.limiters[host].SetLimits(c.setup(), now)
	c.incarnations[host]++
	c.startedAt[host] = now
	c.lastSeen[host] = make([]time.Time, len(c.limiters))
	c.maxHosts[host], c.maxHostsSince[host], c.nextReport[host] = 1, now, now
}

func (c *counts) tick(f *fleet) {
	for from, l := range c.limiters {
		if l == nil {
			c.restart(from, f.now)
			l = c.limiters[from]
		}
		if f.down[from] || f.now.Before(c.nextReport[from]) {
			continue
		}
		c.nextReport[from] = f.now.Add(testInterval)
		c.updateHosts(from, f.now)
		c.report(f, from, l)
	}
}

// updateHosts sets the number of hosts in a limiter, as the table of hosts would provide it.
func (c *counts) updateHosts(host int, now time.Time) {
	known, routing := 1, []*pb.Heartbeat{}
	for other, at := range c.lastSeen[host] {
		if !at.IsZero() && now.Sub(at) < deadTimeout {
			known++
			routing = append(routing, &pb.Heartbeat{Host: hostName(other)})
		}
	}
	if known >= c.maxHosts[host] || now.Sub(c.maxHostsSince[host]) > hostRetention {
		c.maxHosts[host], c.maxHostsSince[host] = known, now
	}
	l := c.limiters[host]
	hosts, reachable := c.maxHosts[host], 1+l.CountReachable(routing, now)
	hosts = max(hosts, known+c.unseenHosts(host, now))
	l.SetHosts(hosts, float64(reachable), false, now)
}

// unseenHosts returns the number of other hosts that a host counts as running although it has
// received nothing from them since its start. Until the host has read the addresses of the others,
// it assumes a fleet of AssumedHosts hosts. After hostRetention, it counts no unseen hosts.
func (c *counts) unseenHosts(host int, now time.Time) int {
	uptime := now.Sub(c.startedAt[host])
	if uptime > hostRetention {
		return 0
	}
	unseen := 0
	for other, at := range c.lastSeen[host] {
		if other != host && at.IsZero() {
			unseen++
		}
	}
	if uptime < addressReadDelay {
		seen := len(c.limiters) - 1 - unseen
		return max(0, AssumedHosts-1-seen)
	}
	return unseen
}

func hostName(n int) string { return fmt.Sprintf("host-%d", n) }

func (c *counts) report(f *fleet, from int, l *Limiter) {
	w := UsageReport{Host: hostName(from), Incarnation: c.incarnations[from], Routing: true, Uses: l.Changes(f.now)}
	size := proto.Size(&pb.Heartbeat{Uses: w.Uses})
	for to, other := range c.limiters {
		if to != from {
			f.messages++
			f.bytes += size
		}
		if other != nil && f.receives(to, from) {
			c.lastSeen[to][from] = f.now
			other.ApplyReport(w, f.now)
		}
	}
}

// bucket is a leaky bucket for the strategies that do not use a Limiter.
type bucket struct{ level float64 }

func (b *bucket) admit(full float64, cost int64) bool {
	if b.level >= full {
		return false
	}
	b.level += float64(cost)
	return true
}

// proportional gives each host a share of a limit in proportion to the demand of its callers, which
// hosts report in their heartbeats.
type proportional struct {
	f       *fleet
	buckets []map[string]*bucket
	// requested is the demand at each host in the current interval, rate the smoothed demand that
	// it last reported, and peerRates the rates that each host received from the others.
	requested, rate []map[string]float64
	peerRates       [][]map[string]float64
	next            time.Time
}

func newProportional(f *fleet) *proportional {
	p := &proportional{f: f, buckets: make([]map[string]*bucket, f.hosts), requested: make([]map[string]float64, f.hosts), rate: make([]map[string]float64, f.hosts), peerRates: make([][]map[string]float64, f.hosts)}
	for h := range f.hosts {
		p.restart(h, f.now)
	}
	return p
}

func (p *proportional) restart(host int, _ time.Time) {
	p.buckets[host], p.requested[host], p.rate[host] = map[string]*bucket{}, map[string]float64{}, map[string]float64{}
	p.peerRates[host] = make([]map[string]float64, p.f.hosts)
}

// share returns the fraction of a limit for a host: its fraction of the demand, or an equal one if
// there is no demand.
func (p *proportional) share(host int, name string) float64 {
	own, all := p.rate[host][name], p.rate[host][name]
	for _, rates := range p.peerRates[host] {
		all += rates[name]
	}
	if all <= 0 {
		return 1 / float64(p.f.hosts)
	}
	return own / all
}

func (p *proportional) admit(host int, name string, cost int64, _ time.Time) bool {
	p.requested[host][name] += float64(cost)
	b := p.buckets[host][name]
	if b == nil {
		b = &bucket{}
		p.buckets[host][name] = b
	}
	limit := p.f.organisations[slices.IndexFunc(p.f.organisations, func(o *organisation) bool { return o.name == name })].limit
	tolerance := p.f.terms.Over*(limit.PerSecond*p.f.terms.Window.Seconds()+limit.Burst) + p.f.terms.Slack
	return b.admit((limit.Burst+burstShare*tolerance)*p.share(host, name), cost)
}

// smoothingWeight is the weight of one interval in the smoothed demand, which averages over about
// half a second.
const smoothingWeight = 0.3

func (p *proportional) tick(f *fleet) {
	for host, buckets := range p.buckets {
		for _, o := range f.organisations {
			if b := buckets[o.name]; b != nil {
				b.level = max(0, b.level-o.limit.PerSecond*step.Seconds()*p.share(host, o.name))
			}
		}
	}
	if f.now.Before(p.next) {
		return
	}
	p.next = f.now.Add(testInterval)
	for from := range p.requested {
		for _, o := range f.organisations {
			p.rate[from][o.name] += smoothingWeight * (p.requested[from][o.name]/testInterval.Seconds() - p.rate[from][o.name])
		}
		p.requested[from] = map[string]float64{}
		rates := map[string]float64{}
		for name, rate := range p.rate[from] {
			rates[name] = rate
		}
		for to := range p.requested {
			if to != from {
				f.messages++
				f.bytes += 16 * len(rates)
			}
			if f.receives(to, from) {
				p.peerRates[to][from] = rates
			}
		}
	}
}

// batches lets one host per organisation, selected by the organisation's name, grant tokens to the
// others in batches. A host that cannot reach that host refuses requests.
type batches struct {
	f *fleet
	// owners holds each organisation's bucket on its owner, remaining what each host has left of
	// its last batches.
	owners    map[string]*bucket
	remaining []map[string]float64
}

// batchSeconds is the size of a batch, in seconds of an equal share of the rate.
const batchSeconds = 0.5

func newBatches(f *fleet) *batches {
	b := &batches{f: f, owners: map[string]*bucket{}, remaining: make([]map[string]float64, f.hosts)}
	for h := range f.hosts {
		b.restart(h, f.now)
	}
	return b
}

func (b *batches) owner(name string) int { return int(key(name) % uint64(b.f.hosts)) }

func (b *batches) restart(host int, _ time.Time) {
	b.remaining[host] = map[string]float64{}
	for _, o := range b.f.organisations {
		if b.owner(o.name) == host {
			// The owner has no record of what it granted before, so it assumes that the burst is
			// used up.
			b.owners[o.name] = &bucket{level: o.limit.Burst}
		}
	}
}

func (b *batches) admit(host int, name string, cost int64, _ time.Time) bool {
	if b.remaining[host][name] <= 0 {
		b.refill(host, name, cost)
	}
	if b.remaining[host][name] <= 0 {
		return false
	}
	b.remaining[host][name] -= float64(cost)
	return true
}

func (b *batches) refill(host int, name string, cost int64) {
	f := b.f
	f.messages += 2
	f.bytes += 2 * 40
	owner := b.owner(name)
	if owner != host && !f.receives(owner, host) {
		return
	}
	limit := f.organisations[slices.IndexFunc(f.organisations, func(o *organisation) bool { return o.name == name })].limit
	have := b.owners[name]
	if have == nil {
		have = &bucket{}
		b.owners[name] = have
	}
	wanted := max(float64(cost), batchSeconds*limit.PerSecond/float64(f.hosts))
	if have.admit(limit.Burst, int64(wanted)) {
		b.remaining[host][name] += wanted
	}
}

func (b *batches) tick(f *fleet) {
	for _, o := range f.organisations {
		if have := b.owners[o.name]; have != nil {
			have.level = max(0, have.level-o.limit.PerSecond*step.Seconds())
		}
	}
}
