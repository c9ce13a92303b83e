package main

import (
	"math/rand/v2"

	"github.com/briarlink/briarlink/test/standin/engine"
)

const (
	// earlySeeds and lastEarlySeed limit the seeds in which plain servers answer long uploads before they have read them,
	// without a length: half of these whole, the others with a part and a reset.
	earlySeeds, lastEarlySeed = 16000, 16999
	// longUploads is the share of uploads that are long, one in so many, and maxLongUpload their maximum size in bytes.
	longUploads   = 3
	maxLongUpload = 4 << 20
	// maxShortUpload is the size in bytes up to which servers read a body before they answer.
	maxShortUpload = 16 << 10
)

func hasEarlyAnswers(seed uint64) bool {
	return seed%fleetSeeds >= earlySeeds && seed%fleetSeeds <= lastEarlySeed
}

// setEarlyAnswers sets the options of a plain server that listens at an address. No proxy stands before it, which would
// not pass each reset on.
func (fx *fixture) setEarlyAnswers(o *engine.Options, listenAddress string) {
	o.Address, o.TurnAwayOver, o.AnswersEarly = listenAddress, maxShortUpload, true
	o.OnTurnedAwayEarly = fx.observed.recordServerFault
}

// uploadSize draws the size of the body of a request.
func (fx *fixture) uploadSize(k *kind, rng *rand.Rand) int {
	if hasEarlyAnswers(fx.seed) && !k.stream() && rng.IntN(longUploads) == 0 {
		return maxShortUpload + 1 + rng.IntN(maxLongUpload-maxShortUpload)
	}
	return rng.IntN(3000)
}
