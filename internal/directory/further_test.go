package directory

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/briarlink/briarlink/test/fixedseed"
)

const target = 0.6

// newRandom returns the random source of one answer.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

// answer is one answer of a plan.
type answer struct {
	*Plan
	Addresses []string
}

func choose(zone string, f Fleet, target float64, rng *rand.Rand) answer {
	p := NewPlan(zone, f, target)
	return answer{p, p.Addresses(rng)}
}

// used sets the utilisation of hosts, in thousandths.
func used(utilisation int32, hosts ...Host) []Host {
	out := slices.Clone(hosts)
	for i := range out {
		out[i].Utilisation = utilisation
	}
	return out
}

// standby returns n standby hosts of a zone, idle but for their own tasks.
func standby(zone string, n int) []Host {
	out := used(50, serving(zone, slices.Repeat([]float64{0.192}, n)...)...)
	for i := range out {
		out[i].Address = fmt.Sprint(zone, "-standby-", i)
	}
	return out
}

// shares returns the part of the callers that each host gets, over many answers.
func shares(zone string, f Fleet) map[string]float64 {
	const answers = 4000
	out := map[string]float64{}
	for i := range answers {
		a := choose(zone, f, target, newRandom(uint64(i)))
		for _, address := range a.Addresses {
			out[address] += 1 / float64(len(a.Addresses)) / answers
		}
	}
	return out
}

// TestSaturatedHostsGetHelp guards against directories that send all callers to two saturated hosts
// while standby hosts of the zone are idle.
func TestSaturatedHostsGetHelp(t *testing.T) {
	// 1.44 cores in use need 2.4 at the target: five hosts of 0.192 cores more. A saturated host counts as
	// one and a half: 1.6 cores in use need 4, so 13 hosts more.
	for utilisation, want := range map[int32]int{900: 5, 1000: 13} {
		f := Fleet{Serving: used(utilisation, serving("a", 0.8, 0.8)...), Standby: append(standby("b", 23), standby("a", 23)...)}
		a := choose("a", f, target, newRandom(1))
		if a.Usual != 2 || a.Further != want {
			t.Errorf("utilisation %d: %d usual and %d further hosts are named, want 2 and %d", utilisation, a.Usual, a.Further, want)
		}
		for address := range shares("a", f) {
			if !slices.ContainsFunc(slices.Concat(f.Serving, f.Standby[23:23+want]), func(h Host) bool { return h.Address == address }) {
				t.Errorf("utilisation %d: %s is named, which is not among the first hosts of the zone", utilisation, address)
			}
		}
	}
}

// TestCallersAreSharedByCores guards against small hosts that get as many callers as large ones.
func TestCallersAreSharedByCores(t *testing.T) {
	for _, utilisation := range []int32{700, 850, 1000, 2500} {
		f := Fleet{Serving: used(utilisation, serving("a", 0.8, 0.8, 0.5)...), Standby: standby("a", 23)}
		got := shares("a", f)
		total := 2.1 + 0.192*float64(len(got)-3)
		for address, share := range got {
			cores := 0.192
			if i := slices.IndexFunc(f.Serving, func(h Host) bool { return h.Address == address }); i >= 0 {
				cores = f.Serving[i].Cores
			}
			if relative := share * total / cores; relative < 0.85 || relative > 1.12 {
				t.Errorf("utilisation %d: %s of %g cores gets %.2f times its part of the callers", utilisation, address, cores, relative)
			}
		}
	}
}

// TestAnswerBelowTheTargetIsTheUsualOne guards against callers of an idle fleet that are sent to other
// hosts than before. An answer names exactly the usual hosts while these are used up to the target and no
// others by callers, and in any case while they are used up to half the target.
func TestAnswerBelowTheTargetIsTheUsualOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, 0, 3000)
		usualLimit, othersLimit := int32(target*full), int32(minStandbyUtilisation)
		if rapid.Bool().Draw(t, "busy others") {
			usualLimit, othersLimit = usualLimit/2, 3000
		}
		usual := usualHosts("a", f.Serving)
		for _, hosts := range [][]Host{f.Serving, f.Standby} {
			for i, h := range hosts {
				limit := othersLimit
				if slices.ContainsFunc(usual, func(u Host) bool { return u.Address == h.Address }) {
					limit = usualLimit
				}
				hosts[i].Utilisation = min(h.Utilisation, limit)
			}
		}
		seed := rapid.Uint64().Draw(t, "seed")
		got := choose("a", f, target, newRandom(seed))
		want := choose("a", Fleet{Serving: f.Serving}, 0, newRandom(seed))
		if got.Further != 0 || !slices.Equal(got.Addresses, want.Addresses) {
			t.Errorf("%v are named, want %v", got.Addresses, want.Addresses)
		}
	})
}

// TestAnswersAreSound guards against empty answers, answers that are too long or name a host twice, and
// answers without the usual hosts of full size, in fleets of any load.
func TestAnswersAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t, 0, 3000)
		a := choose("a", f, target, newRandom(rapid.Uint64().Draw(t, "seed")))
		if len(f.Serving) > 0 && len(a.Addresses) == 0 || len(a.Addresses) > MaxAddresses {
			t.Fatalf("an answer names %d hosts", len(a.Addresses))
		}
		sorted := slices.Sorted(slices.Values(a.Addresses))
		if len(slices.Compact(sorted)) != len(a.Addresses) {
			t.Fatalf("an answer names a host twice: %v", a.Addresses)
		}
		usual := usualHosts("a", f.Serving)
		known := slices.Concat(usual, f.Serving, f.Standby)
		for _, address := range a.Addresses {
			i := slices.IndexFunc(known, func(h Host) bool { return h.Address == address })
			if i >= len(usual) && !known[i].reports() {
				t.Fatalf("%s is named, which does not report its utilisation", address)
			}
		}
	})
}

// drawFleet draws a fleet with utilisations in a range.
func drawFleet(t *rapid.T, low, high int32) Fleet {
	draw := func(kind string, limit int) []Host {
		n := rapid.IntRange(0, limit).Draw(t, kind)
		out := make([]Host, n)
		for i := range out {
			out[i] = Host{
				Address: fmt.Sprint(kind, i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Cores:       rapid.SampledFrom([]float64{0, 0.192, 0.4, 0.8, 8}).Draw(t, "cores"),
				Utilisation: rapid.Int32Range(low, high).Draw(t, "utilisation"),
			}
		}
		return out
	}
	return Fleet{Serving: draw("serving", 80), Standby: draw("standby", 200)}
}

// TestHostsWithoutReportsCountAsUsual guards against fleets of mixed builds: a host whose utilisation is
// unknown is named as usual, is not named in addition, and hides no shortage of the others.
func TestHostsWithoutReportsCountAsUsual(t *testing.T) {
	idle, busy, unknown := serving("a", 0.8)[0], serving("a", 0, 0.8)[1], serving("a", 0, 0, 0.8)[2]
	idle.Utilisation, busy.Utilisation = 1, 1000
	silent := used(0, standby("a", 23)...)
	for name, c := range map[string]struct {
		f    Fleet
		want int
	}{
		"no host reports":              {Fleet{Serving: used(0, serving("a", 0.8, 0.8)...), Standby: standby("a", 23)}, 0},
		"one is busy, one unknown":     {Fleet{Serving: []Host{busy, unknown}, Standby: standby("a", 23)}, 7},
		"one is idle, one unknown":     {Fleet{Serving: []Host{idle, unknown}, Standby: standby("a", 23)}, 0},
		"standby hosts do not report":  {Fleet{Serving: used(1000, serving("a", 0.8, 0.8)...), Standby: silent}, 0},
		"half of the standby hosts do": {Fleet{Serving: used(1000, serving("a", 0.8, 0.8)...), Standby: append(silent, standby("a", 4)...)}, 4},
		"busy standby, idle usual":     {Fleet{Serving: used(200, serving("a", 0.8, 0.8)...), Standby: used(1000, standby("a", 23)...)}, 0},
		"no standby hosts":             {Fleet{Serving: used(1000, serving("a", 1, 1, 1)...)}, 0},
		"nobody serves":                {Fleet{Standby: standby("a", 2)}, 0},
	} {
		a := choose("a", c.f, target, newRandom(3))
		if a.Further != c.want {
			t.Errorf("%s: %d further hosts are named, want %d", name, a.Further, c.want)
		}
		for _, h := range usualHosts("a", c.f.Serving) {
			if !slices.Contains(a.Addresses, h.Address) {
				t.Errorf("%s: %s is not named", name, h.Address)
			}
		}
	}
}

// TestZonesLendSpareCores guards against a zone that stays saturated while other zones are idle, and
// against one that sends its callers to zones that are busy themselves.
func TestZonesLendSpareCores(t *testing.T) {
	f := Fleet{Serving: slices.Concat(used(1000, serving("a", 0.8, 0.8)...), used(100, serving("b", 0.8, 0.8)...), used(600, serving("c", 0.8, 0.8)...))}
	got := shares("a", f)
	if lent := got["b-0"] + got["b-1"]; lent < 0.3 || math.Abs(got["b-0"]-got["b-1"]) > 0.05 {
		t.Errorf("zone b gets %.2f of the callers of zone a, want at least 0.3 spread evenly", lent)
	}
	if got["c-0"]+got["c-1"] > 0 {
		t.Error("callers are sent to a zone that is used at the target")
	}
	if a := choose("b", f, target, newRandom(1)); a.Further != 0 {
		t.Errorf("zone b names %d hosts beyond its own", a.Further)
	}
}
