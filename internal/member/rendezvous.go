package member

import (
	"sort"

	"github.com/zeebo/xxh3"
)

// Rank orders ids by rendezvous hashing for key, highest weight first. Every
// host with the same ids gets the same order, and a change of one id moves only
// the keys that it led (Thaler and Ravishankar, 1998).
func Rank(key string, ids []string) []string {
	ranked := append([]string(nil), ids...)
	weight := make(map[string]uint64, len(ids))
	seed := xxh3.HashString(key)
	for _, id := range ids {
		weight[id] = xxh3.HashStringSeed(id, seed)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weight[ranked[i]], weight[ranked[j]]
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
