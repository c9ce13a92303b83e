// Package hostload measures how much of the CPU time that a host provides its process uses.
package hostload

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// window is the time over which the utilisation is measured. Over a shorter time a garbage
	// collection of a small host looks like saturation; a longer one delays the answer to it.
	window = 500 * time.Millisecond
	// full is the utilisation, in thousandths, of a host that uses all that it provides.
	full = 1000
)

// Meter measures the utilisation of one process. It is safe for concurrent use.
type Meter struct {
	cores float64

	mu sync.Mutex
	// samples are the readings of the last window, oldest first, and the newest one before it.
	samples     []sample
	utilisation int32
}

type sample struct {
	at  time.Time
	cpu time.Duration
}

// NewMeter returns the meter of a host that provides the given number of cores; 0 if that is unknown.
func NewMeter(cores float64) *Meter { return &Meter{cores: cores} }

// Observe records the CPU time that the process has used since its start.
func (m *Meter) Observe(cpu time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cores <= 0 {
		return
	}
	m.samples = append(m.samples, sample{now, cpu})
	for len(m.samples) > 1 && now.Sub(m.samples[1].at) >= window {
		m.samples = m.samples[1:]
	}
	first := m.samples[0]
	elapsed := now.Sub(first.at)
	if elapsed < window {
		return
	}
	used := float64(cpu-first.cpu) / (float64(elapsed) * m.cores)
	m.utilisation = max(1, int32(min(math.Round(used*full), math.MaxInt32)))
}

// Utilisation returns the CPU time used over the last window, in thousandths of what the host
// provides. It is 0 while it is unknown, otherwise at least 1, and exceeds 1000 if the process is not
// limited to what the host provides.
func (m *Meter) Utilisation() int32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.utilisation
}

// ProcessTime returns the CPU time that this process has used since its start.
func ProcessTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
