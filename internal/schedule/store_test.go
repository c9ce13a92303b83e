package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/platform"
)

// withStores returns a configuration with n KV cache stores.
func withStores(n int) *config.Config {
	c := &config.Config{Services: map[string]*config.Service{}}
	for i := range n {
		name := fmt.Sprintf("store-%d", i)
		c.Services[name] = &config.Service{Name: name, Store: &config.CacheStore{Address: fmt.Sprintf("10.0.0.%d:1", i)}}
	}
	return c.Build()
}

// prompts returns prompts with many different documents after one of three instructions, of
// which one is used in eight of ten prompts.
func prompts(n int) [][]platform.Block {
	random := rand.New(rand.NewPCG(1, 2))
	out := make([][]platform.Block, 0, n)
	for range n {
		instruction := max(0, random.IntN(10)-7)
		out = append(out, []platform.Block{
			{ID: fmt.Sprintf("instruction-%d", instruction), Tokens: 500},
			{ID: fmt.Sprintf("document-%d-%d", instruction, random.IntN(300)), Tokens: 5_000},
			{ID: "own", Tokens: 6_000},
		})
	}
	return out
}

// TestPromptsSpreadOverStores guards against uneven load of the stores. When a store was
// chosen by the leading block alone, with which most prompts begin, one of three stores in a
// large fleet was sent most blocks: its link was busy and its memory full, while another was
// hardly used. Most shared blocks that had to be prefilled again had been evicted by their
// replicas and were in no store.
func TestPromptsSpreadOverStores(t *testing.T) {
	const stores, n = 3, 6000
	c := withStores(stores)
	counts := map[string]int{}
	for _, parts := range prompts(n) {
		counts[c.Store(StoreKey(parts)).Address]++
	}
	for _, s := range c.Stores() {
		if got := counts[s.Address]; got < n/4 || got > n*5/12 {
			t.Errorf("%s is sent %d of %d prompts", s.Address, got, n)
		}
	}
}

// TestConversationStaysInItsStore checks that later turns of a conversation use the store
// that holds its earlier turns. With a store chosen by the last shared block it would change
// with each turn.
func TestConversationStaysInItsStore(t *testing.T) {
	parts := []platform.Block{{ID: "instruction", Tokens: 500}, {ID: "first turn", Tokens: 300}, {ID: "own", Tokens: 100}}
	first := StoreKey(parts)
	for turn := range 5 {
		parts = append(parts, platform.Block{ID: fmt.Sprintf("turn-%d", turn), Tokens: 300})
		if StoreKey(parts) != first {
			t.Fatalf("after turn %d the conversation is kept in another store", turn)
		}
	}
}

// TestPrivateBlockChoosesNoStore checks that a prompt which shares only its leading block
// uses the store chosen by that block.
func TestPrivateBlockChoosesNoStore(t *testing.T) {
	for _, own := range []string{"p", "q"} {
		parts := []platform.Block{{ID: "document", Tokens: 13_000}, {ID: own, Tokens: 4_000}}
		if StoreKey(parts) != LeadingBlockKey(parts) {
			t.Errorf("the private block %q changes the choice of the store", own)
		}
	}
	if StoreKey(nil) != LeadingBlockKey(nil) {
		t.Error("the keys of a request without prefix blocks differ")
	}
}
