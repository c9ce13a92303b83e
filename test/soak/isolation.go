package main

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// isolationDelay is the bound for a configuration to be in force, with a margin for what was sent just before.
const isolationDelay = 3 * time.Second

// isolationChange is the set of isolated organisations that a configuration names.
type isolationChange struct {
	at       time.Time
	isolated map[string]bool
}

// alternating becomes isolated and shared again with each other configuration.
const alternating = "museum-a"

// isolatedIn reports whether a configuration isolates an organisation.
func isolatedIn(version int64, organisation string) bool {
	return organisation == "museum-b" || organisation == alternating && version%4 == 0
}

// isolatedThroughout reports whether each configuration that may have been in force between two times isolates one of
// two organisations.
func (o *operator) isolatedThroughout(a, b string, from, to time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	inForce := false
	for i, change := range o.isolation {
		replaced := i+1 < len(o.isolation) && o.isolation[i+1].at.Before(from.Add(-isolationDelay))
		if replaced || change.at.After(to) {
			continue
		}
		if !change.isolated[a] && !change.isolated[b] {
			return false
		}
		inForce = true
	}
	return inForce
}

// cachedBlocks records which organisations' requests made or used each cached prefix block.
type cachedBlocks map[string]map[string]bool

// sharedUse is a request that found a block which another organisation's request had made.
type sharedUse struct {
	request, organisation, maker, block string
	at                                  time.Time
}

// use records a run of a request, and returns what it shares with other organisations.
func (c cachedBlocks) use(server, request string, h http.Header, now time.Time) []sharedUse {
	var shared []sharedUse
	organisation := h.Get(wire.Organisation)
	for _, block := range strings.Split(h.Get(wire.Prefix), ",") {
		if block == "" {
			continue
		}
		key := server + " " + h.Get(wire.Salt) + " " + block
		for _, maker := range slices.Sorted(maps.Keys(c[key])) {
			if maker != organisation {
				shared = append(shared, sharedUse{request, organisation, maker, key, now})
			}
		}
		if c[key] == nil {
			c[key] = map[string]bool{}
		}
		c[key][organisation] = true
	}
	return shared
}

// checkIsolation checks that no request has used a cached block of another organisation while one of the two was isolated.
// A host that is disturbed may have an earlier configuration.
func (fx *fixture) checkIsolation(requests []*request) {
	sent := map[string]*request{}
	for _, s := range requests {
		if s.host != nil {
			sent[s.id] = s
		}
	}
	for _, use := range fx.observed.sharedUses {
		s := sent[use.request]
		if s == nil || !fx.faults.undisturbed(s.host, s.from.Add(-isolationDelay), use.at) {
			continue
		}
		if fx.operator.isolatedThroughout(use.organisation, use.maker, s.from, use.at) {
			fx.observed.fail("request %s of %s used %s, which a request of %s made, while one of them was isolated", use.request, use.organisation, use.block, use.maker)
		}
	}
}
