package obs

import "github.com/uber-go/tally/v4"

// Traffic names what hosts send to each other, for what it costs between zones.
type Traffic string

// What hosts send to each other.
const (
	// Heartbeats are datagrams to other hosts.
	Heartbeats Traffic = "heartbeats"
	// Records are answers to other hosts that lack records.
	Records Traffic = "records"
)

// moved counts messages and bytes of one kind.
type moved struct{ messages, bytes tally.Counter }

type movedKey struct {
	traffic Traffic
	zone    bool
}

func newMoved(scope tally.Scope) map[movedKey]moved {
	out := map[movedKey]moved{}
	for _, traffic := range []Traffic{Heartbeats, Records} {
		for zone, reach := range map[bool]string{true: "zone", false: "zones"} {
			tagged := scope.Tagged(map[string]string{"kind": string(traffic), "reach": reach})
			out[movedKey{traffic, zone}] = moved{tagged.Counter("moved_messages"), tagged.Counter("moved_bytes")}
		}
	}
	return out
}

// Moved counts a message by whether it stayed within the availability zone.
func (m *Metrics) Moved(traffic Traffic, inZone bool, bytes int) {
	c := m.moved[movedKey{traffic, inZone}]
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}
