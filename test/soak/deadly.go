package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
)

const (
	// deadlySeeds is the first of the seeds, below and above fleetSeeds, in which one
	// request crashes every server that runs it.
	deadlySeeds = 5000
	// deadlyPause is the mean pause between two attempts at it.
	deadlyPause = 250 * time.Millisecond
	// deadlyDown is how long a crashed server is gone, at most.
	deadlyDown = 1200 * time.Millisecond
	// deadlyCrashes may come before hosts must know of them, touch later; then as many
	// again at the most.
	deadlyCrashes = 3
)

func hasDeadly(seed uint64) bool { return seed%fleetSeeds >= deadlySeeds }

// pressDeadly sends the deadly request again and again, to any host.
func (w *world) pressDeadly(ctx context.Context, rng *rand.Rand) {
	c := w.newCaller(w.hosts)
	for range pressLimit {
		if ctx.Err() != nil {
			return
		}
		s := &sent{kind: kinds[0], key: "key-of-museum-a", host: w.hosts[rng.IntN(len(w.hosts))], deadly: true, body: engine.DeadlyBody}
		w.send(context.WithoutCancel(ctx), c, s, rng)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(2 * deadlyPause)))):
		}
	}
}

// crash ends a start of a server with everything that it runs; another one follows.
func (w *world) crash(s *server, id string) {
	if !s.crashed.CompareAndSwap(false, true) {
		return
	}
	// Begins before the first connection breaks, or what breaks with it would not be excused.
	end := w.faults.begin(crashUnderRequest, nil, false)
	s.front.leave()
	go func() {
		defer end()
		s.replacing.Lock()
		defer s.replacing.Unlock()
		time.Sleep(time.Duration(rand.Int64N(int64(deadlyDown))))
		if s.current().ID == id {
			w.begin(s)
			w.store.Put(platform.ReplicaTopic, id, nil)
		}
		if err := s.front.back(); err != nil {
			w.seen.fail("%s does not come back: %v", id, err)
		}
		s.crashed.Store(false)
	}()
}

// crashUnderRequest is the disturbance of servers that crash under a request. It excuses
// what is lost with them, and no host.
const crashUnderRequest = "crash of a server under a request"

// judgeDeadly counts the runs of the deadly request that hosts in touch sent on when they
// had to know of three crashes.
func (w *world) judgeDeadly(requests []*sent) {
	type deadlyRun struct {
		at time.Time
		of *sent
	}
	var runs []deadlyRun
	for _, s := range requests {
		if !s.deadly {
			continue
		}
		for _, r := range w.seen.runsOf(s.id) {
			runs = append(runs, deadlyRun{r.at, s})
		}
	}
	slices.SortFunc(runs, func(a, b deadlyRun) int { return a.at.Compare(b.at) })
	late := 0
	for i, r := range runs {
		if i < deadlyCrashes {
			continue
		}
		known := runs[deadlyCrashes-1].at.Add(touch)
		if r.of.from.After(known) && w.faults.inTouch(r.of.host, r.of.from, r.at) {
			late++
		}
	}
	if late > deadlyCrashes {
		w.seen.fail("a request that had crashed %d servers ran %d times more, sent on by hosts in touch, %d runs in all", deadlyCrashes, late, len(runs))
	}
}

// judgeDenied: no other request is denied for crashes that were not its own.
func (w *world) judgeDenied(s *sent) {
	if s.err == nil && s.answer.Status == http.StatusBadRequest && !s.deadly {
		w.seen.fail("request %s of %s was denied: %s", s.id, s.kind.name, s.answer.Body)
	}
}
