package topic

// coverage tracks since which offsets of an era a table has all changes, including those of keys that
// were removed again. A listing has the newest record of each key, but no removals: a table that moves
// to the end of a listing does not know the keys that were written and removed meanwhile, although its
// own records are correct before and after.
type coverage struct {
	// from is the first offset since which the table has all changes.
	from int64
	// The table has not all changes since the offsets between gapFrom and gapTo, both exclusive.
	gapFrom, gapTo int64
}

// has reports whether the table has all changes since an offset.
func (c *coverage) has(offset int64) bool {
	inGap := c.gapFrom < offset && offset < c.gapTo
	return offset >= c.from && !inGap
}

// list records that a listing moves the table from the end that it has applied to a later one. A table
// that was not complete before has no changes from before the listing.
func (c *coverage) list(complete bool, applied, end int64) {
	switch {
	case !complete:
		*c = coverage{from: end}
	case applied < end:
		if c.gapFrom < c.gapTo {
			c.from = max(c.from, c.gapTo)
		}
		c.gapFrom, c.gapTo = applied, end
	}
}

// forgetUpTo records that the removal at an offset was dropped.
func (c *coverage) forgetUpTo(offset int64) { c.from = max(c.from, offset+1) }
