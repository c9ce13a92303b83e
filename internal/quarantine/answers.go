package quarantine

import "time"

// answerTimes remembers when requests, or requests with a prefix block, were last answered. It holds the
// digests of the present and of the previous generation; one that is full begins the next.
type answerTimes struct {
	present, previous map[Digest]time.Time
}

// generationSize limits the digests of one generation, at about 40 bytes each.
const generationSize = 2048

func (a *answerTimes) add(d Digest, at time.Time) {
	if a.present == nil || len(a.present) >= generationSize {
		a.present, a.previous = map[Digest]time.Time{}, a.present
	}
	a.present[d] = at
}

// last returns when a digest was last answered, or zero if that is not remembered.
func (a *answerTimes) last(d Digest) time.Time {
	if at, ok := a.present[d]; ok {
		return at
	}
	return a.previous[d]
}
