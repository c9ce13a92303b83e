package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/config"
)

// withStandby is the strategy of the Limiter in a fleet whose directories also name standby hosts: these report to
// all routing hosts, and receive the fullest buckets from two relays.
type withStandby struct {
	*counts
	standby    []*Limiter
	nextReport []time.Time
	tickCount  int
}

func (s *withStandby) admit(host int, organisation string, cost int64, now time.Time) bool {
	if host < len(s.limiters) {
		return s.counts.admit(host, organisation, cost, now)
	}
	l := s.standby[host-len(s.limiters)]
	ok := l.Admit(organisation, Size{PromptTokens: int(cost), HasTokenCount: true}, now).Admitted
	if ok && l.ShouldReportNow(organisation) {
		s.nextReport[host-len(s.limiters)] = now
	}
	return ok
}

func (s *withStandby) tick(f *fleet) {
	s.counts.tick(f)
	s.tickCount++
	for i, l := range s.standby {
		name := fmt.Sprint("standby-", i)
		if l == nil {
			l = NewLimiter(s.terms, testInterval, f.now)
			l.SetLimits(s.setup(), f.now)
			s.standby[i] = l
		}
		if !f.now.Before(s.nextReport[i]) {
			s.nextReport[i] = f.now.Add(testInterval)
			l.SetHosts(len(s.limiters), float64(len(s.limiters)), true, f.now)
			w := UsageReport{Host: name, Incarnation: 1, Uses: l.Changes(f.now)}
			for _, routing := range s.limiters {
				routing.ApplyReport(w, f.now)
			}
		}
		for r := range 2 {
			// Relays send heartbeats to standby hosts at every second interval, at any time within it.
			if relay := (i + r) % len(s.limiters); time.Duration(s.tickCount+7*relay)*step%(2*testInterval) == 0 {
				l.ApplyReport(UsageReport{Host: hostName(relay), Incarnation: 1, Routing: true, Uses: s.limiters[relay].FullestBucketsByLoad(f.now)}, f.now)
			}
		}
	}
}

// TestStandbyHostsKeepLimits guards against rate limits that are exceeded while directories send callers to many
// standby hosts, which receive the levels of buckets later than routing hosts, and of some organisations only.
func TestStandbyHostsKeepLimits(t *testing.T) {
	for _, c := range []struct{ standby, organisations int }{{0, 2}, {8, 2}, {40, 2}, {40, 30}} {
		terms := Terms{Window: 10 * time.Second, Over: 0.1}
		counts := newCounts(6, terms, false)
		f := newFleet(&withStandby{counts: counts, standby: make([]*Limiter, c.standby), nextReport: make([]time.Time, c.standby)}, terms, 6+c.standby, 3)
		counts.setup = f.configured
		for i := range c.organisations {
			rate := 100_000 * float64(i/2+1)
			f.add(config.RateLimit{Unit: config.Tokens, PerSecond: rate, Burst: rate}, []float64{6, 0.7}[i%2])
		}
		f.settle()
		f.run(20 * time.Second)
		worst, refused := 0.0, 0.0
		for i, o := range f.organisations {
			worst = max(worst, f.worstWindow(o))
			if i%2 == 1 {
				refused = max(refused, float64(o.wronglyRefused)/float64(o.requested))
			}
		}
		t.Logf("%+v: %.3f of what is allowed in the worst window, %.4f refused of an organisation below its limit", c, worst, refused)
		if worst > 1 || refused > 0.01 {
			t.Errorf("%+v: %.3f of what is allowed, and %.4f wrongly refused", c, worst, refused)
		}
	}
}
