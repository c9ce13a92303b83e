package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/config"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

// inForce is a limit and when operators put it in force.
type inForce struct {
	at    time.Time
	limit config.RateLimit
}

// history is what an organisation's limit was over time.
type history []inForce

// most returns the largest of what the limits allow that were in force in a span.
func (h history) most(terms Terms, from, to time.Time) float64 {
	most := 0.0
	for i, f := range h {
		if f.at.After(to) || i+1 < len(h) && h[i+1].at.Before(from) {
			continue
		}
		most = max(most, f.limit.PerSecond*terms.Window.Seconds()+f.limit.Burst)
	}
	return most
}

// applies is how long a configuration may take until it is in force on every host.
const applies = time.Second

// check reports the first window that holds more than it may: a lower limit counts once
// it has been in force on all hosts for a window.
func (h history) check(t *rapid.T, o *organisation, terms Terms) {
	sum, first := int64(0), 0
	for _, c := range o.let {
		sum += c.cost
		for c.at.Sub(o.let[first].at) >= terms.Window {
			sum -= o.let[first].cost
			first++
		}
		from := o.let[first].at
		allowed := h.most(terms, from.Add(-terms.Window-applies), c.at)*(1+terms.Over) + terms.Slack
		if float64(sum) > allowed {
			t.Fatalf("%s: %d in the window from %v, %.0f allowed", o.name, sum, from.Sub(time.Unix(1_000_000, 0)), allowed)
		}
	}
}

// TestNoScheduleBreaksTheBound draws schedules of lost heartbeats, cuts, kills, losses of
// power and changed limits, which reach each host at another time, while organisations ask
// for up to eight times their limits. In no window may more be let in than the limit, its
// tolerance and the slack allow, counted over all hosts, as an oracle sees it that knows
// each request.
func TestNoScheduleBreaksTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 7).Draw(t, "hosts")
		f := newFleet(nil, testTerms, hosts, rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.05).Draw(t, "loss")
		rate := rapid.Float64Range(47_000, 400_000).Draw(t, "rate")
		o := f.add(config.RateLimit{Unit: config.Tokens, PerSecond: rate, Burst: max(rate, 112_000)}, rapid.Float64Range(0.5, 8).Draw(t, "times"))
		limits := history{{f.now, o.limit}}
		c := newCounts(hosts, testTerms, false)
		c.setup = f.configured
		f.way = c
		f.settle()
		for range rapid.IntRange(3, 9).Draw(t, "actions") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				f.cut[rapid.IntRange(0, hosts-1).Draw(t, "cut")] = rapid.IntRange(1, 2).Draw(t, "group")
			case 1:
				clear(f.cut)
			case 2:
				f.restartSome(rapid.IntRange(1, max(1, hosts/2)).Draw(t, "killed"))
			case 3:
				if rapid.IntRange(0, 3).Draw(t, "power") == 0 {
					f.restartSome(hosts)
				}
			case 4:
				o.limit.PerSecond = rate * rapid.Float64Range(0.3, 1.5).Draw(t, "new rate")
				limits = append(limits, inForce{f.now, o.limit})
				for _, l := range c.limiters {
					f.run(time.Duration(rapid.IntRange(0, int(applies/time.Millisecond)/hosts).Draw(t, "applied")) * time.Millisecond)
					l.SetLimits(f.configured(), f.now)
				}
			}
			f.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		limits.check(t, o, f.terms)
	})
}
