package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/retry"
)

// withoutRetries is a retry budget that allows none.
func withoutRetries() *retry.Budget { return retry.NewBudget(0, time.Second, 0, 1, time.Now()) }

// checkReleased fails unless nothing is counted as sent to any replica.
func checkReleased(t *testing.T, d *Dispatcher) {
	t.Helper()
	for _, r := range d.replicas.Snapshot(testService, "", 0, time.Now()) {
		if r.Requests != 0 {
			t.Errorf("%s has %d requests after the end", r.ID, r.Requests)
		}
	}
}

// TestStalledStreamIsKeptUntilAnotherReplicaResumesIt guards against streams that are broken off although no replica
// takes them over: an engine that is short of memory pauses its newest stream and goes on with it later.
func TestStalledStreamIsKeptUntilAnotherReplicaResumesIt(t *testing.T) {
	const limit = 2 * minHangTimeout
	for name, c := range map[string]struct {
		plan     []behaviour
		attempts int
		budget   *retry.Budget
		// within is the time until the stream is complete.
		within time.Duration
	}{
		"all others reject it":                    {plan: []behaviour{stalls, refuses, refuses, refuses, refuses}, within: stallPause},
		"none can be reached":                     {plan: []behaviour{stalls, unreachable, unreachable, unreachable, unreachable}, within: stallPause},
		"the retry budget is used up":             {plan: []behaviour{stalls}, budget: withoutRetries(), within: stallPause},
		"another one does not begin in time":      {plan: []behaviour{stalls, hangs}, within: stallPause},
		"another one breaks off before it begins": {plan: []behaviour{stalls, cutsBefore}, attempts: 3, within: stallPause},
		"another one resumes it":                  {plan: []behaviour{stallsForGood, streams}, within: limit},
		"the second of the others resumes it":     {plan: []behaviour{stallsForGood, refuses, streams}, within: 2 * limit},
		"two stall one after the other":           {plan: []behaviour{stallsForGood, stallsForGood, streams}, attempts: 3, within: 2 * limit},
		"the first breaks before another begins":  {plan: []behaviour{stallsAndCuts, streamsLate}, within: limit + stallPause},
		"both begin at the same time":             {plan: []behaviour{stalls, streamsLate}, within: limit + stallPause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{plan: c.plan, ranAt: map[string]bool{}}
				d, _ := newDispatcher(f)
				if c.budget != nil {
					d.budget = c.budget
				}
				out := &recorder{}
				began := time.Now()
				report, err := d.Run(t.Context(), testRequest(config.Streaming, true, max(2, c.attempts)), out)
				took := time.Since(began)
				if err != nil || out.body != wholeStream() {
					t.Errorf("ended with %v after %v: %q, %+v", err, took, out.body, report.Attempts)
				}
				if took > c.within+2*watchInterval {
					t.Errorf("complete after %v, want %v", took, c.within)
				}
				// Replicas that were given up may still be at work.
				time.Sleep(2 * stallPause)
				checkReleased(t, d)
			})
		})
	}
}

// TestStalledStreamEndsAtHostThatIsCutOff guards against callers that wait at a host which reaches no replica: another
// host may resume the stream.
func TestStalledStreamEndsAtHostThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{stallsForGood}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		began := time.Now()
		d.IsCutOff = func(string) bool { return time.Since(began) > minHangTimeout }
		if _, err := d.Run(t.Context(), testRequest(config.Streaming, true, 2), &recorder{}); err == nil || time.Since(began) > 2*minHangTimeout+watchInterval {
			t.Errorf("ended with %v after %v", err, time.Since(began))
		}
		time.Sleep(stallPause)
		checkReleased(t, d)
	})
}

// TestSilentReplicaIsKeptIfNoOtherMayBeTried guards against requests that are given up for a replica that is silent
// for a moment although the retry budget allows no other attempt.
func TestSilentReplicaIsKeptIfNoOtherMayBeTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{answersLate}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		d.budget = withoutRetries()
		out := &recorder{}
		if _, err := d.Run(t.Context(), testRequest(config.Idempotent, false, 3), out); err != nil || out.body != wholeBody {
			t.Errorf("ended with %v: %q", err, out.body)
		}
		checkReleased(t, d)
	})
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{hangs, answers}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		out := &recorder{}
		began := time.Now()
		if _, err := d.Run(t.Context(), testRequest(config.Idempotent, false, 3), out); err != nil || out.body != wholeBody {
			t.Errorf("with retries left, it ended with %v: %q", err, out.body)
		}
		if took := time.Since(began); took > 2*minHangTimeout {
			t.Errorf("answered by another replica after %v", took)
		}
		checkReleased(t, d)
	})
}
