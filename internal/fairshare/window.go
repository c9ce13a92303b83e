package fairshare

import "time"

const (
	slotTime = 100 * time.Millisecond
	// windowSlots is the number of whole slots in a window; together they are a second.
	windowSlots = 10
)

// window is a sum over the last second, in slots, and over the current slot. Its zero value is empty.
type window struct {
	// slots has the whole slots and the current one, which is that of number last.
	slots [windowSlots + 1]float64
	last  int64
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotTime) }

func (w *window) advance(now time.Time) {
	current := slotOf(now)
	if current-w.last > int64(len(w.slots)) {
		clear(w.slots[:])
		w.last = current
	}
	for w.last < current {
		w.last++
		w.slots[w.last%int64(len(w.slots))] = 0
	}
}

func (w *window) add(amount float64, now time.Time) {
	w.advance(now)
	w.slots[w.last%int64(len(w.slots))] += amount
}

// total returns the sum as of the last call with a time.
func (w *window) total() float64 {
	sum := 0.0
	for _, v := range w.slots {
		sum += v
	}
	return sum
}

// perSecond returns the mean rate over the window.
func (w *window) perSecond(now time.Time) float64 {
	w.advance(now)
	inSlot := time.Duration(now.UnixNano() % int64(slotTime))
	return w.total() / (windowSlots*slotTime + inSlot).Seconds()
}
