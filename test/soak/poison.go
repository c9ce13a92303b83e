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
	// poisonSeeds is the first of the seeds, below and above fleetSeeds, in which one
	// request crashes every server that runs it.
	poisonSeeds = 5000
	// poisonPause is the mean pause between two attempts at it.
	poisonPause = 250 * time.Millisecond
	// poisonDown is how long a crashed server is gone, at most.
	poisonDown = 1200 * time.Millisecond
	// poisonCrashes may come before hosts must know of them, touch later; then as many
	// again at the most.
	poisonCrashes = 3
)

func hasPoison(seed uint64) bool { return seed%fleetSeeds >= poisonSeeds }

// pressPoison sends the poison request again and again, to any host.
func (w *world) pressPoison(ctx context.Context, rng *rand.Rand) {
	c := w.newCaller(w.hosts)
	for range pressLimit {
		if ctx.Err() != nil {
			return
		}
		s := &sent{kind: kinds[0], key: "key-of-museum-a", host: w.hosts[rng.IntN(len(w.hosts))], poison: true, body: engine.PoisonBody}
		w.send(context.WithoutCancel(ctx), c, s, rng)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(2 * poisonPause)))):
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
		time.Sleep(time.Duration(rand.Int64N(int64(poisonDown))))
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

// judgePoison counts the runs of the poison request that hosts in touch sent on when they
// had to know of three crashes.
func (w *world) judgePoison(requests []*sent) {
	type poisonRun struct {
		at time.Time
		of *sent
	}
	var runs []poisonRun
	for _, s := range requests {
		if !s.poison {
			continue
		}
		for _, r := range w.seen.runsOf(s.id) {
			runs = append(runs, poisonRun{r.at, s})
		}
	}
	slices.SortFunc(runs, func(a, b poisonRun) int { return a.at.Compare(b.at) })
	late := 0
	for i, r := range runs {
		if i < poisonCrashes {
			continue
		}
		known := runs[poisonCrashes-1].at.Add(touch)
		if r.of.from.After(known) && w.faults.inTouch(r.of.host, r.of.from, r.at) {
			late++
		}
	}
	if late > poisonCrashes {
		w.seen.fail("a request that had crashed %d servers ran %d times more, sent on by hosts in touch, %d runs in all", poisonCrashes, late, len(runs))
	}
}

// judgeDenied: no other request is denied for crashes that were not its own.
func (w *world) judgeDenied(s *sent) {
	if s.err == nil && s.answer.Status == http.StatusBadRequest && !s.poison {
		w.seen.fail("request %s of %s was denied: %s", s.id, s.kind.name, s.answer.Body)
	}
}
