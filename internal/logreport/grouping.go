package logreport

import (
	"cmp"

	"github.com/briarlink/briarlink/internal/logline"
)

// Grouping says whether the requests of an interval are reported in groups.
type Grouping string

// Groupings. Groups show problems of a single route or zone. In the totals of a large fleet
// the most frequent route hides them.
const (
	Together Grouping = ""
	ByRoute  Grouping = "route"
	ByZone   Grouping = "zone"
)

// startedMessage is the message of the line that states a host's availability zone.
const startedMessage = "started"

// unknown is the group of requests whose group cannot be determined: those without a route,
// and those of hosts whose "started" line is missing or has no host name before it.
const unknown = "unknown"

// key identifies an interval by its start in Unix nanoseconds and its group.
type key struct {
	from  int64
	group string
}

func (k key) compare(other key) int {
	return cmp.Or(cmp.Compare(k.from, other.from), cmp.Compare(k.group, other.group))
}

// group returns the group of a request.
func (r *Report) group(end *logline.End) string {
	switch r.by {
	case ByRoute:
		return cmp.Or(end.Route, unknown)
	case ByZone:
		return cmp.Or(r.zones[end.Source()], unknown)
	default:
		return ""
	}
}

// recordZone records the availability zone of a host from its "started" line.
func (r *Report) recordZone(text []byte) {
	if r.by != ByZone || !logline.MayHold(text, startedMessage) {
		return
	}
	l, ok := logline.Parse(text)
	if ok && l.Message == startedMessage && l.Source != "" {
		r.zones[l.Source] = l.Text("zone")
	}
}
