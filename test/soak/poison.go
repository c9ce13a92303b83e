package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
)

const (
	// poisonSeeds is the first of the seeds, below and above fleetSeeds, in which a caller
	// repeats a request that crashes every server that runs it.
	poisonSeeds = 5000
	// poisonPause is the mean pause between two attempts.
	poisonPause = 250 * time.Millisecond
	// maxPoisonDowntime is the maximum downtime of a crashed server.
	maxPoisonDowntime = 1200 * time.Millisecond
	// poisonCrashes is the number of crashes after which hosts must quarantine the request,
	// within recoveryTime. At most as many runs again are allowed after that.
	poisonCrashes = 3
	// In the seeds from poisonBlockSeeds up to noticeSeeds, requests that share nothing but the prefix
	// block poisonBlock crash every server that begins to answer one. Hosts must quarantine the block
	// after poisonBlockCrashes, within recoveryTime; maxLaterRuns runs are allowed after that.
	poisonBlockSeeds   = 5500
	poisonBlock        = "dead"
	poisonBlockCrashes = 5
	maxLaterRuns       = 3
)

var crashPoints = []engine.CrashPoint{engine.BeforeHead, engine.AfterHead, engine.WithinEvent, engine.AfterEvent, engine.AfterAnswer}

func hasPoisonBlock(seed uint64) bool {
	return seed%fleetSeeds >= poisonBlockSeeds && seed%fleetSeeds < noticeSeeds
}

// poisonOptions returns how servers crash under poisonBlock in a seed. Answers that end with their
// connection may be complete before the crash, others may not.
func poisonOptions(seed uint64) engine.Options {
	if !hasPoisonBlock(seed) {
		return engine.Options{}
	}
	untilClose := seed%2 == 0
	point := crashPoints[seed/2%uint64(len(crashPoints))]
	if point == engine.AfterAnswer {
		untilClose = true
	}
	return engine.Options{CrashBlock: poisonBlock, CrashPoint: point, UntilClose: untilClose}
}

func hasPoison(seed uint64) bool {
	return seed%fleetSeeds >= poisonSeeds && !hasServerCuts(seed) && !hasSilences(seed) && !hasPromises(seed)
}

// generatePoison repeats the poison request, or sends others with the poison block, each time to a
// random host.
func (fx *fixture) generatePoison(ctx context.Context, rng *rand.Rand) {
	c := fx.newCaller(fx.hosts)
	for range maxRequests {
		if ctx.Err() != nil {
			return
		}
		s := &request{kind: kinds[0], key: "key-of-museum-a", host: fx.hosts[rng.IntN(len(fx.hosts))], poison: true, body: engine.PoisonBody}
		if fx.poisonOptions.CrashBlock != "" {
			s.kind, s.body = kinds[rng.IntN(2)], strings.Repeat("x", rng.IntN(3000))
		}
		fx.send(context.WithoutCancel(ctx), c, s, rng)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(2 * poisonPause)))):
		}
	}
}

// crash ends an incarnation of a server with all requests that it runs, and starts the next
// one after a random downtime.
func (fx *fixture) crash(s *server, id string) {
	if !s.crashed.CompareAndSwap(false, true) {
		return
	}
	// Begin before the first connection breaks, so that the requests on it are excused.
	end := fx.faults.begin(crashWhileRunning, nil, false)
	s.front.shut()
	go func() {
		defer end()
		s.replacing.Lock()
		defer s.replacing.Unlock()
		time.Sleep(time.Duration(rand.Int64N(int64(maxPoisonDowntime))))
		if s.current().ID == id {
			fx.startServer(s)
			fx.store.Put(platform.ReplicaTopic, id, nil)
		}
		if err := s.front.reopen(); err != nil {
			fx.observed.fail("%s does not come back: %v", id, err)
		}
		s.crashed.Store(false)
	}()
}

// crashWhileRunning is the name of the disturbance when a server crashes while running a
// request. It excuses lost answers, but does not count as a disturbance of hosts.
const crashWhileRunning = "crash of a server under a request"

// checkPoison counts the runs of poison requests that undisturbed hosts forwarded more
// than recoveryTime after they had crashed as many servers as hosts may take to notice.
func (fx *fixture) checkPoison(requests []*request) {
	type poisonRun struct {
		at time.Time
		of *request
	}
	var runs []poisonRun
	for _, s := range requests {
		if !s.poison {
			continue
		}
		for _, r := range fx.observed.runsOf(s.id) {
			runs = append(runs, poisonRun{r.at, s})
		}
	}
	slices.SortFunc(runs, func(a, b poisonRun) int { return a.at.Compare(b.at) })
	crashes, allowed, what := poisonCrashes, poisonCrashes, "a request"
	if fx.poisonOptions.CrashBlock != "" {
		crashes, allowed, what = poisonBlockCrashes, maxLaterRuns, "requests with a prefix block"
	}
	late := 0
	for i, r := range runs {
		if i < crashes {
			continue
		}
		known := runs[crashes-1].at.Add(recoveryTime)
		if r.of.from.After(known) && fx.faults.undisturbed(r.of.host, r.of.from, r.at) {
			late++
		}
	}
	if late > allowed {
		fx.observed.fail("%s that had crashed %d servers ran %d times more, forwarded by undisturbed hosts, %d runs in all", what, crashes, late, len(runs))
	}
}

// checkDenied checks that only the poison request is denied.
func (fx *fixture) checkDenied(s *request) {
	if s.err == nil && s.answer.Status == http.StatusBadRequest && !s.poison {
		fx.observed.fail("request %s of %s was denied: %s", s.id, s.kind.name, s.answer.Body)
	}
}
