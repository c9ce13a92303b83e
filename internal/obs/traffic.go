package obs

import "github.com/uber-go/tally/v4"

// Traffic is a kind of traffic between hosts. It is metered by kind because traffic
// between availability zones costs money.
type Traffic string

// Kinds of traffic between hosts.
const (
	// Heartbeats are datagrams sent to other hosts.
	Heartbeats Traffic = "heartbeats"
	// Records are responses to other hosts that fetch missing records.
	Records Traffic = "records"
)

// trafficCounters counts the messages and bytes of one kind of traffic.
type trafficCounters struct{ messages, bytes tally.Counter }

type trafficKey struct {
	traffic Traffic
	inZone  bool
}

func newTrafficCounters(scope tally.Scope) map[trafficKey]trafficCounters {
	out := map[trafficKey]trafficCounters{}
	for _, traffic := range []Traffic{Heartbeats, Records} {
		for inZone, reach := range map[bool]string{true: "zone", false: "zones"} {
			tagged := scope.Tagged(map[string]string{"kind": string(traffic), "reach": reach})
			out[trafficKey{traffic, inZone}] = trafficCounters{tagged.Counter("moved_messages"), tagged.Counter("moved_bytes")}
		}
	}
	return out
}

// Moved counts a sent message of the given size, separately for messages within the
// availability zone and between zones.
func (m *Metrics) Moved(traffic Traffic, inZone bool, bytes int) {
	c := m.traffic[trafficKey{traffic, inZone}]
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}
