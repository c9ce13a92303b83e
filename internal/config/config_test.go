package config

import (
	"fmt"
	"testing"
)

func withStores(n int) *Config {
	c := &Config{Services: map[string]*Service{}}
	for i := range n {
		name := fmt.Sprintf("store-%d", i)
		c.Services[name] = &Service{Name: name, Store: &CacheStore{Address: fmt.Sprintf("10.0.0.%d:1", i)}}
	}
	return c.Build()
}

// TestStoresShareBlocks: prefix blocks are spread evenly over the stores, and the loss of a
// store moves only the blocks of that store.
func TestStoresShareBlocks(t *testing.T) {
	if withStores(0).Store(7) != nil {
		t.Error("got a store although there is none")
	}
	three, two := withStores(3), withStores(2)
	counts := map[string]int{}
	const blocks = 3000
	for block := range uint64(blocks) {
		s := three.Store(block)
		counts[s.Address]++
		if s.Address != "10.0.0.2:1" && two.Store(block).Address != s.Address {
			t.Fatalf("block %d moved although its store is still there", block)
		}
	}
	for address, n := range counts {
		if n < blocks/4 || n > blocks*5/12 {
			t.Errorf("%s has %d of %d blocks", address, n, blocks)
		}
	}
}
