package main

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestAnswersUnderWay guards against a check of silences that misses an answer which ended for nothing, or
// reports one whose end is excused.
func TestAnswersUnderWay(t *testing.T) {
	const lateInGrace = silenceGrace * 9 / 10
	for name, c := range map[string]struct {
		status int
		whole  bool
		err    error
		notRun bool
		// took is how long the request took. stopped is how long before its end SIGTERM came, 0 for none.
		took, stopped time.Duration
		broken        string
	}{
		"whole":                                      {status: http.StatusOK, whole: true, took: time.Second},
		"cut after a silence":                        {status: http.StatusOK, took: 1200 * time.Millisecond, broken: "closed with status 200"},
		"no answer":                                  {err: http.ErrServerClosed, took: time.Second, broken: "closed with status 0"},
		"replaced by a failure":                      {status: http.StatusBadGateway, whole: true, took: time.Second, broken: "failed with status 502"},
		"replaced by a rejection":                    {status: http.StatusServiceUnavailable, whole: true, took: time.Second, broken: "failed with status 503"},
		"rejected before it ran":                     {status: http.StatusServiceUnavailable, whole: true, notRun: true, took: time.Second},
		"cut at the deadline":                        {status: http.StatusOK, took: silenceDeadline},
		"cut early in a stop":                        {status: http.StatusOK, took: 2 * time.Second, stopped: 3 * time.Second, broken: "sent 1.00 s and ended 3.00 s after SIGTERM"},
		"cut late in the grace time":                 {status: http.StatusOK, took: lateInGrace - sentAfterStop, stopped: lateInGrace},
		"cut late in the grace time, sent too late":  {status: http.StatusOK, took: lateInGrace - sentAfterStop - 100*time.Millisecond, stopped: lateInGrace, broken: "sent 3.10 s"},
		"cut long after the grace time of a process": {status: http.StatusOK, took: time.Second, stopped: 2 * silenceGrace, broken: "closed"},
	} {
		fx := testFixture()
		fx.silences = true
		h := &host{id: "entry-0", grace: silenceGrace}
		fx.hosts = []*host{h}
		s := ended(kinds[0], c.status, "seal-of-i-1")
		s.host, s.from, s.answer.Whole, s.err = h, s.to.Add(-c.took), c.whole, c.err
		if c.stopped > 0 {
			h.stops = []time.Time{s.to.Add(-c.stopped)}
		}
		if !c.notRun {
			recordTestRun(fx, "i-1")
		}
		fx.checkUnderWay([]*request{s})
		all := strings.Join(fx.observed.violations, "\n")
		if (c.broken != "") != (all != "") || !strings.Contains(all, c.broken) {
			t.Errorf("%s: want %q among the violations: %q", name, c.broken, all)
		}
	}
}
