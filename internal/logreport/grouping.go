package logreport

import (
	"cmp"

	"github.com/briarlink/briarlink/internal/logline"
)

// Grouping is what the requests of an interval are told apart by.
type Grouping string

// Groupings. A route or a zone in trouble shows by itself, where the sum of a large fleet
// is mostly its most frequent route.
const (
	Together Grouping = ""
	ByRoute  Grouping = "route"
	ByZone   Grouping = "zone"
)

// startedMessage is that of the line in which a host says where it is.
const startedMessage = "started"

// unknown is the group of requests whose lines do not say it: a request that matched no
// route, or a host whose line "started" is not among the logs, or without its name before it.
const unknown = "unknown"

// key tells intervals apart: their start in Unix nanoseconds, and the group.
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

// learnZone keeps the zone of a host that has started.
func (r *Report) learnZone(text []byte) {
	if r.by != ByZone || !logline.MayHold(text, startedMessage) {
		return
	}
	l, ok := logline.Parse(text)
	if ok && l.Message == startedMessage && l.Source != "" {
		r.zones[l.Source] = l.Text("zone")
	}
}
