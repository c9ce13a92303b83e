// Package logreport sums what the hosts' logs say of requests over time: what became
// of them and by which cause, how much of shared prompts was held, and how the first
// events came against what was expected.
package logreport

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/montanaflynn/stats"
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
	From   time.Time
	Counts [results]int
	// Causes counts refused, failed and abandoned requests by error kind.
	Causes map[string]int
	// Shared tokens were asked for; Held of them were expected at the replica or
	// fetched.
	Shared int
	Held   int

	firsts, expected []float64
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

// Build sums the lines that end requests by intervals of a length.
func Build(lines []logline.Line, step time.Duration) ([]Interval, error) {
	if step <= 0 {
		return nil, errors.New("intervals must be longer than 0")
	}
	var out []Interval
	for i := range lines {
		l := &lines[i]
		if l.Message != obs.RequestMessage {
			continue
		}
		r, err := l.Request()
		if err != nil {
			return nil, err
		}
		from := l.At.Truncate(step)
		if len(out) == 0 || out[len(out)-1].From.Before(from) {
			out = append(out, Interval{From: from, Causes: map[string]int{}})
		}
		out[len(out)-1].add(&r)
	}
	return out, nil
}

func (i *Interval) add(r *logline.Request) {
	result := resultOf(r)
	i.Counts[result]++
	if result == Refused || result == Failed || result == Left {
		i.Causes[r.Outcome]++
	}
	if r.Shared > 0 && r.Sends > 0 {
		i.Shared += r.Shared
		i.Held += min(r.Shared, r.Cached+r.Fetched)
	}
	if r.FirstMs > 0 && r.ExpectedMs > 0 {
		i.firsts = append(i.firsts, r.FirstMs)
		i.expected = append(i.expected, r.ExpectedMs)
	}
}

func resultOf(r *logline.Request) Result {
	kind, isError := errkind.Named(r.Outcome)
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

// percentile returns a percentile in milliseconds, or 0 without values.
func percentile(values []float64, percent float64) float64 {
	p, err := stats.PercentileNearestRank(values, percent)
	if err != nil {
		return 0
	}
	return p
}

// Table writes the intervals as a table.
func Table(w io.Writer, intervals []Interval) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "from\tasked\t")
	for r := range results {
		fmt.Fprintf(t, "%s\t", r)
	}
	fmt.Fprintln(t, "hit rate\tfirst p50\tp90\texpected p50\tp90 ms\tcauses")
	for i := range intervals {
		row(t, &intervals[i])
	}
	return errors.Wrap(t.Flush(), "write a report")
}

func row(w io.Writer, i *Interval) {
	fmt.Fprintf(w, "%s\t%d\t", i.From.UTC().Format("15:04:05.0"), i.Asked())
	for _, c := range i.Counts {
		fmt.Fprintf(w, "%d\t", c)
	}
	fmt.Fprintf(w, "%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", i.HitRate(),
		percentile(i.firsts, 50), percentile(i.firsts, 90), percentile(i.expected, 50), percentile(i.expected, 90), causes(i.Causes))
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
