package member

import (
	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// primaryShare of the processor time that the largest host gives makes a host a
	// primary one: it tells large hosts from small ones, and not hosts of one size
	// from each other.
	primaryShare = 0.5
	// leastPrimaries is the number of large hosts below which small ones serve too:
	// four carry the callers of a site between them, even while one of them is slow.
	leastPrimaries = 4
	// leastShare of all processor time is what the large hosts must give together:
	// below it they could not carry what all of them are there for.
	leastShare = 0.2
)

// Primaries returns those of the serving hosts to which callers are sent: the
// large ones, while enough of them are left, and all of them otherwise. What a
// host sends to a replica must be known to all that route, soon: among a few
// hosts each can tell every other of every long prompt. The others are on
// standby: they are told of everything too, but less often, and take over once
// the large ones are gone.
func Primaries(serving []*pb.Heartbeat) []*pb.Heartbeat {
	most := 0.0
	for _, b := range serving {
		most = max(most, b.Cores)
	}
	var large []*pb.Heartbeat
	given, all := 0.0, 0.0
	for _, b := range serving {
		all += b.Cores
		if b.Cores >= most*primaryShare {
			large = append(large, b)
			given += b.Cores
		}
	}
	if len(large) < leastPrimaries || given < all*leastShare {
		return serving
	}
	return large
}

// Rank returns the number of hosts that come before the one with an ID, in an
// order that is the same for all who know the same hosts: primary hosts first,
// each kind in an order without a meaning.
func Rank(id string, hosts []*pb.Heartbeat) int {
	primary := map[string]bool{}
	for _, b := range Primaries(hosts) {
		primary[b.Host] = true
	}
	before := 0
	for _, b := range hosts {
		if b.Host == id {
			continue
		}
		if primary[b.Host] != primary[id] {
			if primary[b.Host] {
				before++
			}
			continue
		}
		if xxh3.HashString(b.Host) < xxh3.HashString(id) {
			before++
		}
	}
	return before
}
