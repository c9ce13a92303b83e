package upstream

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// untilCloseBody is a body with neither a length nor chunks, which ends with its connection. Its end is io.EOF only if the
// server ended the connection; a connection that broke is an error, also if the system reported it to the writer of the
// request.
type untilCloseBody struct {
	io.Reader
	conn *conn
	// err is the end of the body once it has been read.
	err error
}

// Read implements io.Reader.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.conn.inputEnd()
	}
	b.err = err
	return n, err
}

// inputEnd returns io.EOF if the server ended its side of a connection from which all was read, or the error with which the
// connection broke. The system reports such an error once, to the reader or to the writer of a request that is still being
// sent; the other one of them sees an end.
func (c *conn) inputEnd() error {
	// Ends a write that is still pending, and so was told of no error: the server may never read the rest of the request. If
	// this fails, the connection is closed, which has ended the write.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	err := <-c.writeDone
	// A reset that follows the server's end is EPIPE.
	if errno := syscall.Errno(0); errors.As(err, &errno) && errno != syscall.EPIPE {
		return errors.Wrap(err, "the connection broke before the end of the answer")
	}
	return io.EOF
}
