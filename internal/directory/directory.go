// Package directory decides which entry hosts a directory answer names.
//
// While the hosts of a zone have spare CPU time, an answer names the zone's large routing hosts. Once
// they use more than a target, it also names standby hosts of the zone, and then routing hosts of other
// zones. Each host decides alone, based on the last reports of the others.
package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// MaxAddresses is the maximum number of addresses that callers accept in an answer.
const MaxAddresses = 64

const (
	// A host is large if it has at least largeHostShare of the cores of the largest host. Large
	// hosts suffice on their own if they have at least minLargeShare of all cores.
	largeHostShare = 0.5
	minLargeShare  = 0.5
	// minZoneHosts is the minimum number of hosts listed for a zone, so that one may fail.
	minZoneHosts = 2
)

// Host is what a directory uses of a host.
type Host struct {
	// Address is where callers reach it.
	Address string
	Zone    string
	// Cores is the number of CPU cores that it provides, 0 if that is not reported.
	Cores float64
	// Utilisation is the part of them that it uses, in thousandths; 0 if it is unknown.
	Utilisation int32
}

// Fleet holds the hosts that may be named.
type Fleet struct {
	// Serving are the hosts that directories name without regard to load.
	Serving []Host
	// Standby are the ready standby hosts, in an order that all hosts share.
	Standby []Host
}

// Plan says how often the hosts are named in answers for callers in an availability zone. It does not
// change, and is safe for concurrent use.
type Plan struct {
	// Usual is the number of hosts that are named without regard to load, and Further the number of
	// other hosts that answers name, each in a part of them.
	Usual, Further int

	hosts []listed
}

// listed is a host with the part of the answers that name it.
type listed struct {
	address string
	share   float64
}

// NewPlan returns the plan for a zone. target is the utilisation above which further hosts are named; 0
// for none.
func NewPlan(zone string, f Fleet, target float64) *Plan {
	usual := usualHosts(zone, f.Serving)
	var further []named
	if target > 0 {
		further = furtherHosts(zone, usual, f, target)
	}
	p := &Plan{Usual: len(usual), Further: len(further)}
	if p.Further > 0 {
		p.hosts = byShare(append(byCores(usual), further...))
		return p
	}
	for _, h := range usual {
		p.hosts = append(p.hosts, listed{h.Address, 1})
	}
	return p
}

// Addresses returns the addresses of one answer, in random order.
//
// Systematic sampling keeps their number constant up to one: with a number that varies more, the hosts
// that are in each answer would get more than their part, as callers choose uniformly.
func (p *Plan) Addresses(rng *rand.Rand) []string {
	hosts := slices.Clone(p.hosts)
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var out []string
	next, sum := rng.Float64(), 0.0
	for _, h := range hosts {
		if h.share >= 1 {
			out = append(out, h.address)
			continue
		}
		if sum += h.share; sum > next {
			out = append(out, h.address)
			next++
		}
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), MaxAddresses)]
}

// usualHosts returns the serving hosts that callers in an availability zone should use: those in
// the zone, to limit cross-zone traffic, or all if the zone has too few. Callers choose among
// them uniformly, so small hosts, which route where a zone has lost its large ones, are listed
// only if the large ones have too few cores in all.
func usualHosts(zone string, serving []Host) []Host {
	maxCores, totalCores := 0.0, 0.0
	for _, h := range serving {
		maxCores = max(maxCores, h.Cores)
		totalCores += h.Cores
	}
	var large, inZone []Host
	largeTotal := 0.0
	for _, h := range serving {
		if h.Cores >= largeHostShare*maxCores {
			large = append(large, h)
			largeTotal += h.Cores
		}
	}
	if largeTotal < minLargeShare*totalCores {
		large = serving
	}
	for _, h := range large {
		if h.Zone == zone {
			inZone = append(inZone, h)
		}
	}
	if len(inZone) >= minZoneHosts {
		return inZone
	}
	return large
}

// named is a host with the number of cores that callers are to use of it.
type named struct {
	Host
	cores float64
}

// byCores names hosts by their cores. A host that does not report them is in each answer.
func byCores(hosts []Host) []named {
	largest := slices.MaxFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Cores, b.Cores) }).Cores
	out := make([]named, len(hosts))
	for i, h := range hosts {
		out[i] = named{h, h.Cores}
		if h.Cores <= 0 {
			out[i].cores = largest
		}
	}
	return out
}

// byShare returns the part of the answers that names each host: its cores relative to the largest host's,
// as callers choose among the addresses of an answer uniformly.
func byShare(hosts []named) []listed {
	largest := slices.MaxFunc(hosts, func(a, b named) int { return cmp.Compare(a.cores, b.cores) }).cores
	total := 0.0
	for _, h := range hosts {
		total += h.cores / largest
	}
	scale := min(1, MaxAddresses/total)
	out := make([]listed, len(hosts))
	for i, h := range hosts {
		out[i] = listed{h.Address, h.cores / largest * scale}
	}
	return out
}
