package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is how often it is looked for a suspension: sooner than what a machine
	// that wakes may do by what it knew before.
	lookEvery = 20 * time.Millisecond
	// leastSuspended is the shortest suspension that is told from the time that reading
	// two clocks takes.
	leastSuspended = 50 * time.Millisecond
)

// suspensions sums the time for which the machine was suspended since the process began.
// The monotonic clock stands still meanwhile: leases, ages and timeouts that are reckoned
// by it alone are older than they seem when the machine wakes.
type suspensions struct {
	mu sync.Mutex
	// boottime reads a clock that counts suspensions, from any moment on.
	boottime func() (time.Duration, error)
	// epoch is any moment; base is what boottime read then, at most.
	epoch time.Time
	base  time.Duration
	known bool
	// looked is when, since epoch, it was looked last.
	looked time.Duration
	total  time.Duration
}

var machine = &suspensions{boottime: readBoottime, epoch: time.Now()}

func readBoottime() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

// Now returns the time. Its monotonic reading counts the time for which the machine was
// suspended, so that it is to be set against others of this function alone.
func Now() time.Time {
	now := time.Now()
	return now.Add(machine.upTo(now))
}

// Suspended returns the time for which the machine was suspended since the process began.
func Suspended() time.Duration { return machine.upTo(time.Now()) }

// Since returns the time since t, a time of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// upTo returns the time for which the machine was suspended up to now, a little of the
// latest suspension excepted.
func (s *suspensions) upTo(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Sub(s.epoch)
	// A time before the epoch is of a clock that tests keep.
	if at < 0 || s.known && at-s.looked < lookEvery {
		return s.total
	}
	s.looked = at
	boot, err := s.boottime()
	if err != nil {
		// No such clock: the monotonic one is all that there is.
		return s.total
	}
	if !s.known {
		// Too late a reading makes the base too high, and a suspension shorter.
		s.base, s.known = boot-at, true
	}
	// What passed between the two readings counts for no suspension.
	if suspended := boot - time.Since(s.epoch) - s.base; suspended >= s.total+leastSuspended {
		s.total = suspended
	}
	return s.total
}

// Replace makes another clock that counts suspensions the machine's, as tests do, and
// returns what takes it back.
func Replace(boottime func() time.Duration) (restore func()) {
	before := machine
	machine = &suspensions{epoch: time.Now(), boottime: func() (time.Duration, error) { return boottime(), nil }}
	return func() { machine = before }
}
