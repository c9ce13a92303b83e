package entry

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/test/standin/engine"
)

// limitTo gives the fixture's organisation a limit in tokens; each request of the
// fixture counts 108.
func (f *fixture) limitTo(perSecond, burst float64) {
	o := f.view.Config.Organisations[0]
	o.RateLimit = &config.RateLimit{Unit: config.Tokens, PerSecond: perSecond, Burst: burst, DefaultTokens: 200}
	now := time.Now()
	f.deps.Limiter.SetLimits([]*config.Organisation{o}, now)
	f.deps.Limiter.SetHosts(1, 1, false, now)
}

// TestOverLimitIsRefused: beyond its limit an organisation gets 429, at once, with the
// time when there will be room; the request has not run.
func TestOverLimitIsRefused(t *testing.T) {
	f := newFixture(t)
	f.limitTo(1, 100)
	for want, times := http.StatusOK, 0; times < 3; times++ {
		resp, text, _ := f.ask(t, "/notes/1", testKey, "")
		if resp == nil || resp.StatusCode != want {
			t.Fatalf("request %d: %v, want %d", times, resp, want)
		}
		if want == http.StatusOK {
			want = http.StatusTooManyRequests
			continue
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || after < 1 || after > 10 || !strings.Contains(text, `"not_run"`) || !strings.Contains(text, "quota_exceeded") {
			t.Errorf("asked back after %v (%v): %s", after, err, text)
		}
	}
	if ran := f.engine.Ran("r-1"); ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}

// TestWhatDoesNotRunIsNotCharged: requests that end before any replica ran them leave the
// organisation its limit.
func TestWhatDoesNotRunIsNotCharged(t *testing.T) {
	f := newFixture(t)
	f.limitTo(1, 100)
	for range 5 {
		if resp, _, _ := f.ask(t, "/notes/1", testKey, strings.Repeat("x", 2<<10)); resp == nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("a large body: %v", resp)
		}
		f.engine.Next(engine.Refuse)
		if resp, _, _ := f.ask(t, "/notes/1", testKey, ""); resp == nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("refused by the engine: %v", resp)
		}
	}
	if resp, _, _ := f.ask(t, "/notes/1", testKey, ""); resp == nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after requests that have not run: %v", resp)
	}
}
