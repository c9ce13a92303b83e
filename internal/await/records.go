package await

import (
	"slices"
	"time"
)

// records are lists of values that expire, by replica.
type records[T any] map[string][]record[T]

type record[T any] struct {
	value T
	until time.Time
}

// add appends a value to a replica's list, from which expired ones are removed.
func (r records[T]) add(id string, value T, until, now time.Time) records[T] {
	if r == nil {
		r = records[T]{}
	}
	if len(r) > sweepThreshold {
		for other := range r {
			r.sweep(other, now)
		}
	}
	r.sweep(id, now)
	r[id] = append(r[id], record[T]{value, until})
	return r
}

func (r records[T]) sweep(id string, now time.Time) {
	kept := slices.DeleteFunc(r[id], func(v record[T]) bool { return !now.Before(v.until) })
	if len(kept) == 0 {
		delete(r, id)
		return
	}
	r[id] = kept
}
