package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	step = 50 * time.Millisecond
	// simWindow and simInterval are how long utilisation is measured and how often it is reported.
	simWindow, simInterval = 500 * time.Millisecond, 150 * time.Millisecond
	// simTransit is the longest age of a report at a host that answers directory queries. Most of these
	// are on standby, and receive the reports of other standby hosts in rotation: simStandbyTransit.
	simTransit, simStandbyTransit = time.Second, 6 * time.Second
	// simCallers is the number of callers of a zone.
	simCallers = 300
)

// simHost is a host that works off what callers bring to it.
type simHost struct {
	Host
	standby bool
	// silent is set while the host's reports do not arrive.
	silent bool
	lost   bool
	// backlog is the work that waits, in seconds of one core; used is what was done in each step.
	backlog float64
	used    []float64
	// reports are the utilisations reported at each interval.
	reports []int32
}

// simCaller chooses uniformly among the hosts of its last answer, which it keeps for 1 to 5 s.
type simCaller struct {
	zone      string
	addresses []string
	expires   time.Duration
}

// fleetSim is a fleet with callers, in virtual time.
type fleetSim struct {
	rng     *rand.Rand
	now     time.Duration
	hosts   []*simHost
	callers []*simCaller
	// demand is the work that all callers of a zone bring, in cores.
	demand map[string]float64
	target float64
}

func newFleetSim(f Fleet, demand map[string]float64) *fleetSim {
	s := &fleetSim{rng: newRandom(11), demand: demand, target: target}
	for i, h := range slices.Concat(f.Serving, f.Standby) {
		s.hosts = append(s.hosts, &simHost{Host: h, standby: i >= len(f.Serving)})
	}
	for zone := range demand {
		for range simCallers {
			s.callers = append(s.callers, &simCaller{zone: zone})
		}
	}
	slices.SortStableFunc(s.callers, func(a, b *simCaller) int { return int(a.zone[0]) - int(b.zone[0]) })
	return s
}

// run advances the simulation.
func (s *fleetSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += step {
		s.bringWork()
		for _, h := range s.hosts {
			h.work(s.now)
		}
	}
}

func (s *fleetSim) bringWork() {
	byAddress := map[string]*simHost{}
	for _, h := range s.hosts {
		byAddress[h.Address] = h
	}
	for _, c := range s.callers {
		if s.now >= c.expires {
			c.addresses = choose(c.zone, s.view(), s.target, s.rng).Addresses
			c.expires = s.now + time.Second + time.Duration(s.rng.Int64N(int64(4*time.Second)))
		}
		for _, address := range c.addresses {
			// Callers leave a lost host at once, as it refuses connections.
			if h := byAddress[address]; !h.lost {
				h.backlog += s.demand[c.zone] / simCallers * step.Seconds() / float64(len(c.addresses))
			}
		}
	}
}

// view returns the fleet as some host sees it, from reports of different ages.
func (s *fleetSim) view() Fleet {
	var f Fleet
	onStandby := s.rng.IntN(10) > 0
	for _, h := range s.hosts {
		if h.lost {
			continue
		}
		host := h.Host
		host.Utilisation = 0
		transit := simTransit
		if h.standby && onStandby {
			transit = simStandbyTransit
		}
		late := int(s.rng.Int64N(int64(transit)) / int64(simInterval))
		if n := len(h.reports) - late; n > 0 {
			host.Utilisation = h.reports[n-1]
		}
		if h.standby {
			f.Standby = append(f.Standby, host)
		} else {
			f.Serving = append(f.Serving, host)
		}
	}
	return f
}

// work works off a step of the backlog and reports. What waits for more than a second is given up by its
// callers.
func (h *simHost) work(now time.Duration) {
	done := min(h.backlog, h.Cores*step.Seconds())
	h.backlog = min(h.backlog-done, h.Cores)
	h.used = append(h.used, done)
	if now%simInterval != 0 || h.silent || len(h.used) < int(simWindow/step) {
		return
	}
	h.reports = append(h.reports, max(1, int32(full*h.utilisation(simWindow))))
}

// utilisation returns the part of its cores that the host used over a time.
func (h *simHost) utilisation(d time.Duration) float64 {
	n := min(len(h.used), int(d/step))
	sum := 0.0
	for _, u := range h.used[len(h.used)-n:] {
		sum += u
	}
	return sum / (h.Cores * float64(n) * step.Seconds())
}

// busiest returns the highest utilisation over a time among the hosts of a zone, or of all ("").
func (s *fleetSim) busiest(zone string, d time.Duration) float64 {
	out := 0.0
	for _, h := range s.hosts {
		if !h.lost && (zone == "" || h.Zone == zone) {
			out = max(out, h.utilisation(d))
		}
	}
	return out
}

// backlog returns the work that waits at all hosts.
func (s *fleetSim) backlog() float64 {
	sum := 0.0
	for _, h := range s.hosts {
		sum += h.backlog
	}
	return sum
}

// firstCustomer returns the hosts of the first customer: six large ones and 69 small ones in three zones.
func firstCustomer() Fleet {
	var f Fleet
	for _, zone := range []string{"a", "b", "c"} {
		f.Serving = append(f.Serving, serving(zone, 0.8, 0.8)...)
		f.Standby = append(f.Standby, standby(zone, 23)...)
	}
	return f
}

// evenly returns a demand of the same number of cores in each zone.
func evenly(cores float64, zones ...string) map[string]float64 {
	out := map[string]float64{}
	for _, zone := range zones {
		out[zone] = cores
	}
	return out
}

// TestSaturatedFleetRecoversAndStaysSo guards against callers that wait at saturated hosts for more than a few
// seconds, and against answers that send them back and forth between large and small hosts.
func TestSaturatedFleetRecoversAndStaysSo(t *testing.T) {
	for _, demand := range []float64{1.2, 2, 3} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			s := newFleetSim(firstCustomer(), evenly(0.5, "a", "b", "c"))
			s.run(5 * time.Second)
			s.demand = evenly(demand, "a", "b", "c")
			recovered := time.Duration(0)
			for d := time.Duration(0); d < 12*time.Second; d += simWindow {
				s.run(simWindow)
				if s.busiest("", simWindow) > 0.95 {
					recovered = d + simWindow
				}
			}
			low, high := 1.0, 0.0
			for range 20 {
				s.run(time.Second)
				for _, h := range s.hosts[:6] {
					low, high = min(low, h.utilisation(time.Second)), max(high, h.utilisation(time.Second))
				}
			}
			t.Logf("saturated for %v; then the large hosts are used at %.2f to %.2f, the busiest at %.2f", recovered, low, high, s.busiest("", 5*time.Second))
			if recovered > 8*time.Second || low < target-0.15 || high > target+0.15 || s.busiest("", 5*time.Second) > 0.8 {
				t.Error("want saturation for at most 8 s, the large hosts within 0.15 of the target, and none above 0.8")
			}
		})
	}
}

// TestUnevenZonesShareTheirCores guards against a zone that stays saturated beside idle ones, and against
// lending that swings or makes the lenders busier than the zone.
func TestUnevenZonesShareTheirCores(t *testing.T) {
	f := Fleet{Serving: slices.Concat(serving("a", 0.8, 0.8), serving("b", 0.8, 0.8), serving("c", 0.8, 0.8))}
	for _, demand := range []map[string]float64{
		{"a": 1.4, "b": 0.3, "c": 0.4},
		{"a": 2, "b": 0.3, "c": 0.4},
		{"a": 2.4, "b": 0.3, "c": 0.4},
		{"a": 1.6, "b": 1.6, "c": 0.3},
	} {
		s := newFleetSim(f, demand)
		s.run(12 * time.Second)
		low, high := 1.0, 0.0
		for range 20 {
			s.run(time.Second)
			busy := s.busiest("a", time.Second)
			low, high = min(low, busy), max(high, busy)
		}
		others := s.busiest("c", 5*time.Second)
		t.Logf("demand %v, of 1.6 cores each: zone a is used at %.2f to %.2f, zone c at %.2f", demand, low, high, others)
		if high > 0.95 || high-low > 0.2 || others > high {
			t.Errorf("want zone a below 0.95 and steady, and zone c not busier than it")
		}
	}
}

// TestDemandMovesBetweenZones guards against callers that wait for a second and more because the zone that is busy
// changes every four seconds: answers that lag behind would send them to the wrong one.
func TestDemandMovesBetweenZones(t *testing.T) {
	f := Fleet{Serving: slices.Concat(serving("a", 0.8, 0.8), serving("b", 0.8, 0.8), serving("c", 0.8, 0.8))}
	waiting := map[bool]float64{}
	for _, byLoad := range []bool{false, true} {
		s := newFleetSim(f, evenly(0.3, "a", "b", "c"))
		if !byLoad {
			s.target = 0
		}
		for i := range 12 {
			s.demand = evenly(0.3, "a", "b", "c")
			s.demand[string(rune('a'+i%3))] = 2.2
			for range 8 {
				s.run(500 * time.Millisecond)
				waiting[byLoad] += s.backlog() / 96
			}
		}
	}
	t.Logf("work that waits: %.2f core seconds on average, %.2f by load", waiting[false], waiting[true])
	if waiting[true] > 0.8*waiting[false] {
		t.Error("want less than 0.8 times as much by load")
	}
}

// TestFleetsOfOneSize guards against answers that change in fleets without standby hosts: however busy its hosts
// are, a fleet of one zone names all of them.
func TestFleetsOfOneSize(t *testing.T) {
	for _, n := range []int{3, 9} {
		for _, demand := range []float64{0.2, 0.55, 0.9, 2} {
			s := newFleetSim(Fleet{Serving: serving("a", slices.Repeat([]float64{1}, n)...)}, evenly(demand*float64(n), "a"))
			s.run(10 * time.Second)
			if a := choose("a", s.view(), target, s.rng); len(a.Addresses) != n || a.Further != 0 {
				t.Errorf("%d hosts used at %g: %d are named", n, demand, len(a.Addresses))
			}
		}
	}
}

// TestLargeFleetRecovers guards against answers that are too long, or that leave a large fleet saturated: 60 large
// and 940 small hosts in six zones.
func TestLargeFleetRecovers(t *testing.T) {
	var f Fleet
	demand := map[string]float64{}
	for i := range 6 {
		zone := string(rune('a' + i))
		f.Serving = append(f.Serving, serving(zone, slices.Repeat([]float64{0.8}, 10)...)...)
		f.Standby = append(f.Standby, standby(zone, 156+i/2%2)...)
		demand[zone] = 16
	}
	s := newFleetSim(f, demand)
	s.run(12 * time.Second)
	if busy := s.busiest("", 2*time.Second); busy > 0.95 {
		t.Errorf("after 12 s a host is used at %.2f", busy)
	}
	for range 100 {
		if a := choose("a", s.view(), target, s.rng); len(a.Addresses) > MaxAddresses || len(a.Addresses) < 10 {
			t.Fatalf("an answer names %d hosts", len(a.Addresses))
		}
	}
}

// TestFleetSurvivesFailures guards against answers that leave callers without hosts or with saturated ones after a
// failure: in each case the fleet has the cores that callers need.
func TestFleetSurvivesFailures(t *testing.T) {
	large := func(s *fleetSim) []*simHost { return s.hosts[:6] }
	for name, fail := range map[string]func(s *fleetSim){
		"none": func(*fleetSim) {},
		"a large host's reports stop while it is idle": func(s *fleetSim) { large(s)[0].silent = true },
		"a large host never reported":                  func(s *fleetSim) { large(s)[0].silent, large(s)[0].reports = true, nil },
		"reports of half of the standby hosts stop": func(s *fleetSim) {
			for i := 6; i < len(s.hosts); i += 2 {
				s.hosts[i].silent = true
			}
		},
		"a third of the standby hosts is of the build before": func(s *fleetSim) {
			for i := 6; i < len(s.hosts); i += 3 {
				s.hosts[i].silent, s.hosts[i].reports = true, nil
			}
		},
		"a large host is lost": func(s *fleetSim) { large(s)[0].lost = true },
		"a large host starts":  func(s *fleetSim) { large(s)[0].used, large(s)[0].reports = nil, nil },
		"all large hosts are lost, and small ones route": func(s *fleetSim) {
			for _, h := range large(s) {
				h.lost = true
			}
			for i, h := range s.hosts[6:] {
				h.standby = i%23 >= 2
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFleetSim(firstCustomer(), evenly(0.3, "a", "b", "c"))
			s.run(5 * time.Second)
			fail(s)
			s.demand = evenly(1.5, "a", "b", "c")
			s.run(15 * time.Second)
			if busy := s.busiest("", 5*time.Second); busy > 0.95 || s.backlog() > 0.1 {
				t.Errorf("15 s later a host is used at %.2f, and work of %.2f core seconds waits", busy, s.backlog())
			}
			for _, h := range s.hosts {
				if h.lost && h.backlog > 0 {
					t.Errorf("%s is lost and gets callers", h.Address)
				}
			}
		})
	}
}

// TestAnswersAreUsualAgainAfterLoad guards against callers that stay at small hosts after the load has gone.
func TestAnswersAreUsualAgainAfterLoad(t *testing.T) {
	s := newFleetSim(firstCustomer(), evenly(2.5, "a", "b", "c"))
	s.run(15 * time.Second)
	if a := choose("a", s.view(), target, s.rng); a.Further == 0 {
		t.Error("no further hosts are named under load")
	}
	s.demand = evenly(0.5, "a", "b", "c")
	s.run(10 * time.Second)
	if a := choose("a", s.view(), target, s.rng); a.Further != 0 || len(a.Addresses) != 2 {
		t.Errorf("10 s after the load %d further hosts are named", a.Further)
	}
}

// BenchmarkAnswer measures a plan and an answer of a saturated fleet of 1,000 hosts.
func BenchmarkAnswer(b *testing.B) {
	var f Fleet
	for i := range 6 {
		zone := string(rune('a' + i))
		f.Serving = append(f.Serving, used(1000, serving(zone, slices.Repeat([]float64{0.8}, 10)...)...)...)
		f.Standby = append(f.Standby, standby(zone, 156)...)
	}
	rng := newRandom(1)
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			NewPlan("a", f, target)
		}
	})
	plan := NewPlan("a", f, target)
	b.Run("answer", func(b *testing.B) {
		for b.Loop() {
			plan.Addresses(rng)
		}
	})
}
