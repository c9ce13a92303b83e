package quota

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/config"
)

var all = flag.Bool("all", false, "compare all strategies at all fleet sizes; takes several minutes")

// testTerms are the terms of a fleet whose limits range from 47,000 to 400,000 tokens a second.
var testTerms = Terms{Window: testWindow, Over: 0.1, Slack: 190_000}

// strategies are the strategies to compare.
var strategies = []struct {
	name string
	make func(f *fleet) strategy
}{
	{"equal shares", func(f *fleet) strategy { return countsOf(f, true) }},
	{"shares by demand", func(f *fleet) strategy { return newProportional(f) }},
	{"counts", func(f *fleet) strategy { return countsOf(f, false) }},
	{"batches of one host", func(f *fleet) strategy { return newBatches(f) }},
}

func countsOf(f *fleet, equal bool) strategy {
	c := newCounts(f.hosts, f.terms, equal)
	c.setup = f.configured
	return c
}

// scenario is a sequence of faults during a simulation.
type scenario struct {
	name string
	run  func(f *fleet)
}

var scenarios = []scenario{
	{"none", func(f *fleet) { f.run(20 * time.Second) }},
	{"a third cut off from each other", func(f *fleet) {
		f.run(6 * time.Second)
		for h := range f.hosts / 3 {
			f.partition[h] = h + 1
		}
		f.run(8 * time.Second)
		clear(f.partition)
		f.run(6 * time.Second)
	}},
	{"halves cut off from each other", func(f *fleet) {
		f.run(6 * time.Second)
		for h := range f.hosts / 2 {
			f.partition[h] = 1
		}
		f.run(8 * time.Second)
		clear(f.partition)
		f.run(6 * time.Second)
	}},
	{"a fifth killed every two seconds", func(f *fleet) {
		for range 10 {
			f.restartSome(f.hosts / 5)
			f.run(2 * time.Second)
		}
	}},
	{"power lost", func(f *fleet) {
		f.run(10 * time.Second)
		f.restartSome(f.hosts)
		f.run(10 * time.Second)
	}},
}

// restartSome kills n random hosts and starts them again half a second later.
func (f *fleet) restartSome(n int) {
	some := f.rng.Perm(f.hosts)[:n]
	for _, h := range some {
		f.down[h] = true
	}
	f.run(500 * time.Millisecond)
	for _, h := range some {
		f.down[h] = false
		f.strategy.restart(h, f.now)
	}
}

// result is the outcome of a simulation.
type result struct {
	// worstWindow is the largest usage admitted in any window, as a fraction of what is allowed.
	worstWindow float64
	// refusedBelowLimit is the fraction wrongly refused of what organisations below their limits
	// should have been admitted. missedAboveLimit is the fraction of their limits that
	// organisations above them were not admitted.
	refusedBelowLimit, missedAboveLimit float64
	// messages and bytes are per host and second.
	messages, bytes float64
}

// simulate runs a scenario with a quarter of the organisations at four times their limits and the
// others at 0.55 of theirs, as they send on average.
func simulate(newStrategy func(f *fleet) strategy, hosts, organisations int, sc scenario) result {
	f := newFleet(nil, testTerms, hosts, 1)
	f.loss = 0.02
	var aboveLimit, belowLimit []*organisation
	for i := range organisations {
		rate := max(3_000, 400_000/float64(i+1)*16/float64(organisations))
		limit := config.RateLimit{Unit: config.Tokens, PerSecond: rate, Burst: rate}
		if i%4 == 1 {
			aboveLimit = append(aboveLimit, f.add(limit, 4))
		} else {
			belowLimit = append(belowLimit, f.add(limit, 0.55))
		}
	}
	f.strategy = newStrategy(f)
	f.settle()
	startedAt := f.now
	f.messages, f.bytes = 0, 0
	sc.run(f)
	r := result{missedAboveLimit: shortfall(aboveLimit), refusedBelowLimit: refusedShare(belowLimit)}
	for _, o := range f.organisations {
		r.worstWindow = max(r.worstWindow, f.worstWindow(o))
	}
	hostSeconds := float64(hosts) * f.now.Sub(startedAt).Seconds()
	r.messages, r.bytes = float64(f.messages)/hostSeconds, float64(f.bytes)/hostSeconds
	return r
}

// refusedShare returns the fraction of the ideally admitted usage that was refused.
func refusedShare(organisations []*organisation) float64 {
	idealAdmitted, wronglyRefused := int64(0), int64(0)
	for _, o := range organisations {
		idealAdmitted += o.idealAdmitted
		wronglyRefused += o.wronglyRefused
	}
	return float64(wronglyRefused) / float64(max(1, idealAdmitted))
}

// shortfall returns the fraction of the ideally admitted usage of organisations above their limits
// that was not admitted. It does not matter which of their requests were admitted.
func shortfall(organisations []*organisation) float64 {
	idealAdmitted, admitted := int64(0), int64(0)
	for _, o := range organisations {
		idealAdmitted += o.idealAdmitted
		for _, c := range o.admitted {
			admitted += c.cost
		}
	}
	return max(0, 1-float64(admitted)/float64(max(1, idealAdmitted)))
}

// TestCompareStrategies prints what each strategy admits and wrongly refuses: the table of
// docs/design. The strategy of the Limiter must admit no more than allowed in each scenario and,
// without partitions, refuse next to nothing of what organisations below their limits send.
func TestCompareStrategies(t *testing.T) {
	var table strings.Builder
	table.WriteString("| hosts | organisations | trouble | way | worst window | refused below limit | of the limit not let in, beyond it | told/s | bytes/s |\n|---|---|---|---|---|---|---|---|---|\n")
	sizes := []struct{ hosts, organisations int }{{9, 16}}
	if *all {
		sizes = append(sizes, []struct{ hosts, organisations int }{{18, 16}, {64, 16}, {18, 190}, {40, 1500}}...)
	}
	for _, size := range sizes {
		for _, sc := range scenarios {
			if size.organisations > 16 && !slices.Contains([]string{"none", "power lost"}, sc.name) {
				continue
			}
			for _, s := range strategies {
				if s.name != "counts" && !*all {
					continue
				}
				if size.organisations > 1000 && s.name != "counts" && s.name != "equal shares" {
					continue
				}
				r := simulate(s.make, size.hosts, size.organisations, sc)
				fmt.Fprintf(&table, "| %d | %d | %s | %s | %.2f | %.1f %% | %.1f %% | %.0f | %.0f |\n",
					size.hosts, size.organisations, sc.name, s.name, r.worstWindow, 100*r.refusedBelowLimit, 100*r.missedAboveLimit, r.messages, r.bytes)
				if s.name != "counts" {
					continue
				}
				if r.worstWindow > 1 {
					t.Errorf("%d hosts, %d organisations, %s: admitted %.2f of what a window may hold", size.hosts, size.organisations, sc.name, r.worstWindow)
				}
				if sc.name == "none" && r.refusedBelowLimit > 0.001 {
					t.Errorf("%d hosts, %d organisations: refused %.2f %% below the limit", size.hosts, size.organisations, 100*r.refusedBelowLimit)
				}
			}
		}
	}
	t.Log("\n" + table.String())
}
