package main

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/prefix"
)

const (
	pollInterval      = 200 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	workInterval      = 10 * time.Millisecond
	loadLag           = 200 * time.Millisecond
	eventLag          = 100 * time.Millisecond
	// keptEvents is how many cache events an engine keeps for polls.
	keptEvents = 4000
	crashDown  = 2 * time.Second
	firstToken = 10 * time.Millisecond
)

// sim replays a workload in virtual time over fake replicas.
type sim struct {
	shape    *Shape
	c        *Case
	base     time.Time
	now      time.Duration
	events   eventHeap
	order    int
	rng      *rand.Rand
	replicas []*fakeReplica
	routers  []router
	computed map[prefix.Hash]bool
	stats    *stats
	rate     float64
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{s.now + d, s.order, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *sim) clock() time.Time { return s.base.Add(s.now) }

// fakeReplica is an LRU of pieces before a queue of prefills.
type fakeReplica struct {
	sim         *sim
	id          int
	incarnation uint64
	down        bool
	order       *list.List
	held        map[prefix.Hash]*list.Element
	queue       []*work
	// current is the request in prefill.
	current *work
	// queued is the uncached pieces of the queue and of the prefill at work.
	queued float64
	// until is when the prefill at work ends.
	until time.Duration
	log   []loggedEvent
	next  uint64
	loads []loadReport
}

type loggedEvent struct {
	at time.Duration
	ev *pb.CacheEvent
}

type loadReport struct {
	at     time.Duration
	queued float64
}

func newFakeReplica(s *sim, id int) *fakeReplica {
	r := &fakeReplica{sim: s, id: id}
	r.reset()
	return r
}

func (r *fakeReplica) reset() {
	r.incarnation++
	r.order, r.held = list.New(), map[prefix.Hash]*list.Element{}
	r.queue, r.current, r.queued = nil, nil, 0
	r.log, r.next, r.loads = nil, 0, nil
}

// cached returns the number of leading pieces held.
func (r *fakeReplica) cached(chain []prefix.Hash) int {
	for i, h := range chain {
		if r.held[h] == nil {
			return i
		}
	}
	return len(chain)
}

func (r *fakeReplica) enqueue(w *work) {
	r.queue = append(r.queue, w)
	r.queued += w.pieces - float64(r.cached(w.chain))
	r.changed()
	if r.current == nil {
		r.begin()
	}
}

// changed notes the load for reports.
func (r *fakeReplica) changed() {
	r.loads = append(r.loads, loadReport{r.sim.now, r.queued})
}

func (r *fakeReplica) begin() {
	if len(r.queue) == 0 {
		r.queued = 0
		r.changed()
		return
	}
	w := r.queue[0]
	r.queue, r.current = r.queue[1:], w
	hit := r.cached(w.chain)
	for _, h := range w.chain[:hit] {
		r.order.MoveToFront(r.held[h])
	}
	missing := w.pieces - float64(hit)
	incarnation := r.incarnation
	length := time.Duration(missing * float64(r.sim.shape.Prefill))
	r.until = r.sim.now + length
	r.sim.after(length, func() {
		if r.incarnation == incarnation {
			r.finish(w, hit, missing)
		}
	})
}

func (r *fakeReplica) finish(w *work, hit int, missing float64) {
	for _, h := range w.chain {
		r.store(h)
	}
	r.sim.stats.computed(r.sim, w, hit)
	r.queued = max(0, r.queued-missing)
	r.changed()
	r.current = nil
	r.sim.after(firstToken, func() {
		r.sim.stats.answered(r.sim.now-w.at, w)
		w.router.answered(w, hit)
	})
	r.begin()
}

func (r *fakeReplica) store(h prefix.Hash) {
	if e := r.held[h]; e != nil {
		r.order.MoveToFront(e)
		return
	}
	r.held[h] = r.order.PushFront(h)
	r.publish(h, false)
	if r.order.Len() > r.sim.shape.CachePieces {
		oldest := r.order.Remove(r.order.Back()).(prefix.Hash)
		delete(r.held, oldest)
		r.publish(oldest, true)
	}
}

func (r *fakeReplica) publish(h prefix.Hash, removed bool) {
	ev := &pb.CacheEvent{Sequence: r.next, Hash: uint64(h), Removed: removed}
	r.next++
	if r.sim.rng.Float64() < r.sim.c.EventLoss {
		return
	}
	r.log = append(r.log, loggedEvent{r.sim.now + eventLag + r.sim.c.EventDelay, ev})
	if len(r.log) > keptEvents {
		r.log = r.log[len(r.log)-keptEvents:]
	}
}

// poll answers a router: load with a lag, and the events that have come due.
func (r *fakeReplica) poll(from uint64) *pb.PollResponse {
	resp := &pb.PollResponse{
		Incarnation: r.incarnation, Model: benchModel, Version: benchVersion,
		PrefillUsPerPiece: r.sim.shape.Prefill.Microseconds(), LoadAgeMs: loadLag.Milliseconds(), NextSequence: from,
	}
	for len(r.loads) > 1 && r.loads[1].at <= r.sim.now-loadLag {
		r.loads = r.loads[1:]
	}
	if len(r.loads) > 0 && r.loads[0].at <= r.sim.now-loadLag {
		resp.QueuedPieces = int64(r.loads[0].queued + 0.5)
	}
	for _, l := range r.log {
		if l.ev.Sequence >= from && l.at <= r.sim.now {
			resp.Events = append(resp.Events, l.ev)
			resp.NextSequence = l.ev.Sequence + 1
		}
	}
	return resp
}

// crash empties the replica; what it had is sent elsewhere.
func (r *fakeReplica) crash() {
	lost := r.queue
	r.reset()
	r.down = true
	r.sim.after(crashDown, func() { r.down = false })
	for _, w := range lost {
		r.sim.send(w)
	}
}

// send lets the router pick and hands the request over; a replica that is down
// refuses the connection.
func (s *sim) send(w *work) {
	for range s.replicas {
		picked, ok := w.router.pick(w)
		if !ok {
			break
		}
		if r := s.replicas[picked.replica]; !r.down {
			w.decision = picked
			r.enqueue(w)
			return
		}
		w.tried = append(w.tried, picked.replica)
		w.router.unreachable(picked.replica)
	}
	s.stats.refused(w)
}

// play runs the whole workload.
func (s *sim) play(w *workload, rate float64, length time.Duration) {
	s.arrivals(0, w.rng, rate, func() *arrival { return w.next(s.now) })
	if s.c.Flood {
		extra := rate * w.share(floodOrganisation) * (floodFactor - 1)
		s.arrivals(length/3, w.rng, extra, func() *arrival { return w.of(s.now, floodOrganisation) })
	}
	if s.c.Shift {
		s.after(length/2, w.shift)
	}
	if s.c.Crash {
		for i, at := range []time.Duration{length * 4 / 10, length * 6 / 10, length * 8 / 10} {
			s.after(at, s.replicas[i].crash)
		}
	}
	if s.c.Herd {
		s.after(length/2, func() {
			for _, r := range s.routers {
				r.restart()
			}
		})
	}
	for i, r := range s.routers {
		first := time.Duration(i) * pollInterval / time.Duration(len(s.routers))
		s.every(pollInterval, first, r.poll)
		s.every(heartbeatInterval, first, r.heartbeat)
		s.every(workInterval, first, r.tellWork)
	}
	s.run(length)
}

// arrivals sends a Poisson stream of requests from start on.
func (s *sim) arrivals(start time.Duration, rng *rand.Rand, rate float64, draw func() *arrival) {
	var next func()
	next = func() {
		a := draw()
		s.send(&work{arrival: a, router: s.routers[a.router]})
		s.after(gap(rng, rate), next)
	}
	s.after(start, next)
}

func (s *sim) every(interval, first time.Duration, do func()) {
	var round func()
	round = func() {
		do()
		s.after(interval, round)
	}
	s.after(first, round)
}
