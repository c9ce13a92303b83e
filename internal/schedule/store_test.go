package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/platform"
)

// withStores returns a configuration with so many stores of kept KV cache.
func withStores(n int) *config.Config {
	c := &config.Config{Services: map[string]*config.Service{}}
	for i := range n {
		name := fmt.Sprintf("store-%d", i)
		c.Services[name] = &config.Service{Name: name, Store: &config.CacheStore{Address: fmt.Sprintf("10.0.0.%d:1", i)}}
	}
	return c.Build()
}

// prompts returns prompts of many documents behind three instructions, of which one
// is used eight times in ten.
func prompts(n int) [][]platform.Part {
	random := rand.New(rand.NewPCG(1, 2))
	out := make([][]platform.Part, 0, n)
	for range n {
		instruction := max(0, random.IntN(10)-7)
		out = append(out, []platform.Part{
			{ID: fmt.Sprintf("instruction-%d", instruction), Tokens: 500},
			{ID: fmt.Sprintf("document-%d-%d", instruction, random.IntN(300)), Tokens: 5_000},
			{ID: "own", Tokens: 6_000},
		})
	}
	return out
}

// TestStoresShareFewInstructions: on a large fleet most shared parts that were read
// again had been dropped by their replicas and were in no store. Of three stores, one
// was sent most of them: its link was busy and its memory full, while another was
// hardly used. Stores were chosen by the leading part alone, and most prompts begin
// with the same one.
func TestStoresShareFewInstructions(t *testing.T) {
	const stores, n = 3, 6000
	c := withStores(stores)
	counts := map[string]int{}
	for _, parts := range prompts(n) {
		counts[c.Store(StorePart(parts)).Address]++
	}
	for _, s := range c.Stores() {
		if got := counts[s.Address]; got < n/4 || got > n*5/12 {
			t.Errorf("%s is sent %d of %d prompts", s.Address, got, n)
		}
	}
}

// TestConversationStaysInItsStore: what a conversation adds is found where the rest of
// it is kept; a store chosen by the last shared part would change with each turn.
func TestConversationStaysInItsStore(t *testing.T) {
	parts := []platform.Part{{ID: "instruction", Tokens: 500}, {ID: "first turn", Tokens: 300}, {ID: "own", Tokens: 100}}
	first := StorePart(parts)
	for turn := range 5 {
		parts = append(parts, platform.Part{ID: fmt.Sprintf("turn-%d", turn), Tokens: 300})
		if StorePart(parts) != first {
			t.Fatalf("after turn %d another store keeps the conversation", turn)
		}
	}
}

// TestOwnPartChoosesNoStore: a prompt that shares its leading part alone goes where
// that is kept.
func TestOwnPartChoosesNoStore(t *testing.T) {
	for _, own := range []string{"p", "q"} {
		parts := []platform.Part{{ID: "document", Tokens: 13_000}, {ID: own, Tokens: 4_000}}
		if StorePart(parts) != LeadingPart(parts) {
			t.Errorf("the own part %q chooses the store", own)
		}
	}
	if StorePart(nil) != LeadingPart(nil) {
		t.Error("a request without parts")
	}
}
