package quarantine

import "time"

// answeredBlocks remembers when prefix blocks were last in an answered request. It holds the blocks
// of the present and of the previous generation; one that is full begins the next.
type answeredBlocks struct {
	present, previous map[Digest]time.Time
}

// generationSize limits the blocks of one generation, at about 40 bytes each.
const generationSize = 2048

func (a *answeredBlocks) add(d Digest, at time.Time) {
	if a.present == nil || len(a.present) >= generationSize {
		a.present, a.previous = map[Digest]time.Time{}, a.present
	}
	a.present[d] = at
}

// last returns when a block was last answered, or zero if that is not remembered.
func (a *answeredBlocks) last(d Digest) time.Time {
	if at, ok := a.present[d]; ok {
		return at
	}
	return a.previous[d]
}
