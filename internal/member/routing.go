package member

import (
	"cmp"
	"slices"
)

const (
	// largeShare of the processor time that the largest host gives makes a host a
	// large one: it tells large hosts from small ones, and not hosts of one size from
	// each other.
	largeShare = 0.5
	// leastRouting is the number of large hosts below which small ones route too:
	// four carry the callers of a site between them, even while one of them is slow.
	leastRouting = 4
	// FewHosts is the size of a fleet of which all hosts route where too few are
	// large: so many can each tell every other of each long prompt.
	FewHosts = 24
	// fewShare of the processor time of a small fleet is what its large hosts must
	// give together to carry what all are there for.
	fewShare = 0.2
	// fleetShare is the same for a larger fleet. Callers' requests take about a
	// twentieth of a fleet's processor time; the hosts that serve them have three times
	// as much for waves, and for what they tell each other.
	fleetShare = 0.15
	// zoneShare of a zone's processor time is what its own routing hosts give at the
	// least, so that its callers need not leave it.
	zoneShare = 0.1
	// zoneHosts is the least number of routing hosts of a zone: one may be lost.
	zoneHosts = 2
	// maxRouting bounds the routing hosts: callers take so many addresses, and each
	// routing host tells every other of what it sends.
	maxRouting = 64
)

// Candidate is a live host that may route.
type Candidate struct {
	ID   string
	Zone string
	// Cores is the processor time that the host gives, 0 where it does not say.
	Cores float64
	// Order is the host's place among hosts of its kind: the same everywhere, and
	// without a meaning.
	Order uint64
}

// Routing returns the hosts to which callers are sent, by ID: the large ones, and
// as many small ones as are needed beside them for a share of the processor time
// of the fleet and of each zone. What a host sends to a replica must be known soon
// to all that route, which only so many can tell each other; and the fewer are
// left of the large hosts, the more small ones follow, one by one. All hosts that
// know of the same live ones choose alike.
func Routing(hosts []Candidate) map[string]bool {
	if len(hosts) <= FewHosts {
		return routingOfFew(hosts)
	}
	c := newChoice(hosts)
	for _, h := range c.large {
		c.take(h)
	}
	for _, zone := range c.zones {
		c.fillZone(zone)
	}
	c.fillFleet()
	return c.chosen
}

func routingOfFew(hosts []Candidate) map[string]bool {
	large, _ := bySize(hosts)
	if len(large) < leastRouting || coresOf(large) < coresOf(hosts)*fewShare {
		large = hosts
	}
	chosen := map[string]bool{}
	for _, h := range large {
		chosen[h.ID] = true
	}
	return chosen
}

func coresOf(hosts []Candidate) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += h.Cores
	}
	return sum
}

// bySize parts hosts into the large ones and the others; where all are of one size,
// all are large.
func bySize(hosts []Candidate) (large, small []Candidate) {
	most := 0.0
	for _, h := range hosts {
		most = max(most, h.Cores)
	}
	for _, h := range hosts {
		if h.Cores >= most*largeShare {
			large = append(large, h)
		} else {
			small = append(small, h)
		}
	}
	return large, small
}

// choice is a choice under way.
type choice struct {
	large []Candidate
	// zones are in the order of their names; each zone's small hosts are in theirs.
	zones  []string
	small  map[string][]Candidate
	chosen map[string]bool
	// given and all are the processor time of the chosen hosts and of all; by zone
	// and, under the empty name, of the fleet.
	given, all map[string]float64
	count      map[string]int
}

func newChoice(hosts []Candidate) *choice {
	order := func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.ID, b.ID)) }
	if !slices.IsSortedFunc(hosts, order) {
		hosts = slices.SortedFunc(slices.Values(hosts), order)
	}
	c := &choice{
		small: map[string][]Candidate{}, chosen: map[string]bool{},
		given: map[string]float64{}, all: map[string]float64{}, count: map[string]int{},
	}
	large, small := bySize(hosts)
	if len(large) > maxRouting || len(small) == 0 {
		// One size, or nearly: none stands out.
		large, small = nil, hosts
	}
	c.large = large
	for _, h := range hosts {
		if _, known := c.all[h.Zone]; !known {
			c.zones = append(c.zones, h.Zone)
		}
		c.all[h.Zone] += size(h)
		c.all[""] += size(h)
	}
	slices.Sort(c.zones)
	for _, h := range small {
		c.small[h.Zone] = append(c.small[h.Zone], h)
	}
	return c
}

// size is what a host counts for; hosts that do not say are alike.
func size(h Candidate) float64 {
	if h.Cores <= 0 {
		return 1
	}
	return h.Cores
}

func (c *choice) take(h Candidate) {
	c.chosen[h.ID] = true
	for _, scope := range []string{h.Zone, ""} {
		c.given[scope] += size(h)
		c.count[scope]++
	}
}

// takeFrom takes the next small host of a zone and reports whether there was one.
func (c *choice) takeFrom(zone string) bool {
	left := c.small[zone]
	if len(left) == 0 || len(c.chosen) >= maxRouting {
		return false
	}
	c.small[zone] = left[1:]
	c.take(left[0])
	return true
}

// short reports whether the chosen hosts of a scope are too few.
func (c *choice) short(scope string, share float64, hosts int) bool {
	return c.given[scope] < c.all[scope]*share || c.count[scope] < hosts
}

func (c *choice) fillZone(zone string) {
	for c.short(zone, zoneShare, zoneHosts) && c.takeFrom(zone) {
	}
}

// fillFleet takes small hosts of the zones in turn.
func (c *choice) fillFleet() {
	for took := true; took; {
		took = false
		for _, zone := range c.zones {
			if !c.short("", fleetShare, leastRouting) {
				return
			}
			took = c.takeFrom(zone) || took
		}
	}
}
