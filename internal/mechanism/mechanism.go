// Package mechanism names the mechanisms that can be disabled to measure the effect of
// each. All are enabled unless an operator disables them.
package mechanism

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Name identifies a mechanism.
type Name string

// The closed list of mechanisms that can be disabled.
const (
	// Affinity routes requests with the same prompt prefix to the same replica.
	Affinity Name = "affinity"
	// RereadPrice is the cost, in replica selection, of recomputing shared tokens.
	RereadPrice Name = "reread-price"
	// OldWeightsPrice is the cost, in replica selection, of an answer by older weights.
	OldWeightsPrice Name = "old-weights-price"
	// FailurePrice is the cost, in replica selection, of a replica's failures.
	FailurePrice Name = "failure-price"
	// MemoryWait accounts for the expected wait for free memory of a replica.
	MemoryWait Name = "memory-wait"
	// Holds delays requests while a replica prefills the same prefix blocks for another
	// request.
	Holds Name = "holds"
	// ReplicaFetch lets replicas fetch KV cache from each other.
	ReplicaFetch Name = "replica-fetch"
	// StoreFetch lets replicas fetch from the KV cache store.
	StoreFetch Name = "store-fetch"
	// IdleSaves saves prompts to the KV cache store while its link is mostly idle, even
	// without a sign that they will be requested again.
	IdleSaves Name = "idle-saves"
	// TellAtOnce notifies other hosts of a long prompt as soon as it is sent.
	TellAtOnce Name = "tell-at-once"
	// UrgentRefusal rejects less urgent requests before queues become too long for more
	// urgent ones.
	UrgentRefusal Name = "urgent-refusal"
	// LateRefusal rejects requests that would be answered very late.
	LateRefusal Name = "late-refusal"
	// PeerDoubts accepts other hosts' reports that a replica is down.
	PeerDoubts Name = "peer-doubts"
	// LostAnswers presumes an answer lost when the replica has answered later requests
	// and this one is long overdue.
	LostAnswers Name = "lost-answers"
	// CacheLists reads the full list of what a KV cache holder holds when cache events
	// are missing.
	CacheLists Name = "cache-lists"
	// PrimaryHosts sends callers to the large hosts only.
	PrimaryHosts Name = "primary-hosts"
	// RateLimits enforces the rate limits of organisations.
	RateLimits Name = "rate-limits"
	// SharedCounts lets hosts report to each other what they admitted of organisations
	// with a rate limit; without it each host enforces an equal share of the limit.
	SharedCounts Name = "shared-counts"
)

// All returns the name of every mechanism.
func All() []Name {
	return []Name{
		Affinity, RereadPrice, OldWeightsPrice, FailurePrice, MemoryWait, Holds, ReplicaFetch, StoreFetch,
		IdleSaves, TellAtOnce, UrgentRefusal, LateRefusal, PeerDoubts, LostAnswers, CacheLists, PrimaryHosts,
		RateLimits, SharedCounts,
	}
}

// Off is the set of disabled mechanisms. Its zero value is empty.
type Off map[Name]bool

// Parse returns the set with the given names, or an error that lists the valid names if
// one is unknown.
func Parse(names []string) (Off, error) {
	off := Off{}
	for _, text := range names {
		name := Name(strings.TrimSpace(text))
		if !slices.Contains(All(), name) {
			return nil, errors.Errorf("unknown mechanism %q; want one of %s", text, joinNames())
		}
		off[name] = true
	}
	return off, nil
}

func joinNames() string {
	var names []string
	for _, n := range All() {
		names = append(names, string(n))
	}
	return strings.Join(names, ", ")
}
