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
				l.ApplyReport(UsageReport{Host: hostName(relay), Incarnation: 1, Routing: true, Uses: s.limiters[relay].FullestBuckets(f.now)}, f.now)
			}
		}
	}
}

// TestStandbyHostsKeepLimits guards against rate limits that are exceeded while directories send callers to many
// standby hosts, which receive the levels of buckets later than routing hosts.
func TestStandbyHostsKeepLimits(t *testing.T) {
	for _, standby := range []int{0, 8, 40} {
		terms := Terms{Window: 10 * time.Second, Over: 0.1}
		c := newCounts(6, terms, false)
		f := newFleet(&withStandby{counts: c, standby: make([]*Limiter, standby), nextReport: make([]time.Time, standby)}, terms, 6+standby, 3)
		c.setup = f.configured
		o := f.add(config.RateLimit{Unit: config.Tokens, PerSecond: 100_000, Burst: 100_000}, 6)
		below := f.add(config.RateLimit{Unit: config.Tokens, PerSecond: 100_000, Burst: 100_000}, 0.7)
		f.settle()
		f.run(30 * time.Second)
		worst := f.worstWindow(o)
		refused := float64(below.wronglyRefused) / float64(below.requested)
		t.Logf("%d standby hosts: %.3f of what is allowed in the worst window, %.4f refused of an organisation below its limit", standby, worst, refused)
		if worst > 1 || refused > 0.01 {
			t.Errorf("%d standby hosts: %.3f of what is allowed, and %.4f wrongly refused", standby, worst, refused)
		}
	}
}
