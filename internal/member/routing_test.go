package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/zeebo/xxh3"
	"pgregory.net/rapid"

	_ "github.com/briarlink/briarlink/test/fixedseed"
)

// hostsOf returns hosts of one zone that give so many cores each.
func hostsOf(zone string, cores ...float64) []Candidate {
	var out []Candidate
	for i, c := range cores {
		id := fmt.Sprintf("%s-%d", zone, i)
		out = append(out, Candidate{ID: id, Zone: zone, Cores: c, Order: xxh3.HashString(id)})
	}
	return out
}

// fleet returns zones with so many large and small hosts each.
func fleet(zones, large, small int) []Candidate {
	var out []Candidate
	for z := range zones {
		cores := append(slices.Repeat([]float64{0.8}, large), slices.Repeat([]float64{0.2}, small)...)
		out = append(out, hostsOf(fmt.Sprint("z", z), cores...)...)
	}
	return out
}

// TestLargeHostsOfASmallFleetRoute: while enough of them are left; then all do,
// and never none.
func TestLargeHostsOfASmallFleetRoute(t *testing.T) {
	for name, c := range map[string]struct {
		cores []float64
		want  int
	}{
		"one size":                           {[]float64{0.4, 0.4, 0.4}, 3},
		"unknown sizes":                      {[]float64{0, 0}, 2},
		"large ones":                         {[]float64{0.8, 0.8, 0.2, 0.8, 0.2, 0.8}, 4},
		"too few are large":                  {[]float64{0.8, 0.8, 0.2, 0.8, 0.2}, 5},
		"large ones are a drop in the ocean": {append([]float64{0.2, 0.2, 0.2, 0.2}, slices.Repeat([]float64{0.09}, 20)...), 4},
		"slightly smaller":                   {[]float64{0.8, 0.7, 0.5, 0.4, 0.39}, 4},
		"one":                                {[]float64{0.2}, 1},
		"none":                               {nil, 0},
	} {
		if got := len(Routing(hostsOf("z", c.cores...))); got != c.want {
			t.Errorf("%s: %d hosts route, want %d", name, got, c.want)
		}
	}
}

// TestSmallHostsFollowOneByOne: a fleet of 300 loses its large hosts. With the rule
// that all route once too few are large, 282 hosts told each other of every prompt.
func TestSmallHostsFollowOneByOne(t *testing.T) {
	hosts := fleet(6, 3, 47)
	before := len(Routing(hosts))
	if before != 18 {
		t.Errorf("%d hosts of 300 route, want the 18 large ones", before)
	}
	for left := 17; left >= 0; left-- {
		lost := slices.IndexFunc(hosts, func(c Candidate) bool { return c.Cores > 0.5 })
		hosts = slices.Delete(hosts, lost, lost+1)
		now := Routing(hosts)
		if grown := len(now) - before; grown > 6 {
			t.Errorf("%d more hosts route once %d large ones are left", grown, left)
		}
		before = len(now)
	}
	if before < 40 || before > maxRouting {
		t.Errorf("%d of 282 small hosts route", before)
	}
}

// TestEveryZoneRoutes: callers need not leave a zone that has lost its large hosts.
func TestEveryZoneRoutes(t *testing.T) {
	hosts := slices.DeleteFunc(fleet(6, 3, 47), func(c Candidate) bool { return c.Zone == "z0" && c.Cores > 0.5 })
	n := 0
	for id := range Routing(hosts) {
		if id[:2] == "z0" {
			n++
		}
	}
	if n < zoneHosts || n > 8 {
		t.Errorf("%d hosts of the zone route", n)
	}
}

// TestFleetsOfOtherShapes: of one size, and with a single large host a zone.
func TestFleetsOfOtherShapes(t *testing.T) {
	if n := len(Routing(fleet(6, 0, 50))); n < 40 || n > maxRouting {
		t.Errorf("%d of 300 hosts of one size route", n)
	}
	if n := len(Routing(fleet(6, 1, 49))); n < 12 || n > maxRouting {
		t.Errorf("%d hosts route with one large a zone", n)
	}
	if n := len(Routing(fleet(3, 30, 0))); n < 12 || n > 30 {
		t.Errorf("%d of 90 hosts of one size route", n)
	}
}

// TestRoutingDependsOnTheHostsAlone: in whichever order they are known, some route,
// no more than can tell each other, and one more host changes few others.
func TestRoutingDependsOnTheHostsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(0, 4).Draw(t, "large"), rapid.IntRange(1, 60).Draw(t, "small"))
		want := Routing(hosts)
		if len(want) == 0 || len(hosts) > FewHosts && len(want) > maxRouting {
			t.Fatalf("%d of %d hosts route", len(want), len(hosts))
		}
		shuffled := rapid.Permutation(hosts).Draw(t, "order")
		got := Routing(shuffled)
		for id := range want {
			if !got[id] {
				t.Fatalf("%s routes in one order only", id)
			}
		}
	})
}

func BenchmarkRouting(b *testing.B) {
	hosts := fleet(6, 3, 47)
	for b.Loop() {
		Routing(hosts)
	}
}
