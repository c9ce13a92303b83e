package limit

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// splitHosts share one organisation's ceiling of splitCeiling units a second.
const (
	splitHosts   = 8
	splitCeiling = 1000.0
	splitLength  = 300 * time.Second
	splitTell    = 500 * time.Millisecond
)

// pattern says which part of the offered load comes to a host at a time.
type pattern func(host int, at time.Duration) float64

var patterns = map[string]pattern{
	"even":   func(int, time.Duration) float64 { return 1.0 / splitHosts },
	"onehot": func(host int, _ time.Duration) float64 { return float64(max(0, 1-host)) },
	"moving": func(host int, at time.Duration) float64 {
		if int(at/(10*time.Second))%splitHosts == host {
			return 1
		}
		return 0
	},
}

// admitted plays offered units a second, in requests of a cost, and returns the
// rate admitted after the first ten seconds. Hosts that do not tell each other
// split evenly.
func admitted(p pattern, offered, cost, ceiling float64, tell bool) float64 {
	var hosts []*Limiter
	for range splitHosts {
		l := NewLimiter()
		mine := ceiling
		if tell {
			l.SetHosts(splitHosts)
		} else {
			mine /= splitHosts
		}
		l.Configure("o", &pb.RateLimit{CeilingPerSecond: mine})
		hosts = append(hosts, l)
	}
	start, sum := time.Now(), 0.0
	const step = 10 * time.Millisecond
	due := make([]float64, splitHosts)
	for i := range due {
		due[i] = cost * float64(i) / splitHosts
	}
	for at := time.Duration(0); at < splitLength; at += step {
		now := start.Add(at)
		for i, l := range hosts {
			for due[i] += offered * p(i, at) * step.Seconds(); due[i] >= cost; due[i] -= cost {
				if _, err := l.Admit("o", cost, now); err == nil && at >= 10*time.Second {
					sum += cost
				}
			}
		}
		if tell && at%splitTell == 0 {
			for i, l := range hosts {
				demand := l.Demand(now)
				for j, other := range hosts {
					if i != j {
						other.Heard(fmt.Sprint(i), demand)
					}
				}
			}
		}
	}
	return sum / (splitLength - 10*time.Second).Seconds()
}

// BenchmarkSplit reports what is admitted in per cent of what ought to be: the
// smaller of what is offered and the ceiling.
func BenchmarkSplit(b *testing.B) {
	for _, name := range []string{"even", "onehot", "moving"} {
		for _, offered := range []float64{500, 3000} {
			for _, tell := range []bool{false, true} {
				split := "static"
				if tell {
					split = "demand"
				}
				b.Run(fmt.Sprintf("%s/%.0f/%s", name, offered, split), func(b *testing.B) {
					rate := 0.0
					for b.Loop() {
						rate = admitted(patterns[name], offered, 1, splitCeiling, tell)
					}
					b.ReportMetric(100*rate/min(offered, splitCeiling), "%admitted")
				})
			}
		}
	}
}

// BenchmarkSplitCoarse is an organisation with a small ceiling and long prompts:
// each host sees a request of 40 units every 5 s.
func BenchmarkSplitCoarse(b *testing.B) {
	rate := 0.0
	for b.Loop() {
		rate = admitted(patterns["even"], 64, 40, 20, true)
	}
	b.ReportMetric(100*rate/20, "%admitted")
}
