package prefix

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"
)

var indexSizes = []int{10_000, 100_000, 1_000_000}

func fill(n int) (*Index, Replica) {
	x := NewIndex(2 * n)
	var r Replica
	for i := range 16 {
		r = x.Reset(fmt.Sprint(i), 1)
	}
	now := time.Now()
	for i := range n {
		x.Add(Replica(i%16), 1, now, Hash(uint64(i)*0x9e3779b97f4a7c15))
	}
	return x, r
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEvent is one stored and one evicted event, in turn.
func BenchmarkEvent(b *testing.B) {
	for _, n := range indexSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			x, r := fill(n)
			size := float64(heap()-before) / float64(n)
			rng := rand.New(rand.NewPCG(1, 1))
			now := time.Now()
			b.ResetTimer()
			for i := 0; i < b.N; i += 2 {
				h := Hash(rng.Uint64())
				x.Stored(r, 1, now, h)
				x.Evicted(r, 1, now.Add(time.Minute), h)
			}
			b.ReportMetric(size, "B/piece")
		})
	}
}

// BenchmarkLookup finds a chain of 50 pieces, all held by one replica.
func BenchmarkLookup(b *testing.B) {
	for _, n := range indexSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x, r := fill(n)
			chain := make([]Hash, 50)
			for i := range chain {
				chain[i] = Hash(rand.Uint64())
			}
			now := time.Now()
			x.Add(r, 1, now, chain...)
			for b.Loop() {
				x.Lookup(chain, now)
			}
		})
	}
}

func BenchmarkChain(b *testing.B) {
	for _, pieces := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(pieces), func(b *testing.B) {
			prompt := strings.Repeat("0123456789", 200*pieces)
			b.SetBytes(int64(len(prompt)))
			for b.Loop() {
				Chain("salt", prompt, 2000, 0)
			}
		})
	}
}
