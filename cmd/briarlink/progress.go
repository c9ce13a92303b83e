package main

import (
	"fmt"
	"io"
	"time"
)

// progressInterval is the time before the first progress line and between two of them.
// Operators who wait longer without output cannot tell whether the command is still running.
const progressInterval = 2 * time.Second

const bytesInMB = 1e6

// progress prints the progress of a long read. A read that ends within progressInterval
// prints nothing.
type progress struct {
	w    io.Writer
	task string
	// total is the number of bytes to read, or 0 if unknown.
	total int64
	read  int64
	last  time.Time
}

func newProgress(w io.Writer, task string, total int64) *progress {
	return &progress{w: w, task: task, total: total, last: time.Now()}
}

// reader wraps r and counts the bytes read from it.
func (p *progress) reader(r io.Reader) io.Reader { return progressReader{p, r} }

func (p *progress) add(n int) {
	p.read += int64(n)
	if time.Since(p.last) < progressInterval {
		return
	}
	p.last = time.Now()
	if p.total == 0 {
		fmt.Fprintf(p.w, "%s: %.0f MB\n", p.task, float64(p.read)/bytesInMB)
		return
	}
	fmt.Fprintf(p.w, "%s: %.0f of %.0f MB\n", p.task, float64(p.read)/bytesInMB, float64(p.total)/bytesInMB)
}

type progressReader struct {
	p *progress
	r io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.p.add(n)
	return n, err
}
