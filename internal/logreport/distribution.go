package logreport

import (
	"cmp"
	"math"
	"slices"
)

// distribution is a histogram with one bucket for each whole millisecond. As reports show
// whole milliseconds, its percentiles are exact. Its size depends on the number of different
// values, which is limited by the requests' deadlines, not on the number of requests.
type distribution struct {
	total int
	// counts is sorted by value.
	counts []count
}

type count struct{ ms, n int }

func (d *distribution) add(ms float64) {
	d.total++
	rounded := int(math.RoundToEven(ms))
	i, known := slices.BinarySearchFunc(d.counts, rounded, func(c count, ms int) int { return cmp.Compare(c.ms, ms) })
	if !known {
		d.counts = slices.Insert(d.counts, i, count{ms: rounded})
	}
	d.counts[i].n++
}

// percentile returns a percentile in milliseconds by the nearest-rank method, or 0 without
// values.
func (d *distribution) percentile(percent int) int {
	const hundred = 100
	rank := (d.total*percent + hundred - 1) / hundred
	for _, c := range d.counts {
		rank -= c.n
		if rank <= 0 {
			return c.ms
		}
	}
	return 0
}
