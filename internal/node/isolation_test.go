package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// cachedParts records which organisation first had a prefix block cached under a salt.
type cachedParts struct {
	mu     sync.Mutex
	madeBy map[string]string
	// foreign lists the uses of a block that another organisation's request made.
	foreign []string
	reused  int
}

func (c *cachedParts) onRun(id string, h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	organisation := h.Get(wire.Organisation)
	for _, block := range strings.Split(h.Get(wire.Prefix), ",") {
		key := h.Get(wire.Salt) + "|" + block
		maker, cached := c.madeBy[key]
		switch {
		case !cached:
			c.madeBy[key] = organisation
		case maker == organisation:
			c.reused++
		default:
			c.foreign = append(c.foreign, fmt.Sprintf("%s of %s uses %s of %s", id, organisation, key, maker))
		}
	}
}

func (c *cachedParts) takeForeign() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.foreign
	c.foreign = nil
	return out
}

// TestNewlyIsolatedOrganisationSharesNothing guards against the cached prompts that an organisation
// left in the shared scope before it became isolated: others, and it, went on to use them.
func TestNewlyIsolatedOrganisationSharesNothing(t *testing.T) {
	s := newSite(t)
	parts := &cachedParts{madeBy: map[string]string{}}
	for _, e := range s.engines {
		e.OnRun = parts.onRun
	}
	a := s.host("a", s.address)
	b := s.host("b", s.address, a)
	const open, isolated = `"Priority": 1}`, `"Priority": 1, "Isolated": true}`
	asks := func(round int, key string) {
		for i, h := range []*host{a, b, a} {
			c := h.caller()
			c.Key = key
			id := fmt.Sprintf("%s-%d-%d", key, round, i)
			answer := send(t, c, caller.Request{ID: id, Method: "POST", Path: "/reports/1", Model: "m", Prefix: "aa:900,bb:400," + id + ":40", Tokens: "1340,16"})
			if answer.Status != http.StatusOK {
				t.Fatalf("%s: status %d", id, answer.Status)
			}
		}
	}
	// museum-b is not isolated, so that both share until museum-a is.
	sharing := []string{`"Isolated": true`, `"Isolated": false`}
	separate := append([]string{open, isolated}, sharing...)
	for round, change := range [][]string{sharing, separate, sharing, separate} {
		version := 2*round + 1
		s.configure(version, change...)
		for _, h := range []*host{a, b} {
			eventually(t, "the configuration", func() bool { c := h.node.config.Load(); return h.ready() && c != nil && c.Version == int64(version) })
		}
		asks(round, "key-of-museum-a")
		asks(round, "key-of-museum-b")
		uses := parts.takeForeign()
		if isolating := round%2 == 1; isolating && len(uses) > 0 {
			t.Errorf("round %d: %d uses of cached blocks across the isolation, the first: %s", round, len(uses), uses[0])
		} else if !isolating && len(uses) == 0 {
			t.Errorf("round %d: organisations that are not isolated share nothing", round)
		}
	}
}
