package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/store"
)

// sendReports sends n requests to a host, one after another, and returns the answers.
func sendReports(t *testing.T, h *host, n int) []caller.Answer {
	t.Helper()
	var out []caller.Answer
	for i := range n {
		r := caller.Request{ID: fmt.Sprint("r-", i), Method: "POST", Path: "/reports/1", Model: "m", Prefix: fmt.Sprintf("p%d:400,q%d:20", i, i), Tokens: "420,16", Deadline: waitLimit}
		answer, err := h.caller().SendTo(t.Context(), h.settings.Listen.Caller, r)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, answer)
	}
	return out
}

// sendUntilArrival sends requests until one reaches the server.
func sendUntilArrival(t *testing.T, h *host, e *engine.Engine) {
	t.Helper()
	before := e.Arrived()
	eventually(t, "a request at the server", func() bool {
		sendReports(t, h, 1)
		return e.Arrived() > before
	})
}

// noticeTime is how long after a server's leave notice requests may still reach it.
const noticeTime = 2 * time.Second

// TestServerWithLeaveNoticeGetsNoRequests guards against requests to a leaving server: they
// arrived 2,026 ms after an answer had carried its leave notice. Hosts ignored that header and
// waited for the server's entry, which the unresponsive store delivered 12 s later. Here the
// store is unresponsive too, and the header must suffice.
func TestServerWithLeaveNoticeGetsNoRequests(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.host("a", s.address)
	eventually(t, "readiness", h.ready)
	s.store.SetMode(store.Silent)
	defer s.store.SetMode(store.Up)
	leaving := s.engines[0]
	leaving.Leave()
	sendUntilArrival(t, h, leaving)
	time.Sleep(noticeTime)
	before := leaving.Arrived()
	for _, answer := range sendReports(t, h, 20) {
		if answer.Status != http.StatusOK {
			t.Errorf("answer %+v", answer)
		}
	}
	if n := leaving.Arrived() - before; n != 0 {
		t.Errorf("%d of 20 requests reached a server %v after its leave notice", n, noticeTime)
	}
}

// inFlightTime is how long after a server's rejection more requests may be in flight, and
// maxLateRequests how many may arrive after that.
const (
	inFlightTime    = 500 * time.Millisecond
	maxLateRequests = 2
)

// TestServerBackoffIsRespected guards against requests during a server's requested backoff: a
// server that had rejected a request and requested a backoff of 3 s got 13 more in that time.
// Hosts did not read the Retry-After of a rejection, and a server that rejects requests looks
// idle. If all servers request a backoff, callers are told when to retry.
func TestServerBackoffIsRespected(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.host("a", s.address)
	eventually(t, "readiness", h.ready)
	// This is long enough for a slow machine to send all requests of the test.
	const backoff = 10 * time.Second
	busy := s.engines[0]
	var rejected atomic.Int64
	busy.OnTurnedAway = func(string, time.Duration) { rejected.Add(1) }
	busy.TurnAway(backoff)
	sendUntilArrival(t, h, busy)
	time.Sleep(inFlightTime)
	before := rejected.Load()
	for _, answer := range sendReports(t, h, 30) {
		if answer.Status != http.StatusOK || strings.Count(answer.Body, "id: ") != 6 {
			t.Errorf("answer %+v", answer)
		}
	}
	if n := rejected.Load() - before; n > maxLateRequests {
		t.Errorf("%d of 30 requests reached a server that had requested a backoff of %v", n, backoff)
	}
	s.engines[1].TurnAway(backoff)
	sendUntilArrival(t, h, s.engines[1])
	for _, answer := range sendReports(t, h, 3) {
		if answer.Status != http.StatusServiceUnavailable || answer.RetryAfter < backoff/10 || answer.RetryAfter > backoff {
			t.Errorf("with all servers rejecting requests: %d, Retry-After %v", answer.Status, answer.RetryAfter)
		}
	}
	eventually(t, "service after the backoff", func() bool { return sendReports(t, h, 1)[0].Status == http.StatusOK })
}
