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

// setRateLimit sets a rate limit in tokens for the fixture's organisation. Each request of the
// fixture counts as 108 tokens.
func (f *fixture) setRateLimit(perSecond, burst float64) {
	o := f.view.Config.Organisations[0]
	o.RateLimit = &config.RateLimit{Unit: config.Tokens, PerSecond: perSecond, Burst: burst, DefaultTokens: 200}
	now := time.Now()
	f.deps.Limiter.SetLimits([]*config.Organisation{o}, now)
	f.deps.Limiter.SetHosts(1, 1, false, now)
}

// TestOverLimitIsRefused: a request beyond its organisation's limit does not run. It is answered
// at once with 429 and the time after which to retry.
func TestOverLimitIsRefused(t *testing.T) {
	f := newFixture(t)
	f.setRateLimit(1, 100)
	for want, i := http.StatusOK, 0; i < 3; i++ {
		resp, text, _ := f.post(t, "/notes/1", testKey, "")
		if resp == nil || resp.StatusCode != want {
			t.Fatalf("request %d: %v, want %d", i, resp, want)
		}
		if want == http.StatusOK {
			want = http.StatusTooManyRequests
			continue
		}
		retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || retryAfter < 1 || retryAfter > 10 || !strings.Contains(text, `"not_run"`) || !strings.Contains(text, "quota_exceeded") {
			t.Errorf("Retry-After %v (%v): %s", retryAfter, err, text)
		}
	}
	if ran := f.engine.Ran("r-1"); ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}

// TestWhatDoesNotRunIsNotCharged: a request that ends before a replica has run it does not count
// against its organisation's limit.
func TestWhatDoesNotRunIsNotCharged(t *testing.T) {
	f := newFixture(t)
	f.setRateLimit(1, 100)
	for range 5 {
		if resp, _, _ := f.post(t, "/notes/1", testKey, strings.Repeat("x", 2<<10)); resp == nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("a large body: %v", resp)
		}
		f.engine.Next(engine.Refuse)
		if resp, _, _ := f.post(t, "/notes/1", testKey, ""); resp == nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("refused by the engine: %v", resp)
		}
	}
	if resp, _, _ := f.post(t, "/notes/1", testKey, ""); resp == nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after requests that have not run: %v", resp)
	}
}
