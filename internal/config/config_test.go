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

// TestStoresShareLeadingParts: each store keeps its share, and the loss of one
// moves only that store's.
func TestStoresShareLeadingParts(t *testing.T) {
	if withStores(0).Store(7) != nil {
		t.Error("a store without any")
	}
	three, two := withStores(3), withStores(2)
	counts := map[string]int{}
	const parts = 3000
	for part := range uint64(parts) {
		s := three.Store(part)
		counts[s.Address]++
		if s.Address != "10.0.0.2:1" && two.Store(part).Address != s.Address {
			t.Fatalf("part %d moved although its store is still there", part)
		}
	}
	for address, n := range counts {
		if n < parts/4 || n > parts*5/12 {
			t.Errorf("%s keeps %d of %d parts", address, n, parts)
		}
	}
}
