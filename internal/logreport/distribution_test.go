package logreport

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/logline"
)

// TestPercentilesAreExact: percentiles of the histogram equal the nearest-rank percentiles
// of the sorted values, rounded to whole milliseconds.
func TestPercentilesAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(0, 3000), 1, 200).Draw(t, "values")
		percent := rapid.IntRange(1, 100).Draw(t, "percent")
		var d distribution
		for _, v := range values {
			d.add(v)
		}
		slices.Sort(values)
		rank := int(math.Ceil(float64(len(values)*percent) / 100))
		if got, want := fmt.Sprint(d.percentile(percent)), fmt.Sprintf("%.0f", values[rank-1]); got != want {
			t.Fatalf("percentile %d is %s, want %s", percent, got, want)
		}
	})
}

func TestPercentileOfNothing(t *testing.T) {
	var d distribution
	if got := d.percentile(90); got != 0 {
		t.Errorf("percentile is %d, want 0", got)
	}
}

// TestIntervalsAreInOrder: intervals are sorted by time although the hosts' logs, which cover
// the same time, are read one after the other.
func TestIntervalsAreInOrder(t *testing.T) {
	report, err := New(2 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, host := range []string{"edge-1", "edge-2"} {
		var text strings.Builder
		for second := range 6 {
			fmt.Fprintf(&text, "%s {\"msg\":\"request\",\"outcome\":\"ok\",\"time\":\"2026-06-01T10:00:0%dZ\"}\n", host, second)
		}
		if err := logline.Each(strings.NewReader(text.String()), report.Add); err != nil {
			t.Fatal(err)
		}
	}
	intervals := report.Intervals()
	if len(intervals) != 3 {
		t.Fatalf("%d intervals", len(intervals))
	}
	for i := range intervals {
		if got := intervals[i].From.Second(); got != 2*i || intervals[i].Asked() != 4 {
			t.Errorf("interval %d begins at second %d and has %d requests", i, got, intervals[i].Asked())
		}
	}
}
