package fairshare

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simReportInterval = 150 * time.Millisecond
	simDeadline       = 1500 * time.Millisecond
	// simRetryRatio limits the attempts at a second server, as hosts do.
	simRetryRatio = 0.2
	// simTarget is the latency target: an answer of a server with a full queue takes 0.3 s.
	simTarget = 450 * time.Millisecond
	// simMaxSends limits the attempts at one request, as hosts do.
	simMaxSends = 5
	// simCallerRetries is how often a caller comes back.
	simCallerRetries = 2
)

// traffic is what one organisation sends.
type traffic struct {
	organisation string
	rate, cost   float64
	urgent       bool
	from, to     time.Duration
	// deadline is simDeadline if it is 0.
	deadline     time.Duration
	sent, inTime int
	// refusedTwice counts requests that were refused again after they came back.
	refusedTwice int
}

// simServer serves requests one by one in each of its slots, and rejects those beyond its queue.
type simServer struct {
	slots, queue, load int
	// speed is the cost per second and slot.
	speed float64
	down  bool
	// rejects is set if it rejects everything.
	rejects bool
	freeAt  []time.Time
	served  float64
}

type simHost struct {
	name     string
	table    *Table
	down     bool
	cut      bool
	silent   bool
	requests float64
	retries  float64
}

type simRequest struct {
	*traffic
	digest  uint64
	until   time.Time
	refused int
	// window is the measurement in which it was sent.
	window int
}

// sim runs hosts, servers and callers in virtual time.
type sim struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	start    time.Time
	events   eventQueue
	hosts    []*simHost
	servers  []*simServer
	traffics []*traffic
	// window is the number of the measurement or of the pause after it, counting that of the last
	// measurement.
	window, counting int
	// used is the cost per second that servers served in the measurement.
	used float64
	// firstHost is the share of the callers that use the first host.
	firstHost float64
	// callerRetries is how often a caller comes back.
	callerRetries int
	// refusals counts what hosts refused for an organisation's share, waited the requests that waited for
	// room, and inVain those of them that were refused then.
	refusals, waited, inVain int
	// sends counts the attempts, and rejected those that servers rejected.
	sends, rejected int
	// longestWait is the longest time that a request waited.
	longestWait time.Duration
}

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(t *testing.T, hosts int) *sim {
	start := time.Unix(1_800_000_000, 0)
	s := &sim{t: t, rng: rand.New(rand.NewPCG(7, uint64(hosts))), now: start, start: start, callerRetries: simCallerRetries}
	for range hosts {
		s.addHost()
	}
	return s
}

// addServers adds servers that together serve a cost of perSecond.
func (s *sim) addServers(n int, perSecond float64) {
	const slots = 6
	for range n {
		s.servers = append(s.servers, &simServer{slots: slots, queue: slots, speed: perSecond / float64(n*slots), freeAt: make([]time.Time, slots)})
	}
}

func (s *sim) addHost() *simHost {
	h := &simHost{name: fmt.Sprint("h", len(s.hosts)), table: NewTable(uint64(len(s.hosts)))}
	s.hosts = append(s.hosts, h)
	s.after(time.Duration(s.rng.Int64N(int64(simReportInterval))), func() { s.report(h) })
	return h
}

func (s *sim) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now.Add(d), s.rng.Int(), run})
}

func (s *sim) at(d time.Duration, run func()) { s.after(d-s.now.Sub(s.start), run) }

func (s *sim) run(length time.Duration) {
	end := s.start.Add(length)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

func (s *sim) report(h *simHost) {
	if h.down {
		return
	}
	s.after(simReportInterval, func() { s.report(h) })
	demands, refused := h.table.Report(s.now)
	for _, other := range s.hosts {
		if other == h || other.down || other.cut != h.cut {
			continue
		}
		if !h.silent && !other.silent {
			other.table.Apply(h.name, demands, refused, s.now)
		}
	}
}

func (s *sim) send(tr *traffic) {
	if tr.to == 0 {
		tr.to = time.Hour
	}
	s.traffics = append(s.traffics, tr)
	s.at(tr.from, func() { s.arrive(tr) })
}

// arrive lets one caller send, and plans the next.
func (s *sim) arrive(tr *traffic) {
	if s.now.Sub(s.start) >= tr.to {
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()/tr.rate*float64(time.Second)), func() { s.arrive(tr) })
	if s.window == s.counting {
		tr.sent++
	}
	s.try(&simRequest{traffic: tr, digest: s.rng.Uint64(), until: s.now.Add(cmp.Or(tr.deadline, simDeadline)), window: s.window})
}

// measure counts anew what is sent and served from one time until another, and then runs on so that
// callers get their answers.
func (s *sim) measure(from, until time.Duration) {
	s.run(from)
	s.now = s.start.Add(from)
	s.window++
	s.counting = s.window
	s.refusals, s.waited, s.inVain = 0, 0, 0
	s.sends, s.rejected = 0, 0
	for _, tr := range s.traffics {
		tr.sent, tr.inTime, tr.refusedTwice = 0, 0, 0
	}
	for _, server := range s.servers {
		server.served = 0
	}
	s.run(until)
	s.used = 0
	for _, server := range s.servers {
		s.used += server.served / (until - from).Seconds()
	}
	s.window++
	settleTime := simDeadline
	for _, tr := range s.traffics {
		settleTime = max(settleTime, tr.deadline)
	}
	s.run(until + settleTime)
}

func (s *sim) pickHost() *simHost {
	if s.rng.Float64() < s.firstHost && !s.hosts[0].down {
		return s.hosts[0]
	}
	for {
		if h := s.hosts[s.rng.IntN(len(s.hosts))]; !h.down {
			return h
		}
	}
}

func (s *sim) try(r *simRequest) {
	h := s.pickHost()
	request := Request{Service: "s", Organisation: r.organisation, Cost: r.cost, Urgent: r.urgent, Digest: r.digest, Deadline: r.until}
	h.requests++
	decision := Decision{Admitted: true}
	if !h.silent {
		decision = h.table.Admit(request, s.now)
	}
	if decision.Admitted {
		request.Above = decision.Above
		request.LatencyTarget, request.Target = simTarget, s.now.Add(simTarget)
		s.serve(&simAttempts{r: r, h: h, began: s.now, request: request, rejecting: map[int]bool{}})
		return
	}
	s.refusals++
	s.refuse(r, decision.RetryAfter)
}

// refuse lets the caller of a refused request come back after a time.
func (s *sim) refuse(r *simRequest, wait time.Duration) {
	if wait > r.until.Sub(s.now)/3 {
		s.t.Fatalf("Retry-After %v with %v left", wait, r.until.Sub(s.now))
	}
	if r.refused++; r.window == s.counting && r.refused == 2 {
		r.refusedTwice++
	}
	if r.refused <= s.callerRetries {
		s.after(wait, func() { s.try(r) })
	}
}

// simAttempts are the attempts of a host at a request.
type simAttempts struct {
	r       *simRequest
	h       *simHost
	began   time.Time
	request Request
	// rejecting has the servers that rejected it. waited is set once it has waited for room.
	rejecting map[int]bool
	sends     int
	waited    bool
	// reserved is set if its next attempt is charged to the retry budget already.
	reserved bool
}

// serve sends a request to the servers that look least loaded from a host until one takes it, lets it wait
// for room, or refuses it.
func (s *sim) serve(a *simAttempts) {
	excluded := map[int]bool{}
	for i := range s.servers {
		excluded[i] = a.rejecting[i] && !a.waited || !a.h.table.ExpectsRoom("s", fmt.Sprint(i), s.now)
	}
	for {
		best := s.pickServer(excluded)
		if best < 0 || a.sends > 0 && !a.reserved && !s.mayRetry(a) {
			break
		}
		a.reserved = false
		a.sends++
		s.sends++
		if s.enqueue(a.h, best, a.r) {
			return
		}
		s.rejected++
		excluded[best], a.rejecting[best] = true, true
		a.h.table.Rejected(a.request, fmt.Sprint(best), len(a.rejecting), len(s.servers), s.now)
	}
	a.request.Expected = s.expected(a.r)
	pause, wait := a.h.table.AwaitRoom(a.request, a.waited, s.now)
	if wait && (a.h.silent || a.sends > 0 && !a.reserved && !s.mayRetry(a)) {
		a.h.table.EndWait("s")
		wait = false
	}
	if !wait {
		if a.waited {
			s.inVain++
		}
		s.refuse(a.r, a.h.table.Refuse(a.request, s.now))
		return
	}
	if !a.waited {
		s.waited++
	}
	a.waited, a.reserved = true, a.sends > 0
	s.longestWait = max(s.longestWait, s.now.Add(pause).Sub(a.began))
	s.after(pause, func() {
		a.h.table.EndWait("s")
		if !a.h.down {
			s.serve(a)
		}
	})
}

// mayRetry charges a further attempt to the host's budget, if it allows for it.
func (s *sim) mayRetry(a *simAttempts) bool {
	if !a.h.table.MayRetry(a.request, s.now) || a.sends >= simMaxSends || a.h.retries >= simRetryRatio*a.h.requests {
		return false
	}
	a.h.retries++
	return true
}

// expected returns how long an answer of a server with a full queue takes.
func (s *sim) expected(r *simRequest) time.Duration {
	server := s.servers[0]
	rounds := 1 + float64(server.queue)/float64(server.slots)
	return time.Duration(rounds * r.cost / server.speed * float64(time.Second))
}

// pickServer returns the less loaded of two random servers that are up and were not tried, or -1. Hosts
// do not know loads exactly, so that the least loaded one of all would be wrong too.
func (s *sim) pickServer(tried map[int]bool) int {
	best := -1
	for _, i := range s.rng.Perm(len(s.servers)) {
		server := s.servers[i]
		switch {
		case server.down || tried[i]:
		case best < 0:
			best = i
		case server.load < s.servers[best].load:
			return i
		default:
			return best
		}
	}
	return best
}

func (s *sim) enqueue(h *simHost, i int, r *simRequest) bool {
	server := s.servers[i]
	if server.rejects || server.load >= server.slots+server.queue {
		return false
	}
	server.load++
	slot := 0
	for j, free := range server.freeAt {
		if free.Before(server.freeAt[slot]) {
			slot = j
		}
	}
	begin := server.freeAt[slot]
	if begin.Before(s.now) {
		begin = s.now
	}
	server.freeAt[slot] = begin.Add(time.Duration(r.cost / server.speed * float64(time.Second)))
	s.after(server.freeAt[slot].Sub(s.now), func() {
		server.load--
		server.served += r.cost
		if !h.silent {
			h.table.Answered("s", r.cost, s.now)
		}
		if r.window == s.counting && !s.now.After(r.until) {
			r.inTime++
		}
	})
	return true
}
