// Package logreport summarises the requests in the logs of hosts over time: results and
// their causes, the cache hit rate of shared prompt prefixes, and the actual and expected
// times to the first event.
package logreport

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/obs"
)

// Result classifies how a request ended, as seen by its caller.
type Result int

// Results, in the order in which they are shown.
const (
	// Served requests were answered within the route's latency target, or have no known
	// target.
	Served Result = iota
	// Late requests were answered after the route's latency target.
	Late
	// Refused requests were rejected without being run, and may be retried.
	Refused
	// Denied requests were rejected without being run, and a retry is of no use, as for
	// malformed ones or those without a valid API key.
	Denied
	// Failed requests got no complete answer, or an error from the replica.
	Failed
	// Left are requests whose callers closed the connection.
	Left
	results
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"served", "late", "refused", "denied", "failed", "left"}[r]
}

// Interval summarises the requests that ended within an interval of time.
type Interval struct {
	From time.Time
	// Group is the route or zone of these requests; empty without grouping.
	Group  string
	Counts [results]int
	// Causes counts, by error kind, the requests that were neither served nor late.
	Causes map[string]int
	// Ended counts, by who ended them, the requests whose callers' connections were closed without a whole answer.
	Ended map[string]int
	// Shared is the number of prompt tokens in shared prefixes; Held of them were expected
	// to be in the replica's cache or to be fetched.
	Shared int
	Held   int
	// Retries counts the retries that the hosts' retry budgets allowed, RetriesRefused the requests with one
	// that they refused.
	Retries, RetriesRefused int
	// Unnamed counts the attempts that replicas rejected without naming the request, on a connection that had carried
	// another one: such a rejection may have been meant for that.
	Unnamed int

	firsts, expected distribution
}

// Asked returns the total number of requests.
func (i *Interval) Asked() int {
	n := 0
	for _, c := range i.Counts {
		n += c
	}
	return n
}

// HitRate returns the fraction of shared tokens that were held, or 0 without shared tokens.
func (i *Interval) HitRate() float64 {
	if i.Shared == 0 {
		return 0
	}
	return float64(i.Held) / float64(i.Shared)
}

// Report summarises the lines that end requests by intervals. It keeps only the intervals in
// memory, whatever the number and order of the lines.
type Report struct {
	step      time.Duration
	by        Grouping
	intervals map[key]*Interval
	// zones maps the host name in front of a line to the host's availability zone.
	zones map[string]string
}

// New returns an empty report with intervals of length step.
func New(step time.Duration) (*Report, error) { return NewGrouped(step, Together) }

// NewGrouped returns an empty report with separate intervals for each group.
func NewGrouped(step time.Duration, by Grouping) (*Report, error) {
	if step <= 0 {
		return nil, errors.New("intervals must be longer than 0")
	}
	return &Report{step: step, by: by, intervals: map[key]*Interval{}, zones: map[string]string{}}, nil
}

// Add adds an unparsed log line. Only lines that end a request are counted.
func (r *Report) Add(text []byte) error {
	r.recordZone(text)
	end, err := logline.ParseEnd(text)
	if err != nil || end == nil {
		return err
	}
	r.interval(end.At, r.group(end)).add(&end.Request)
	return nil
}

// interval returns the interval of a group that contains a time, creating it if necessary.
func (r *Report) interval(t time.Time, group string) *Interval {
	from := t.Truncate(r.step)
	k := key{from.UnixNano(), group}
	i := r.intervals[k]
	if i == nil {
		i = &Interval{From: from, Group: group, Causes: map[string]int{}, Ended: map[string]int{}}
		r.intervals[k] = i
	}
	return i
}

// Intervals returns the intervals with at least one request, sorted by time, then by group.
func (r *Report) Intervals() []Interval {
	var out []Interval
	for _, k := range slices.SortedFunc(maps.Keys(r.intervals), key.compare) {
		out = append(out, *r.intervals[k])
	}
	return out
}

func (i *Interval) add(r *logline.Request) {
	result := resultOf(r)
	i.Counts[result]++
	if result != Served && result != Late {
		i.Causes[r.Outcome]++
	}
	i.Retries += r.RetriesCharged
	if r.RetryRefused {
		i.RetriesRefused++
	}
	for _, a := range r.Tries {
		if a.Answer.MayBeAnothers() {
			i.Unnamed++
		}
	}
	if r.EndedBy != "" {
		i.Ended[r.EndedBy]++
	}
	if r.Shared > 0 && r.Sends > 0 {
		i.Shared += r.Shared
		i.Held += min(r.Shared, r.Cached+r.Fetched)
	}
	if r.FirstMs > 0 && r.ExpectedMs > 0 {
		i.firsts.add(r.FirstMs)
		i.expected.add(r.ExpectedMs)
	}
}

// resultOf classifies a request.
func resultOf(r *logline.Request) Result {
	kind, isError := errkind.ByName(r.Outcome)
	switch {
	case r.Outcome == obs.OutcomeOK && r.Late():
		return Late
	case r.Outcome == obs.OutcomeOK:
		return Served
	case !isError:
		return Failed
	case kind == errkind.CallerGone:
		return Left
	case kind.Answer().Denial():
		return Denied
	case kind.Answer().Refusal():
		return Refused
	default:
		return Failed
	}
}

// Table writes the intervals as a table without groups.
func Table(w io.Writer, intervals []Interval) error { return GroupTable(w, Together, intervals) }

// GroupTable writes the intervals as a table with a column for their groups, if any.
func GroupTable(w io.Writer, by Grouping, intervals []Interval) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "from\t")
	if by != Together {
		fmt.Fprintf(t, "%s\t", by)
	}
	fmt.Fprint(t, "asked\t")
	for r := range results {
		fmt.Fprintf(t, "%s\t", r)
	}
	fmt.Fprintln(t, "retries\tnot allowed\thit rate\tfirst p50\tp90\texpected p50\tp90 ms\tcauses")
	for i := range intervals {
		writeRow(t, by, &intervals[i])
	}
	return errors.Wrap(t.Flush(), "write a report")
}

func writeRow(w io.Writer, by Grouping, i *Interval) {
	fmt.Fprintf(w, "%s\t", i.From.UTC().Format("15:04:05.0"))
	if by != Together {
		fmt.Fprintf(w, "%s\t", i.Group)
	}
	fmt.Fprintf(w, "%d\t", i.Asked())
	for _, c := range i.Counts {
		fmt.Fprintf(w, "%d\t", c)
	}
	fmt.Fprintf(w, "%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%s\n", i.Retries, i.RetriesRefused, i.HitRate(),
		i.firsts.percentile(50), i.firsts.percentile(90), i.expected.percentile(50), i.expected.percentile(90), formatCauses("", i.Causes)+formatCauses("ended by ", i.Ended)+formatUnnamed(i.Unnamed))
}

func formatUnnamed(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("rejections that name no request %d", n)
}

// formatCauses lists causes with their counts, the most frequent first.
func formatCauses(prefix string, counts map[string]int) string {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		if a < b {
			return -1
		}
		return 1
	})
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s%s %d  ", prefix, name, counts[name])
	}
	return text
}
