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

// asks sends so many requests to a host, one after the other, and returns the answers.
func asks(t *testing.T, h *host, n int) []caller.Answer {
	t.Helper()
	var out []caller.Answer
	for i := range n {
		r := caller.Request{ID: fmt.Sprint("r-", i), Method: "POST", Path: "/reports/1", Model: "m", Prefix: fmt.Sprintf("p%d:400,q%d:20", i, i), Tokens: "420,16", Deadline: limit}
		answer, err := h.caller().SendTo(t.Context(), h.settings.Listen.Caller, r)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, answer)
	}
	return out
}

// askedOf asks until a server has been sent a request.
func askedOf(t *testing.T, h *host, e *engine.Engine) {
	t.Helper()
	before := e.Arrived()
	eventually(t, "a request at the server", func() bool {
		asks(t, h, 1)
		return e.Arrived() > before
	})
}

// drainTime is how long after a server's word requests may still come to it.
const drainTime = 2 * time.Second

// TestServerThatSaysItLeavesGetsNothingMore tells of requests that came to a server 2,026 ms
// after an answer had told their host that it leaves. The store was silent, and its entry
// said so 12 s later. Hosts took that word from the entry alone: no code read the answer's
// header, and once it does, with the store as silent, nothing comes to the server.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.host("a", s.address)
	eventually(t, "readiness", h.ready)
	s.store.SetMode(store.Silent)
	defer s.store.SetMode(store.Up)
	leaving := s.engines[0]
	leaving.Leave()
	askedOf(t, h, leaving)
	time.Sleep(drainTime)
	before := leaving.Arrived()
	for _, answer := range asks(t, h, 20) {
		if answer.Status != http.StatusOK {
			t.Errorf("answer %+v", answer)
		}
	}
	if n := leaving.Arrived() - before; n != 0 {
		t.Errorf("%d of 20 requests came to a server %v after it had said that it leaves", n, drainTime)
	}
}

// backoffMargin is how long after a server's refusal more requests may be on their way, and
// backoffAllowed how many may come after that.
const (
	backoffMargin  = 500 * time.Millisecond
	backoffAllowed = 2
)

// TestServerThatAsksToBackOffIsLeftAlone tells of a server that had turned a request away and
// asked its host to back off for 3 s, and got 13 requests from it in that time. A refusal said
// only that the request had not run: the answer's Retry-After was not read, and a server
// that turned requests away looked idle. With it read, none come before that is over.
// Where every server asks to back off, callers are told when to come back.
func TestServerThatAsksToBackOffIsLeftAlone(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.host("a", s.address)
	eventually(t, "readiness", h.ready)
	// Long enough for a slow machine to send all of these requests within it.
	const backoff = 10 * time.Second
	busy := s.engines[0]
	var turnedAway atomic.Int64
	busy.OnTurnedAway = func(string, time.Duration) { turnedAway.Add(1) }
	busy.TurnAway(backoff)
	askedOf(t, h, busy)
	time.Sleep(backoffMargin)
	before := turnedAway.Load()
	for _, answer := range asks(t, h, 30) {
		if answer.Status != http.StatusOK || strings.Count(answer.Body, "id: ") != 6 {
			t.Errorf("answer %+v", answer)
		}
	}
	if n := turnedAway.Load() - before; n > backoffAllowed {
		t.Errorf("%d of 30 requests came to a server that had asked to back off for %v", n, backoff)
	}
	s.engines[1].TurnAway(backoff)
	askedOf(t, h, s.engines[1])
	for _, answer := range asks(t, h, 3) {
		if answer.Status != http.StatusServiceUnavailable || answer.RetryAfter < backoff/10 || answer.RetryAfter > backoff {
			t.Errorf("with every server turning away: %d, Retry-After %v", answer.Status, answer.RetryAfter)
		}
	}
	eventually(t, "service after the backoff", func() bool { return asks(t, h, 1)[0].Status == http.StatusOK })
}
