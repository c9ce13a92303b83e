package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/replica"
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

// TestStalledStreamOfHostThatIsCutOffIsResumedByAnother guards against streams that end at a host which thinks that it
// reaches no replica, with nothing in their place, and against callers that wait there although another host could go on.
func TestStalledStreamOfHostThatIsCutOffIsResumedByAnother(t *testing.T) {
	for name, c := range map[string]struct {
		silent  behaviour
		reached bool
		within  time.Duration
	}{
		"another host resumes it":       {stallsForGood, true, 2 * minHangTimeout},
		"no other host can be reached":  {stalls, false, stallPause},
		"another host answers it whole": {hangs, true, minHangTimeout},
		"no other host has an answer":   {streamsLate, false, stallPause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{plan: []behaviour{c.silent}, ranAt: map[string]bool{}}
				d, _ := newDispatcher(f)
				out := &recorder{}
				began := time.Now()
				d.IsCutOff = func(string) bool { return time.Since(began) > minHangTimeout/2 }
				d.PassOn = func(_ context.Context, _ *Request, progress Progress) (*PassedOn, error) {
					if !c.reached {
						return nil, errkind.New(errkind.NoBackend, "none")
					}
					if progress.Ran != 1 || !progress.Charged {
						t.Errorf("passed on with %+v", progress)
					}
					return &PassedOn{Host: "h-2", Status: http.StatusOK, Abandon: func() {}, Copy: func(out Answer) error {
						var err error
						if progress.LastEvent == 0 {
							err = out.Start(http.StatusOK, http.Header{})
						}
						for n := int(progress.LastEvent) + 1; n <= testEvents && err == nil; n++ {
							err = out.Event([]byte(eventText(n)))
						}
						return err
					}}, nil
				}
				req := testRequest(config.Streaming, true, 2)
				ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
				defer cancel()
				report, err := d.Run(ctx, req, out)
				took := time.Since(began)
				if err != nil || out.body != wholeStream() || out.wrote != 1 {
					t.Errorf("ended with %v after %v: %q, head written %d times, %+v", err, took, out.body, out.wrote, report)
				}
				if took > c.within+2*watchInterval {
					t.Errorf("complete after %v, want %v", took, c.within)
				}
				time.Sleep(2 * stallPause)
				checkReleased(t, d)
			})
		})
	}
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

// TestSilentReplicaIsKeptUntilAnotherAnswers guards against requests that get an error although their replica answers
// after a second of silence: they were given up for a replica that then rejected them.
func TestSilentReplicaIsKeptUntilAnotherAnswers(t *testing.T) {
	once := func() *retry.Budget { return retry.NewBudget(0, time.Second, 1, 1, time.Now()) }
	for name, c := range map[string]struct {
		plan     []behaviour
		attempts int
		budget   func() *retry.Budget
		// within is the time until the answer is complete.
		within time.Duration
	}{
		"all others reject it":                {plan: []behaviour{answersLate, refuses, refuses, refuses, refuses}, within: stallPause},
		"the only retry left is rejected":     {plan: []behaviour{answersLate, refuses}, budget: once, within: stallPause},
		"none can be reached":                 {plan: []behaviour{answersLate, unreachable, unreachable, unreachable, unreachable}, within: stallPause},
		"another one hangs":                   {plan: []behaviour{answersLate, hangs}, within: stallPause},
		"another one breaks off":              {plan: []behaviour{answersLate, cutsBefore}, within: stallPause},
		"another one fails":                   {plan: []behaviour{answersLate, fails}, within: stallPause},
		"another one cuts its answer":         {plan: []behaviour{answersLate, cutsBody}, within: stallPause},
		"rejected late beside one that hangs": {plan: []behaviour{refusesLate, hangs, answers}, within: stallPause + minHangTimeout},
		"another one answers":                 {plan: []behaviour{hangs, answers}, within: minHangTimeout},
		"the second of the others answers":    {plan: []behaviour{hangs, refuses, answers}, within: minHangTimeout + lookAgainInterval},
		"two hang one after the other":        {plan: []behaviour{hangs, hangs, answers}, attempts: 3, within: 2 * minHangTimeout},
		"both answer at the same time":        {plan: []behaviour{answersLate, answersLate}, within: stallPause},
		"the first breaks, another answers":   {plan: []behaviour{cutsLate, answersLate}, within: minHangTimeout + stallPause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{plan: c.plan, ranAt: map[string]bool{}}
				d, _ := newDispatcher(f)
				if c.budget != nil {
					d.budget = c.budget()
				}
				out := &recorder{}
				began := time.Now()
				req := testRequest(config.Idempotent, false, max(2, c.attempts))
				ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
				defer cancel()
				report, err := d.Run(ctx, req, out)
				took := time.Since(began)
				if err != nil || out.status != http.StatusOK || out.body != wholeBody {
					t.Errorf("ended with %v after %v: status %d, %q, %+v", err, took, out.status, out.body, report.Attempts)
				}
				if took > c.within+2*watchInterval {
					t.Errorf("complete after %v, want %v", took, c.within)
				}
				time.Sleep(2 * stallPause)
				checkReleased(t, d)
			})
		})
	}
}

// TestSilenceAloneEndsNoAnswer guards against answers that end because their replica is silent, whatever other
// replicas do that send no whole event or answer.
func TestSilenceAloneEndsNoAnswer(t *testing.T) {
	others := []behaviour{refuses, refuses, refusesLate, unreachable, timesOut, misdirects, hangs, cutsBefore, cutsBody, fails, unsealed, foreign, answersLate, streamsLate}
	rapid.Check(t, func(rt *rapid.T) {
		silent := rapid.SampledFrom([]behaviour{answersLate, streamsLate, stalls}).Draw(rt, "silent")
		plan := append([]behaviour{silent}, rapid.SliceOfN(rapid.SampledFrom(others), 6, 6).Draw(rt, "others")...)
		attempts := rapid.IntRange(2, 3).Draw(rt, "attempts")
		retries := float64(rapid.IntRange(0, 3).Draw(rt, "retries"))
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			f := &fleet{plan: plan, ranAt: map[string]bool{}}
			d, _ := newDispatcher(f)
			d.budget = retry.NewBudget(0, time.Second, retries, 1, time.Now())
			req := testRequest(config.Streaming, true, attempts)
			out := &recorder{}
			began := time.Now()
			ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
			defer cancel()
			_, err := d.Run(ctx, req, out)
			whole := out.body == wholeBody || out.body == wholeStream()
			switch late := time.Since(began) - 2*stallPause - stallPauseTargets*minHangTimeout; {
			case err != nil || out.status != http.StatusOK || !whole:
				wrong = fmt.Sprintf("ended with %v after %v: status %d, %q", err, time.Since(began), out.status, out.body)
			case late > 0:
				wrong = fmt.Sprintf("complete %v too late", late)
			default:
				synctest.Wait()
				wrong = violation(f, req, out, err)
			}
			time.Sleep(2 * stallPause)
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// TestPauseOfAllReplicasChargesNoRetries guards against retries that are spent on replicas which are silent too, and
// against servers that run requests twice after a pause of all of them.
func TestPauseOfAllReplicasChargesNoRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 40
		f := &fleet{ranAt: map[string]bool{}}
		for range requests {
			f.plan = append(f.plan, answersLate)
		}
		d, _ := newDispatcher(f)
		var charged atomic.Int64
		var wg sync.WaitGroup
		for range requests {
			// Those that begin at the same moment may all choose the same replica.
			time.Sleep(time.Millisecond)
			wg.Go(func() {
				out := &recorder{}
				report, err := d.Run(t.Context(), testRequest(config.Idempotent, false, 2), out)
				if err != nil || out.body != wholeBody {
					t.Errorf("ended with %v: %q", err, out.body)
				}
				charged.Add(int64(report.RetriesCharged))
			})
		}
		wg.Wait()
		if n := charged.Load(); n > 0 || f.runs > requests {
			t.Errorf("%d retries charged, %d requests ran %d times: %v", n, requests, f.runs, f.ranAt)
		}
		time.Sleep(stallPause)
		checkReleased(t, d)
	})
}

// TestStreamThatGoesOnIsNotTakenOver guards against retries that are spent on streams whose replica goes on with them,
// because it owes an answer to another request.
func TestStreamThatGoesOnIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{streamsSteadily}, ranAt: map[string]bool{}}
		d, table := newDispatcher(f)
		time.AfterFunc(steadyPause/2, func() {
			for _, r := range table.Snapshot(testService, "", 0, time.Now()) {
				if r.Requests > 0 {
					table.Begin(r.ID, replica.Work{Expected: time.Millisecond}, time.Now())
				}
			}
		})
		out := &recorder{}
		report, err := d.Run(t.Context(), testRequest(config.Streaming, true, 3), out)
		if err != nil || out.body != wholeStream() || report.Sends != 1 || report.RetriesCharged != 0 {
			t.Errorf("ended with %v: %q, sent %d times, %d retries charged", err, out.body, report.Sends, report.RetriesCharged)
		}
	})
}
