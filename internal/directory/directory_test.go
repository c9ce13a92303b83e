package directory

import (
	"fmt"
	"testing"
)

// serving returns hosts of a zone with the given numbers of cores.
func serving(zone string, cores ...float64) []Host {
	var out []Host
	for i, c := range cores {
		out = append(out, Host{Address: fmt.Sprint(zone, "-", i), Zone: zone, Cores: c})
	}
	return out
}

// TestZoneWithoutLargeHostsUsesOtherZones guards against overloaded small hosts. Two hosts of
// 0.192 cores that replaced their zone's large ones, of 0.8 cores each, got all callers of the
// zone. They were too busy to apply configurations, and as relays delayed them for the zone's
// other hosts by seconds.
func TestZoneWithoutLargeHostsUsesOtherZones(t *testing.T) {
	others := append(serving("b", 0.8, 0.8), serving("c", 0.8, 0.8)...)
	for name, c := range map[string]struct {
		zone    string
		serving []Host
		want    int
	}{
		"large hosts of the zone":          {"a", append(serving("a", 0.8, 0.8), others...), 2},
		"the zone has lost both":           {"a", append(serving("a", 0.192, 0.192), others...), 4},
		"the zone has lost one":            {"a", append(serving("a", 0.8, 0.192), others...), 5},
		"another zone has lost both":       {"b", append(serving("a", 0.192, 0.192), others...), 2},
		"all large ones are lost":          {"a", append(serving("a", 0.192, 0.192), serving("b", 0.192, 0.192)...), 2},
		"nearly all large ones are lost":   {"a", append(serving("a", 0.192, 0.192, 0.192, 0.192, 0.192), serving("b", 0.8)...), 5},
		"sizes that are not known":         {"a", append(serving("a", 0, 0), serving("b", 0, 0)...), 2},
		"nobody of the zone":               {"z", others, 4},
		"nobody serves":                    {"a", nil, 0},
		"two sizes, one half of the other": {"a", append(serving("a", 0.4, 0.4), others...), 2},
	} {
		if got := usualHosts(c.zone, c.serving); len(got) != c.want {
			t.Errorf("%s: %d hosts are listed, want %d", name, len(got), c.want)
		}
	}
}
