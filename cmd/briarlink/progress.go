package main

import (
	"fmt"
	"io"
	"time"
)

// progressInterval is the time after which work tells how far it is, and then the time
// between two lines: an operator who waits longer wonders whether anything goes on.
const progressInterval = 2 * time.Second

const bytesInMB = 1e6

// progress tells how far a long reading is. One that ends within the interval says
// nothing.
type progress struct {
	w    io.Writer
	what string
	// total is the number of bytes to read, 0 if that is not known.
	total int64
	read  int64
	last  time.Time
}

func newProgress(w io.Writer, what string, total int64) *progress {
	return &progress{w: w, what: what, total: total, last: time.Now()}
}

// reader returns a reader whose bytes count.
func (p *progress) reader(r io.Reader) io.Reader { return progressReader{p, r} }

func (p *progress) add(n int) {
	p.read += int64(n)
	if time.Since(p.last) < progressInterval {
		return
	}
	p.last = time.Now()
	if p.total == 0 {
		fmt.Fprintf(p.w, "%s: %.0f MB\n", p.what, float64(p.read)/bytesInMB)
		return
	}
	fmt.Fprintf(p.w, "%s: %.0f of %.0f MB\n", p.what, float64(p.read)/bytesInMB, float64(p.total)/bytesInMB)
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
