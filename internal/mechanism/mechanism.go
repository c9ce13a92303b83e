// Package mechanism names the mechanisms that can be switched off to measure what
// each is worth. Nothing is switched off unless an operator asks for it.
package mechanism

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Name names a mechanism.
type Name string

// The closed list of mechanisms that can be switched off.
const (
	// Affinity keeps requests with the same leading part at the same replica.
	Affinity Name = "affinity"
	// RereadPrice is the price of reading shared tokens again.
	RereadPrice Name = "reread-price"
	// OldWeightsPrice is the price of an answer on older weights.
	OldWeightsPrice Name = "old-weights-price"
	// FailurePrice is the price of a replica's failures.
	FailurePrice Name = "failure-price"
	// MemoryWait expects requests to wait for a replica's memory.
	MemoryWait Name = "memory-wait"
	// Holds lets requests wait while a replica reads their parts for another.
	Holds Name = "holds"
	// ReplicaFetch lets replicas fetch KV cache from each other.
	ReplicaFetch Name = "replica-fetch"
	// StoreFetch lets replicas fetch from the store of kept KV cache.
	StoreFetch Name = "store-fetch"
	// IdleSaves saves prompts of which nothing says that they come back.
	IdleSaves Name = "idle-saves"
	// TellAtOnce tells other hosts of a long prompt as soon as it is sent.
	TellAtOnce Name = "tell-at-once"
	// UrgentRefusal refuses requests before more urgent ones wait behind them.
	UrgentRefusal Name = "urgent-refusal"
	// LateRefusal refuses requests that would be answered very late.
	LateRefusal Name = "late-refusal"
	// PeerDoubts takes other hosts' word that a replica is down.
	PeerDoubts Name = "peer-doubts"
	// LostAnswers notices answers that were overtaken by later ones.
	LostAnswers Name = "lost-answers"
	// CacheLists lists what a holder of KV cache holds when events are missing.
	CacheLists Name = "cache-lists"
	// PrimaryHosts sends callers to the large hosts only.
	PrimaryHosts Name = "primary-hosts"
	// RateLimits keeps organisations within their rate limits.
	RateLimits Name = "rate-limits"
	// SharedCounts lets hosts tell each other what they let in of organisations with a
	// rate limit; without it each keeps to an equal share of the limit.
	SharedCounts Name = "shared-counts"
)

// All returns every name.
func All() []Name {
	return []Name{
		Affinity, RereadPrice, OldWeightsPrice, FailurePrice, MemoryWait, Holds, ReplicaFetch, StoreFetch,
		IdleSaves, TellAtOnce, UrgentRefusal, LateRefusal, PeerDoubts, LostAnswers, CacheLists, PrimaryHosts,
		RateLimits, SharedCounts,
	}
}

// Off is the set of mechanisms that are switched off. Its zero value is empty.
type Off map[Name]bool

// Parse returns the set of the names, or an error that lists those that exist.
func Parse(names []string) (Off, error) {
	off := Off{}
	for _, text := range names {
		name := Name(strings.TrimSpace(text))
		if !slices.Contains(All(), name) {
			return nil, errors.Errorf("%q is not a mechanism; there are %s", text, list())
		}
		off[name] = true
	}
	return off, nil
}

func list() string {
	var names []string
	for _, n := range All() {
		names = append(names, string(n))
	}
	return strings.Join(names, ", ")
}
