package replica

import "slices"

// services holds the IDs of the servers of each service, in order: a routing decision looks
// at those of one service, and its result must not depend on the order of a map.
type services map[string][]string

func (s services) add(service, id string) {
	i, known := slices.BinarySearch(s[service], id)
	if !known {
		s[service] = slices.Insert(s[service], i, id)
	}
}

func (s services) remove(service, id string) {
	i, known := slices.BinarySearch(s[service], id)
	if !known {
		return
	}
	s[service] = slices.Delete(s[service], i, i+1)
	if len(s[service]) == 0 {
		delete(s, service)
	}
}
