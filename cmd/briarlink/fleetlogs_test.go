package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Size of the logs of a large fleet: 295 hosts write about 300,000 lines in a day.
const (
	fleetHosts = 295
	fleetLines = 300_000
	fleetSeed  = 295
)

// fleetDay is the time of the first lines, and fleetSpan the time that the logs cover.
var fleetDay = time.Date(2026, 6, 1, 10, 0, 0, 0, time.UTC)

const fleetSpan = time.Hour

// fleetLost is the request that fails because its replica was lost. It is in the middle of
// the first host's log; the other lines are random.
const fleetLost = "r-lost"

// fleet generates the logs of many hosts in a log collector's format: a time and the host's
// name before each line, sorted by time. The seed is fixed, so that they are always the same.
type fleet struct {
	hosts, lines int
}

// host writes the log of one host.
func (f fleet) host(w io.Writer, host int) {
	random := rand.New(rand.NewPCG(fleetSeed, uint64(host)))
	lines := f.lines / f.hosts
	step := fleetSpan / time.Duration(lines)
	at := time.Duration(random.Int64N(int64(step)))
	for n := range lines {
		line := randomLine(random, host, n)
		if host == 0 && n == lines/2 {
			line = lostLine
		}
		fmt.Fprintf(w, "%.3f edge-zone-%03d %s\"time\":%q}\n", at.Seconds(), host, line, fleetDay.Add(at).Format(time.RFC3339Nano))
		at += step
	}
}

// lostLine is the line that ends the request fleetLost, without its time.
const lostLine = `{"config":7,"error":"backend_lost: the stream was cut: unexpected EOF","expected_ms":200,"first_ms":240,"level":"warning","ms":1800,` +
	`"msg":"request","outcome":"backend_lost","ran":1,"replica":"i-00007","request":"` + fleetLost + `","sends":1,"state":"failed",` +
	`"tries":[{"Replica":"i-00007","Result":"lost","Reason":"cut","Ms":1790}],"weights":1,`

// randomLine returns a line without its time. Nine of ten lines end requests.
func randomLine(random *rand.Rand, host, n int) string {
	replica := fmt.Sprintf("i-%05d", random.IntN(137))
	switch random.IntN(100) {
	case 0, 1:
		return fmt.Sprintf(`{"failures":"0.31","level":"warning","msg":"replica thought down","reason":"unreachable","replica":%q,`, replica)
	case 2, 3:
		return fmt.Sprintf(`{"failures":"0.02","level":"info","msg":"replica serves again","reason":"answered","replica":%q,`, replica)
	case 4, 5, 6:
		return fmt.Sprintf(`{"level":"info","msg":"weights loaded","model":"m","ms":849,"replica":%q,"version":%d,`, replica, 1+n/1000)
	case 7:
		return fmt.Sprintf(`{"host":"edge-zone-%03d","incarnation":%d,"known_before":true,"leaving":false,"level":"info","msg":"host changed","others":0,"ready":true,`, random.IntN(fleetHosts), random.Uint64())
	case 8:
		return fmt.Sprintf(`{"level":"info","msg":"configuration in force","offset":%d,"organisations":2,"routes":4,"version":7,`, n)
	case 9:
		return fmt.Sprintf(`{"level":"info","msg":"weights wanted","model":"m","offset":%d,"version":1,`, n)
	}
	outcome, state, first := "ok", "complete", 40+random.IntN(400)
	if random.IntN(50) == 0 {
		outcome, state, first = "overloaded", "failed", 0
	}
	return fmt.Sprintf(`{"cached":%d,"config":7,"config_age_ms":%d,"deadline_ms":3000,"expected_ms":%d,"fetched":0,"first_ms":%d,"level":"info","ms":%d,"msg":"request",`+
		`"organisation":"org-%d","outcome":%q,"prefix":"p%06x","prompt":9957,"ran":1,"replica":%q,"request":"%03x%013x","route":"reports","salt":"s","sends":1,"shared":%d,`+
		`"sink":"","source":"","state":%q,"status":200,"target_ms":400,"weights":1,`,
		random.IntN(9000), random.IntN(300), 30+random.IntN(300), first, first+random.IntN(900), random.IntN(1500), outcome, random.IntN(1<<24), replica, host, n, 9000, state)
}

// write writes the logs of all hosts into a directory and returns the file names and the
// total size in bytes.
func (f fleet) write(tb testing.TB, dir string) (names []string, bytes int64) {
	tb.Helper()
	for host := range f.hosts {
		name := filepath.Join(dir, fmt.Sprintf("edge-zone-%03d.log", host))
		file, err := os.Create(name)
		if err != nil {
			tb.Fatal(err)
		}
		w := bufio.NewWriter(file)
		f.host(w, host)
		if err := w.Flush(); err != nil {
			tb.Fatal(err)
		}
		info, err := file.Stat()
		if err != nil {
			tb.Fatal(err)
		}
		bytes += info.Size()
		if err := file.Close(); err != nil {
			tb.Fatal(err)
		}
		names = append(names, name)
	}
	return names, bytes
}

// BenchmarkFleetLogs runs the commands on the log files of a large fleet. It reports time and
// bytes allocated for each line, and the peak memory of the process.
func BenchmarkFleetLogs(b *testing.B) {
	names, size := fleet{fleetHosts, fleetLines}.write(b, b.TempDir())
	for _, command := range [][]string{{"logs", "report"}, {"explain", fleetLost}, {"explain", "--all", fleetLost}} {
		b.Run(fmt.Sprint(command), func(b *testing.B) {
			b.SetBytes(size)
			b.ReportAllocs()
			discardOutput(b)
			for b.Loop() {
				if code := run(append(command, names...)); code != exitOK {
					b.Fatalf("exit code %d", code)
				}
			}
			lines := float64(b.N * fleetLines)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/lines, "ns/line")
			b.ReportMetric(peakMB(b), "peak-MB")
		})
	}
}

// discardOutput discards standard output until the test or benchmark ends.
func discardOutput(tb testing.TB) {
	tb.Helper()
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		tb.Fatal(err)
	}
	out := os.Stdout
	os.Stdout = null
	tb.Cleanup(func() {
		os.Stdout = out
		null.Close()
	})
}

// peakMB returns the peak resident memory of this process.
func peakMB(tb testing.TB) float64 {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	const kilobytesInMB = 1024
	return float64(usage.Maxrss) / kilobytesInMB
}
