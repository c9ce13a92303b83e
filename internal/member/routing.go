package member

import (
	"cmp"
	"slices"
)

const (
	// largeThreshold is the share of the largest host's cores from which a host of a small
	// fleet counts as large. It separates distinct sizes of hosts, but not hosts of nominally
	// equal size. In a larger fleet a host is compared with the small hosts instead.
	largeThreshold = 0.5
	// minSmallHosts is the number of hosts that must be small relative to a host for it to
	// count as large in a larger fleet. A joining host can thus turn others into large hosts
	// but never into small ones, so that no routing host is replaced by a smaller one, and a
	// few outliers change nothing.
	minSmallHosts = 8
	// minLargeHosts is the number of large hosts below which small hosts route too. Four can
	// carry the callers of a site even while one of them is slow.
	minLargeHosts = 4
	// MaxSmallFleet is the size up to which a fleet is small: all its hosts route if too few of
	// them are large, as so many can notify each other of every long prompt.
	MaxSmallFleet = 24
	// smallFleetShare is the share of a small fleet's cores that its large hosts must have
	// together to carry its whole load on their own.
	smallFleetShare = 0.2
	// fleetShare is the share of a larger fleet's cores that the routing hosts must have.
	// Callers' requests need about a twentieth of the fleet's CPU time; three times as much
	// leaves room for load peaks and for the traffic between routing hosts.
	fleetShare = 0.15
	// zoneShare is the share of a zone's cores that its own routing hosts must have, so that
	// its callers can stay in the zone.
	zoneShare = 0.1
	// minZoneRouting is the minimum number of routing hosts per zone, so that one may be lost.
	minZoneRouting = 2
	// maxRouting limits the number of routing hosts, apart from minZoneRouting in each zone.
	// Callers accept that many addresses, and each routing host notifies every other of the
	// requests that it sends.
	maxRouting = 64
)

// Candidate is a live host that may be chosen to route.
type Candidate struct {
	ID   string
	Zone string
	// Cores is the number of CPU cores that the host provides, 0 if it is not reported.
	Cores float64
	// Order breaks ties between hosts of equal size: an arbitrary number that is the same for
	// a host on all hosts.
	Order uint64
}

// Routing selects the hosts that callers are sent to, by ID: the large hosts, or the largest
// of them if there are too many, and as many small hosts as are needed to reach a share of
// the cores of the fleet and of each zone. The number is limited because all routing hosts
// must learn quickly what any of them sends to a replica. As large hosts are lost, small
// ones are added one by one. Hosts that see the same live hosts select the same ones.
func Routing(hosts []Candidate) map[string]bool { return routingWithUnknown(hosts, nil) }

// routingWithUnknown is Routing for a fleet that also has hosts outside the list, which
// provide the given cores in each zone.
func routingWithUnknown(hosts []Candidate, unknown map[string]float64) map[string]bool {
	if len(hosts) <= MaxSmallFleet && len(unknown) == 0 {
		return routingOfSmallFleet(hosts)
	}
	hosts = sortedByOrder(hosts)
	c := newSelection(hosts, unknown)
	for _, zone := range c.zones {
		c.reserveMinimum(zone)
	}
	c.selectLarge(hosts)
	c.fill(func(zone string) bool { return c.belowMinimum(zone, zoneShare, minZoneRouting) })
	c.fill(func(string) bool { return c.belowMinimum("", fleetShare, minLargeHosts) })
	return c.chosen
}

func routingOfSmallFleet(hosts []Candidate) map[string]bool {
	large, _ := splitBySize(hosts)
	if len(large) < minLargeHosts || totalCores(large) < totalCores(hosts)*smallFleetShare {
		large = hosts
	}
	chosen := map[string]bool{}
	for _, h := range large {
		chosen[h.ID] = true
	}
	return chosen
}

func totalCores(hosts []Candidate) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += h.Cores
	}
	return sum
}

// splitBySize separates large hosts from the others. Hosts of equal size are all large.
func splitBySize(hosts []Candidate) (large, small []Candidate) {
	maxCores := 0.0
	for _, h := range hosts {
		maxCores = max(maxCores, h.Cores)
	}
	for _, h := range hosts {
		if h.Cores >= maxCores*largeThreshold {
			large = append(large, h)
		} else {
			small = append(small, h)
		}
	}
	return large, small
}

// selection is the state of a selection of routing hosts.
type selection struct {
	// zones are sorted by name. ranked holds each zone's hosts, largest first, and considered
	// is how many of them were examined.
	zones      []string
	ranked     map[string][]Candidate
	considered map[string]int
	chosen     map[string]bool
	// chosenCores and totalCores are the cores of the chosen hosts and of all hosts, by zone
	// and, under the empty name, for the fleet. chosenCount is the number of chosen hosts by
	// the same keys.
	chosenCores, totalCores map[string]float64
	chosenCount             map[string]int
}

// sortedByOrder returns the hosts sorted by Order.
func sortedByOrder(hosts []Candidate) []Candidate {
	order := func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.ID, b.ID)) }
	if slices.IsSortedFunc(hosts, order) {
		return hosts
	}
	return slices.SortedFunc(slices.Values(hosts), order)
}

func newSelection(hosts []Candidate, unknown map[string]float64) *selection {
	c := &selection{
		ranked: map[string][]Candidate{}, considered: map[string]int{}, chosen: map[string]bool{},
		chosenCores: map[string]float64{}, totalCores: map[string]float64{}, chosenCount: map[string]int{},
	}
	for _, h := range hosts {
		if _, known := c.totalCores[h.Zone]; !known {
			c.zones = append(c.zones, h.Zone)
		}
		c.totalCores[h.Zone] += effectiveCores(h)
		c.totalCores[""] += effectiveCores(h)
		c.ranked[h.Zone] = append(c.ranked[h.Zone], h)
	}
	slices.Sort(c.zones)
	for _, zone := range c.zones {
		slices.SortStableFunc(c.ranked[zone], largerFirst)
	}
	for zone, cores := range unknown {
		c.totalCores[zone] += cores
		c.totalCores[""] += cores
	}
	return c
}

func largerFirst(a, b Candidate) int { return cmp.Compare(effectiveCores(b), effectiveCores(a)) }

// selectLarge selects the large hosts in addition to those reserved for zones, or the
// largest of them if there are too many. If fewer than minLargeHosts hosts are large, it
// selects hosts up to MaxSmallFleet in all, the largest first.
func (c *selection) selectLarge(hosts []Candidate) {
	large, limit := largeHosts(hosts), maxRouting
	if len(large) < minLargeHosts {
		large, limit = hosts, MaxSmallFleet-len(c.chosen)
	}
	large = slices.DeleteFunc(slices.Clone(large), func(h Candidate) bool { return c.chosen[h.ID] })
	for _, h := range largest(large, max(0, limit)) {
		c.selectHost(h)
	}
}

// largeHosts returns the hosts relative to which at least minSmallHosts hosts are small.
func largeHosts(hosts []Candidate) []Candidate {
	sizes := make([]float64, len(hosts))
	for i, h := range hosts {
		sizes[i] = effectiveCores(h)
	}
	slices.Sort(sizes)
	minCores := sizes[min(minSmallHosts, len(sizes))-1] / largeThreshold
	var large []Candidate
	for _, h := range hosts {
		if effectiveCores(h) >= minCores {
			large = append(large, h)
		}
	}
	return large
}

// largest returns the n largest hosts. Ties are resolved by taking zones in turn.
func largest(hosts []Candidate, n int) []Candidate {
	if len(hosts) <= n {
		return hosts
	}
	preceding := precedingInZone(hosts)
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b Candidate) int {
		return cmp.Or(largerFirst(a, b), cmp.Compare(preceding[a.ID], preceding[b.ID]), cmp.Compare(a.Order, b.Order), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:n]
}

// precedingInZone returns, for each host, how many hosts of the same size and zone precede
// it. Unlike a share of the zone's hosts, this is the same on every host that has a record of
// the given ones.
func precedingInZone(hosts []Candidate) map[string]int {
	type group struct {
		zone  string
		cores float64
	}
	counts := map[group]int{}
	preceding := make(map[string]int, len(hosts))
	for _, h := range hosts {
		g := group{h.Zone, effectiveCores(h)}
		preceding[h.ID] = counts[g]
		counts[g]++
	}
	return preceding
}

// effectiveCores returns the cores of a host, or 1 if they are not reported.
func effectiveCores(h Candidate) float64 {
	if h.Cores <= 0 {
		return 1
	}
	return h.Cores
}

func (c *selection) selectHost(h Candidate) {
	c.chosen[h.ID] = true
	for _, scope := range []string{h.Zone, ""} {
		c.chosenCores[scope] += effectiveCores(h)
		c.chosenCount[scope]++
	}
}

// selectNext selects the next host of a zone that is not chosen yet, and reports whether
// there was one.
func (c *selection) selectNext(zone string) bool {
	hosts := c.ranked[zone]
	for c.considered[zone] < len(hosts) {
		h := hosts[c.considered[zone]]
		c.considered[zone]++
		if !c.chosen[h.ID] {
			c.selectHost(h)
			return true
		}
	}
	return false
}

// selectWithinLimit selects the next host of a zone unless the limit on routing hosts is
// reached, and reports whether it selected one.
func (c *selection) selectWithinLimit(zone string) bool {
	return len(c.chosen) < maxRouting+minZoneRouting*len(c.zones) && c.selectNext(zone)
}

// belowMinimum reports whether the hosts chosen for a zone, or for the fleet (""), provide
// less than a share of its cores or are fewer than minHosts.
func (c *selection) belowMinimum(scope string, share float64, minHosts int) bool {
	return c.chosenCores[scope] < c.totalCores[scope]*share || c.chosenCount[scope] < minHosts
}

// reserveMinimum selects the minimum number of routing hosts of a zone.
func (c *selection) reserveMinimum(zone string) {
	for c.chosenCount[zone] < minZoneRouting && c.selectNext(zone) {
	}
}

// fill selects hosts from the zones in turn, from each one as long as it is below its
// minimum.
func (c *selection) fill(belowMinimum func(zone string) bool) {
	for progress := true; progress; {
		progress = false
		for _, zone := range c.zones {
			if belowMinimum(zone) {
				progress = c.selectWithinLimit(zone) || progress
			}
		}
	}
}
