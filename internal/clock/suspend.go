package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the minimum time between two checks for a suspension. It limits how
	// long a resumed machine may act on outdated state.
	checkInterval = 20 * time.Millisecond
	// minSuspension is the shortest suspension that is detected. Shorter differences between
	// the two clocks may come from the time that it takes to read them.
	minSuspension = 50 * time.Millisecond
)

// suspensions tracks the total time for which the machine was suspended since the process
// started. The monotonic clock stops during a suspension: leases, ages and timeouts measured
// by it alone are older than they seem when the machine resumes.
type suspensions struct {
	mu sync.Mutex
	// boottime reads a clock that includes suspensions; its zero point does not matter.
	boottime func() (time.Duration, error)
	// epoch is any fixed time. base is the reading of boottime at epoch, or somewhat more; it
	// is valid once baseKnown is set.
	epoch     time.Time
	base      time.Duration
	baseKnown bool
	// checked is the time of the last check, relative to epoch.
	checked time.Duration
	total   time.Duration
}

var machine = &suspensions{boottime: readBoottime, epoch: time.Now()}

func readBoottime() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

// Now returns the current time. Unlike that of time.Now, its monotonic reading includes the
// time for which the machine was suspended, so it must only be compared with other times
// returned by Now.
func Now() time.Time {
	now := time.Now()
	return now.Add(machine.upTo(now))
}

// Suspended returns the time for which the machine was suspended since the process started.
func Suspended() time.Duration { return machine.upTo(time.Now()) }

// Since returns the time elapsed since t, which must be a time returned by Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must be derived from a time returned by Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// upTo returns the total time of suspensions up to now. It may miss a little of the latest
// suspension.
func (s *suspensions) upTo(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Sub(s.epoch)
	// A time before the epoch comes from a test's clock.
	if at < 0 || s.baseKnown && at-s.checked < checkInterval {
		return s.total
	}
	s.checked = at
	boot, err := s.boottime()
	if err != nil {
		// Without a boot-time clock, suspensions cannot be detected.
		return s.total
	}
	if !s.baseKnown {
		// If boottime is read late, the base is too high, and suspensions seem shorter.
		s.base, s.baseKnown = boot-at, true
	}
	// The monotonic clock is read after boottime, so that the time between the two readings
	// does not count as suspension.
	if suspended := boot - time.Since(s.epoch) - s.base; suspended >= s.total+minSuspension {
		s.total = suspended
	}
	return s.total
}

// Replace replaces the machine's boot-time clock, for tests, and returns a function that
// restores it.
func Replace(boottime func() time.Duration) (restore func()) {
	before := machine
	machine = &suspensions{epoch: time.Now(), boottime: func() (time.Duration, error) { return boottime(), nil }}
	return func() { machine = before }
}
