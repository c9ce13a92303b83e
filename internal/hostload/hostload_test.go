package hostload

import (
	"testing"
	"time"
)

const interval = 150 * time.Millisecond

// use lets the process use a share of one core for a time, read at each interval.
func use(m *Meter, at time.Time, cpu time.Duration, share float64, d time.Duration) (time.Time, time.Duration) {
	for end := at.Add(d); at.Before(end); {
		m.Observe(cpu, at)
		at, cpu = at.Add(interval), cpu+time.Duration(share*float64(interval))
	}
	return at, cpu
}

// TestUtilisationIsMeasuredAgainstTheCoresOfTheHost guards against small hosts that report the same
// utilisation as large ones for the same work, and against an idle host that reports 0, which other
// hosts take for unknown.
func TestUtilisationIsMeasuredAgainstTheCoresOfTheHost(t *testing.T) {
	for _, c := range []struct {
		cores, share float64
		want         int32
	}{
		{0.8, 0.4, 500},
		{0.192, 0.192, 1000},
		{0.192, 0.384, 2000},
		{0.8, 0, 1},
		{0, 0.5, 0},
	} {
		m := NewMeter(c.cores)
		use(m, time.Unix(1, 0), 3*time.Second, c.share, 2*time.Second)
		if got := m.Utilisation(); got < c.want-1 || got > c.want+1 || (got == 0) != (c.want == 0) {
			t.Errorf("%g cores, %g in use: utilisation %d, want %d", c.cores, c.share, got, c.want)
		}
	}
}

// TestUtilisationIsUnknownAtFirst guards against a host that has just started and counts the CPU time
// of its start, read once, as its load.
func TestUtilisationIsUnknownAtFirst(t *testing.T) {
	m := NewMeter(1)
	at, cpu := use(m, time.Unix(1, 0), time.Minute, 1, 450*time.Millisecond)
	if got := m.Utilisation(); got != 0 {
		t.Errorf("after 300 ms the utilisation is %d, want 0", got)
	}
	use(m, at, cpu, 1, interval*2)
	if got := m.Utilisation(); got != 1000 {
		t.Errorf("after 600 ms the utilisation is %d, want 1000", got)
	}
}

// TestUtilisationFollowsTheLoad guards against a peak that is reported long after it ended, and against
// a host whose readings were delayed and that divides by the wrong time.
func TestUtilisationFollowsTheLoad(t *testing.T) {
	m := NewMeter(1)
	at, cpu := use(m, time.Unix(1, 0), 0, 1, 3*time.Second)
	at, cpu = use(m, at, cpu, 0.1, time.Second)
	if got := m.Utilisation(); got < 95 || got > 105 {
		t.Errorf("1 s after a peak the utilisation is %d, want 100", got)
	}
	m.Observe(cpu+time.Second, at.Add(4*time.Second))
	if got := m.Utilisation(); got < 180 || got > 250 {
		t.Errorf("after a pause of 4 s with 1 s of CPU time the utilisation is %d, want about 200", got)
	}
}

// TestProcessTimeGrowsWithWork guards against a reading that leaves out the process's own work.
func TestProcessTimeGrowsWithWork(t *testing.T) {
	before, err := ProcessTime()
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		after, err := ProcessTime()
		if err != nil {
			t.Fatal(err)
		}
		if after-before >= 20*time.Millisecond {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("10 s of work count as %v", after-before)
		}
	}
}
