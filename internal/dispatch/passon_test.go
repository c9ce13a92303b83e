package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
)

// TestPassedOnRunsAreCounted guards against a request that is passed on again and again, as runs at another host that failed
// are not counted, and that is then rejected as if it had not run.
func TestPassedOnRunsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{plan: []behaviour{refusesLate, refuses, refuses, refuses, refuses}, ranAt: map[string]bool{}}
		d, _ := newDispatcher(f)
		began := time.Now()
		d.IsCutOff = func(string) bool {
			return time.Since(began) > minHangTimeout/2 && time.Since(began) < stallPause-lookAgainInterval
		}
		passedOn := 0
		d.PassOn = func(context.Context, *Request, Progress) (*PassedOn, error) {
			passedOn++
			return nil, errkind.New(errkind.BackendLost, "a replica of the other host failed")
		}
		_, err := d.Run(t.Context(), testRequest(config.Idempotent, false, 2), &recorder{})
		if err == nil || errkind.From(err).Kind.Answer().Run == errkind.NotRun || passedOn != 1 {
			t.Errorf("passed on %d times, ended with %v", passedOn, err)
		}
	})
}
