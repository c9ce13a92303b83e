// Package logreport sums what the hosts' logs say of requests over time: what became
// of them and by which cause, how much of shared prompts was held, and how the first
// events came against what was expected.
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

// Result is what became of a request, as callers see it.
type Result int

// Results, in the order in which they are shown.
const (
	// Served in time, or without a known target.
	Served Result = iota
	// Late answers were whole, but came after the route's latency target.
	Late
	// Refused requests have not run.
	Refused
	// Denied requests are not allowed or malformed.
	Denied
	// Failed requests got no whole answer, or a replica's own failure.
	Failed
	// Left are requests whose callers gave up.
	Left
	results
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"served", "late", "refused", "denied", "failed", "left"}[r]
}

// Interval sums the requests that ended within a span of time.
type Interval struct {
	From time.Time
	// Group is the route or zone whose requests these are, where they are told apart.
	Group  string
	Counts [results]int
	// Causes counts by error kind the requests that got no answer of a replica, or a failure.
	Causes map[string]int
	// Shared tokens were asked for; Held of them were expected at the replica or
	// fetched.
	Shared int
	Held   int

	firsts, expected distribution
}

// Asked returns the number of requests.
func (i *Interval) Asked() int {
	n := 0
	for _, c := range i.Counts {
		n += c
	}
	return n
}

// HitRate returns the share of shared tokens that were held, or 0 without any.
func (i *Interval) HitRate() float64 {
	if i.Shared == 0 {
		return 0
	}
	return float64(i.Held) / float64(i.Shared)
}

// Report sums the lines that end requests by intervals. It keeps the intervals alone,
// whatever the number and the order of the lines.
type Report struct {
	step      time.Duration
	by        Grouping
	intervals map[key]*Interval
	// zones are those of the hosts that have started, by the name before their lines.
	zones map[string]string
}

// New returns an empty report with intervals of a length.
func New(step time.Duration) (*Report, error) { return NewGrouped(step, Together) }

// NewGrouped returns an empty report with an interval for each group.
func NewGrouped(step time.Duration, by Grouping) (*Report, error) {
	if step <= 0 {
		return nil, errors.New("intervals must be longer than 0")
	}
	return &Report{step: step, by: by, intervals: map[key]*Interval{}, zones: map[string]string{}}, nil
}

// Add takes a line of a log as it stands there.
func (r *Report) Add(text []byte) error {
	r.learnZone(text)
	end, err := logline.ParseEnd(text)
	if err != nil || end == nil {
		return err
	}
	r.at(end.At, r.group(end)).add(&end.Request)
	return nil
}

// at returns the interval of a moment and a group.
func (r *Report) at(moment time.Time, group string) *Interval {
	from := moment.Truncate(r.step)
	k := key{from.UnixNano(), group}
	i := r.intervals[k]
	if i == nil {
		i = &Interval{From: from, Group: group, Causes: map[string]int{}}
		r.intervals[k] = i
	}
	return i
}

// Intervals returns those with a request, in order of time, then of groups.
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
	if r.Shared > 0 && r.Sends > 0 {
		i.Shared += r.Shared
		i.Held += min(r.Shared, r.Cached+r.Fetched)
	}
	if r.FirstMs > 0 && r.ExpectedMs > 0 {
		i.firsts.add(r.FirstMs)
		i.expected.add(r.ExpectedMs)
	}
}

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

// Table writes the intervals as a table.
func Table(w io.Writer, intervals []Interval) error { return GroupTable(w, Together, intervals) }

// GroupTable writes the intervals as a table that names their groups.
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
	fmt.Fprintln(t, "hit rate\tfirst p50\tp90\texpected p50\tp90 ms\tcauses")
	for i := range intervals {
		row(t, by, &intervals[i])
	}
	return errors.Wrap(t.Flush(), "write a report")
}

func row(w io.Writer, by Grouping, i *Interval) {
	fmt.Fprintf(w, "%s\t", i.From.UTC().Format("15:04:05.0"))
	if by != Together {
		fmt.Fprintf(w, "%s\t", i.Group)
	}
	fmt.Fprintf(w, "%d\t", i.Asked())
	for _, c := range i.Counts {
		fmt.Fprintf(w, "%d\t", c)
	}
	fmt.Fprintf(w, "%.2f\t%d\t%d\t%d\t%d\t%s\n", i.HitRate(),
		i.firsts.percentile(50), i.firsts.percentile(90), i.expected.percentile(50), i.expected.percentile(90), causes(i.Causes))
}

// causes lists error kinds, the most frequent first.
func causes(counts map[string]int) string {
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
		text += fmt.Sprintf("%s %d  ", name, counts[name])
	}
	return text
}
