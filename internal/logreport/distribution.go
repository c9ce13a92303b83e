package logreport

import (
	"cmp"
	"math"
	"slices"
)

// distribution counts values by whole milliseconds, in which they are shown, so that
// percentiles are exact. It grows with the different values, which deadlines bound, and
// not with the requests.
type distribution struct {
	total int
	// counts are in order of their values.
	counts []count
}

type count struct{ ms, n int }

func (d *distribution) add(ms float64) {
	d.total++
	whole := int(math.RoundToEven(ms))
	i, known := slices.BinarySearchFunc(d.counts, whole, func(c count, ms int) int { return cmp.Compare(c.ms, ms) })
	if !known {
		d.counts = slices.Insert(d.counts, i, count{ms: whole})
	}
	d.counts[i].n++
}

// percentile returns the value of the nearest rank in milliseconds, or 0 without values.
func (d *distribution) percentile(percent int) int {
	const whole = 100
	rank := (d.total*percent + whole - 1) / whole
	for _, c := range d.counts {
		rank -= c.n
		if rank <= 0 {
			return c.ms
		}
	}
	return 0
}
