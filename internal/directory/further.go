package directory

const (
	// full is the utilisation, in thousandths, of a host that uses all that it provides.
	full = 1000
	// minStandbyUtilisation is the utilisation above which a standby host counts as used by callers. Its
	// own tasks, such as applying configurations, need up to a tenth of a small host.
	minStandbyUtilisation = 100
	// minUsualShare is the part of the target below which the usual hosts never get help from others. Hosts that
	// share callers are used alike, so standby hosts that are used more than twice as much as these are
	// busy with something else.
	minUsualShare = 0.5
	// otherZoneFactor is how many cores of other zones are named for each core that a zone lacks: the work
	// that goes there no longer shows in the zone's own utilisation. spareFactor is how many times its
	// spare cores a host is named with: the spare cores already exclude what other zones use of it. Higher
	// factors bring a zone nearer to the target, but react more to the noise of reports.
	otherZoneFactor = 2
	spareFactor     = 3
	// saturated is the utilisation from which a host may be asked for any amount of work more than it
	// does. Its callers are assumed to need saturatedDemand times its cores. Without that,
	// further hosts are named more slowly the more is asked.
	saturated       = 950
	saturatedDemand = 1.5
	// minExcess is the number of cores that counts as none, because of rounding.
	minExcess = 1e-6
)

// used returns the cores that a host uses, if it is known.
func (h Host) used() float64 { return h.Cores * float64(h.Utilisation) / full }

// demand returns the cores that a host's callers need, if its utilisation is known.
func (h Host) demand() float64 {
	if h.Utilisation >= saturated {
		return max(h.used(), saturatedDemand*h.Cores)
	}
	return h.used()
}

// reports reports whether the host's utilisation is known.
func (h Host) reports() bool { return h.Utilisation > 0 && h.Cores > 0 }

// furtherHosts returns the hosts that are named beyond the usual ones: of the zone, and then of other
// zones. There are none while the usual hosts have the cores that the zone's callers need at the target.
//
// The cores that callers need are computed from what all hosts of the zone use, and not only the usual
// ones: that sum stays the same however many hosts share the work, and so does the answer.
func furtherHosts(zone string, usual []Host, f Fleet, target float64) []named {
	excess := missingCores(usual, target)
	if excess <= (minUsualShare-1)*reportedCores(usual) {
		return nil
	}
	candidates, others := furtherCandidates(zone, usual, f)
	for _, h := range candidates {
		if h.Utilisation > minStandbyUtilisation {
			excess += h.demand() / target
		}
	}
	var out []named
	for _, h := range candidates {
		if excess <= minExcess {
			return out
		}
		out = append(out, named{h, h.Cores})
		excess -= h.Cores
	}
	return append(out, spareHosts(others, excess, target)...)
}

// missingCores returns how many more cores the hosts need to be used at the target; it is negative if
// they have more than they need. Hosts without a report count as used at the target, so that they
// neither ask for further hosts nor hide that others are short.
func missingCores(hosts []Host, target float64) float64 {
	missing := 0.0
	for _, h := range hosts {
		if h.reports() {
			missing += h.demand()/target - h.Cores
		}
	}
	return missing
}

func reportedCores(hosts []Host) float64 {
	sum := 0.0
	for _, h := range hosts {
		if h.reports() {
			sum += h.Cores
		}
	}
	return sum
}

// furtherCandidates returns the hosts that may be named beyond the usual ones: those of the zone, and the
// serving ones of other zones. A host without a report may be of an earlier build, and is not named.
func furtherCandidates(zone string, usual []Host, f Fleet) (inZone, others []Host) {
	isUsual := make(map[string]bool, len(usual))
	for _, h := range usual {
		isUsual[h.Address] = true
	}
	for _, h := range f.Serving {
		switch {
		case isUsual[h.Address] || !h.reports():
		case h.Zone == zone:
			inZone = append(inZone, h)
		default:
			others = append(others, h)
		}
	}
	for _, h := range f.Standby {
		if h.Zone == zone && h.reports() {
			inZone = append(inZone, h)
		}
	}
	return inZone, others
}

// spareHosts returns the hosts of other zones that are below the target, each by its spare cores. All of them
// are named, so that the load of each changes little with what one zone lacks.
func spareHosts(others []Host, excess, target float64) []named {
	if excess <= minExcess {
		return nil
	}
	var out []named
	spare := 0.0
	for _, h := range others {
		if s := min(h.Cores, spareFactor*(h.Cores-h.used()/target)); s > minExcess {
			out = append(out, named{h, s})
			spare += s
		}
	}
	part := min(1, otherZoneFactor*excess/spare)
	for i := range out {
		out[i].cores *= part
	}
	return out
}
