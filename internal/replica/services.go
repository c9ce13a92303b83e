package replica

import "slices"

const (
	// maxCandidates is the number of servers of one service above which a routing decision
	// considers only this many of them. With 3,000 servers, a decision that considers all
	// takes 3.3 ms of CPU time, and one that considers 160 takes 0.23 ms.
	maxCandidates = 160
)

// services holds the ordered IDs of the servers of each service: a routing decision
// considers those of one service, and its result must not depend on map iteration order.
type services map[string][]string

func (s services) add(service, id string) {
	i, found := slices.BinarySearch(s[service], id)
	if !found {
		s[service] = slices.Insert(s[service], i, id)
	}
}

func (s services) remove(service, id string) {
	i, found := slices.BinarySearch(s[service], id)
	if !found {
		return
	}
	s[service] = slices.Delete(s[service], i, i+1)
	if len(s[service]) == 0 {
		delete(s, service)
	}
}

// candidates returns the servers that a routing decision considers: all servers of a service,
// or if there are more, maxCandidates consecutive ones from a position that depends on the
// key. Requests with the same key get the same servers.
func (s services) candidates(service string, key uint64) []string {
	all := s[service]
	if len(all) <= maxCandidates {
		return all
	}
	at := int(key % uint64(len(all)))
	end := min(at+maxCandidates, len(all))
	return append(slices.Clone(all[at:end]), all[:maxCandidates-(end-at)]...)
}
