package member

import (
	"slices"
	"testing"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

func hostsOf(cores ...float64) []*pb.Heartbeat {
	var out []*pb.Heartbeat
	for _, c := range cores {
		out = append(out, &pb.Heartbeat{Cores: c})
	}
	return out
}

// TestLargeHostsServe: while enough of them are left; then all do, and never none.
func TestLargeHostsServe(t *testing.T) {
	for name, c := range map[string]struct {
		cores []float64
		want  int
	}{
		"one size":                           {[]float64{0.4, 0.4, 0.4}, 3},
		"unknown sizes":                      {[]float64{0, 0}, 2},
		"large ones":                         {[]float64{0.8, 0.8, 0.2, 0.8, 0.2, 0.8}, 4},
		"too few are large":                  {[]float64{0.8, 0.8, 0.2, 0.8, 0.2}, 5},
		"large ones are a drop in the ocean": {append([]float64{0.8, 0.8, 0.8, 0.8}, slices.Repeat([]float64{0.2}, 100)...), 104},
		"slightly smaller":                   {[]float64{0.8, 0.7, 0.5, 0.4, 0.39}, 4},
		"one":                                {[]float64{0.2}, 1},
		"none":                               {nil, 0},
	} {
		if got := len(Primaries(hostsOf(c.cores...))); got != c.want {
			t.Errorf("%s: %d hosts serve, want %d", name, got, c.want)
		}
	}
}

// TestRanks: every host has a rank of its own, large ones the first.
func TestRanks(t *testing.T) {
	hosts := hostsOf(0.8, 0.2, 0.8, 0.2, 0.8, 0.8, 0.2)
	for i, b := range hosts {
		b.Host = string(rune('a' + i))
	}
	seen := map[int]bool{}
	for _, b := range hosts {
		rank := Rank(b.Host, hosts)
		if seen[rank] {
			t.Errorf("two hosts have rank %d", rank)
		}
		seen[rank] = true
		if (rank < 4) != (b.Cores == 0.8) {
			t.Errorf("a host of %v cores has rank %d", b.Cores, rank)
		}
	}
}
