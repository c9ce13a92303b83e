package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// playSilence has a server answer nothing for a time, requests being sent before and meanwhile, and then answer
// them in an arbitrary order, all but the first lost ones. It returns the number of answers that were presumed
// lost within overdueThreshold of the silence.
func playSilence(random *rand.Rand, silent time.Duration, maxInterval, lost int) int {
	const expected, spread = 100 * time.Millisecond, 450 * time.Millisecond
	table := newTestTable("a")
	start := time.Now()
	end := start.Add(silent)
	var flights []*Flight
	for at := start.Add(-expected); at.Before(end.Add(-expected - maxCountedSilence)); at = at.Add(time.Duration(20+random.IntN(maxInterval)) * time.Millisecond) {
		flights = append(flights, table.Begin("a", Work{Expected: expected}, at))
	}
	answer := func(f *Flight, now time.Time) {
		f.AnswerStarted(now)
		f.End(Answered, now)
	}
	sound := flights[lost:]
	random.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	for i, f := range sound {
		answer(f, end.Add(spread*time.Duration(i)/time.Duration(len(sound))))
	}
	for now := end.Add(spread); !now.After(end.Add(overdueThreshold)); now = now.Add(50 * time.Millisecond) {
		answer(table.Begin("a", Work{Expected: expected}, now.Add(-expected)), now)
	}
	presumed := 0
	for _, f := range flights {
		if f.PresumedLost() {
			presumed++
		}
	}
	return presumed
}

// TestAnswersAreNotLostBySilence guards against answers that are presumed lost, and count as failures of their
// server, because it was silent and then answered in another order; and against lost ones that are not found then.
func TestAnswersAreNotLostBySilence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, silent := range []time.Duration{800 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
		for _, maxInterval := range []int{20, 120, 600} {
			for i := range 40 {
				if got := playSilence(random, silent, maxInterval, i%2); got != i%2 {
					t.Errorf("silent for %v, a request each %d ms at most: %d answers presumed lost, %d are", silent, 20+maxInterval, got, i%2)
				}
			}
		}
	}
}

// TestLostAnswersAreFoundWhenOverdue guards against lost answers that are found later at servers that were never
// silent, however seldom these are used.
func TestLostAnswersAreFoundWhenOverdue(t *testing.T) {
	const expected = 100 * time.Millisecond
	for _, interval := range []time.Duration{10, 50, 200, 400, 1000, 2000} {
		interval *= time.Millisecond
		table := newTestTable("a")
		start := time.Now()
		lost := table.Begin("a", Work{Expected: expected}, start)
		for waited := interval; waited < expected+overdueThreshold+interval; waited += interval {
			f := table.Begin("a", Work{Expected: expected}, start.Add(waited-min(interval/2, expected)))
			f.AnswerStarted(start.Add(waited))
			f.End(Answered, start.Add(waited))
			if overdue := waited >= expected+overdueThreshold; overdue != lost.PresumedLost() {
				t.Errorf("an answer each %v: presumed lost is %v after %v", interval, !overdue, waited)
			}
		}
	}
}
