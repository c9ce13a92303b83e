package upstream

import (
	"io"

	"github.com/pkg/errors"
)

var errHeadTooLarge = errors.New("the heads of answers exceed the size limit")

// headLimit limits what is read from a connection while the head of an answer is expected. http.ReadResponse keeps
// all lines of a head in memory, however many there are and however long.
type headLimit struct {
	io.Reader
	active bool
	left   int
}

// begin limits what is read from now on.
func (l *headLimit) begin(bytes int) { l.active, l.left = true, bytes }

// end lifts the limit: a body follows.
func (l *headLimit) end() { l.active = false }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
