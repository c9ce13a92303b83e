package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/retry"
)

// TestTakeoverInvariants guards against requests that run or arrive too often, answers that are out of order, and replicas
// that stay busy: all behaviours, callers that leave, hosts that are cut off for a while, and other hosts that answer,
// break off or reject, in any order.
func TestTakeoverInvariants(t *testing.T) {
	all := []behaviour{unreachable, timesOut, refuses, misdirects, cutsBefore, answers, fails, unsealed, foreign, cutsBody, hangs, streams, cutsStream, skips, endsWithinEvent, streamsSlowly, stalls, stallsForGood, stallsAndCuts, streamsLate, answersLate, cutsLate, answersAtCheck, refusesLate}
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]config.Kind{config.Idempotent, config.NonIdempotent, config.Streaming}).Draw(rt, "kind")
		resumable := kind == config.Streaming && rapid.Bool().Draw(rt, "resumable")
		attempts := rapid.IntRange(1, 4).Draw(rt, "attempts")
		plan := rapid.SliceOfN(rapid.SampledFrom(all), 1, 10).Draw(rt, "plan")
		retries := float64(rapid.IntRange(0, 4).Draw(rt, "retries"))
		leaves := time.Duration(rapid.IntRange(1, 100).Draw(rt, "leaves")) * 100 * time.Millisecond
		cutFrom := time.Duration(rapid.IntRange(0, 60).Draw(rt, "cutFrom")) * 100 * time.Millisecond
		cutFor := time.Duration(rapid.IntRange(0, 20).Draw(rt, "cutFor")) * 100 * time.Millisecond
		other := rapid.SampledFrom([]string{"none", "rejects", "answers", "late", "breaks"}).Draw(rt, "other")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			f := &fleet{plan: plan, ranAt: map[string]bool{}}
			d, _ := newDispatcher(f)
			d.budget = retry.NewBudget(0, time.Minute, retries, 1, time.Now())
			began := time.Now()
			d.IsCutOff = func(string) bool {
				s := time.Since(began)
				return s > cutFrom && s < cutFrom+cutFor
			}
			openThere := 0
			thereRuns := 0
			if other != "none" {
				d.PassOn = func(ctx context.Context, _ *Request, p Progress) (*PassedOn, error) {
					switch other {
					case "rejects":
						return nil, errkind.New(errkind.NoBackend, "none")
					case "late":
						thereRuns++
						select {
						case <-time.After(700 * time.Millisecond):
						case <-ctx.Done():
							return nil, errkind.New(errkind.CallerGone, "left")
						}
					default:
						thereRuns++
					}
					openThere++
					return &PassedOn{Host: "h-2", Status: 200, Abandon: func() { openThere-- }, Copy: func(out Answer) error {
						openThere--
						if p.LastEvent == 0 {
							if err := out.Start(200, http.Header{}); err != nil {
								return err
							}
						}
						for n := int(p.LastEvent) + 1; n <= testEvents; n++ {
							if other == "breaks" && n == testEvents {
								return errkind.New(errkind.BackendLost, "broke")
							}
							if err := out.Event([]byte(eventText(n))); err != nil {
								return err
							}
						}
						return nil
					}}, nil
				}
			}
			req := testRequest(kind, resumable, attempts)
			ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
			defer cancel()
			leave := time.AfterFunc(leaves, cancel)
			defer leave.Stop()
			out := &recorder{}
			report, err := d.Run(ctx, req, out)
			took := time.Since(began)
			f.mu.Lock()
			defer f.mu.Unlock()
			status := out.status
			if ctx.Err() == nil || took < leaves {
				wrong = violation(f, req, out, err)
			}
			if err != nil && status == 200 && out.body != "" && !strings.HasPrefix(wholeStream(), out.body) && !strings.HasPrefix(wholeBody, out.body) {
				wrong = fmt.Sprintf("not a beginning: %q", out.body)
			}
			if took > leaves+time.Millisecond && took > 5*time.Second+time.Millisecond {
				wrong = fmt.Sprintf("returned after %v", took)
			}
			if f.runs+thereRuns > attempts && kind != config.NonIdempotent && wrong == "" {
				wrong = fmt.Sprintf("ran %d times here and %d there of %d, %+v", f.runs, thereRuns, attempts, report)
			}
			if float64(report.RetriesCharged) > retries {
				wrong = fmt.Sprintf("charged %d of %v", report.RetriesCharged, retries)
			}
			if n := f.arrivals - 1; n > report.RetriesCharged && wrong == "" {
				wrong = fmt.Sprintf("%d arrivals, %d charged, %+v", f.arrivals, report.RetriesCharged, report)
			}
			f.mu.Unlock()
			time.Sleep(20 * time.Second)
			synctest.Wait()
			f.mu.Lock()
			if openThere != 0 {
				wrong = fmt.Sprintf("%d answers of other hosts open", openThere)
			}
			for _, r := range d.replicas.Snapshot(testService, "", 0, time.Now()) {
				if r.Requests != 0 {
					wrong = fmt.Sprintf("%s has %d requests after the end", r.ID, r.Requests)
				}
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
