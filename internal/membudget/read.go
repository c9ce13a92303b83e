package membudget

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// firstBuffer is the size of the buffer that a reader starts with.
	firstBuffer = 4 << 10
	// growth is the factor by which a buffer grows, so that it is never larger than this many times
	// what has arrived.
	growth = 4
)

// Room asks for memory before it is used; negative bytes are returned.
type Room func(bytes int64) error

// ReadAll reads r to its end, like io.ReadAll. It asks for declared bytes at once, or for a Step
// at a time if declared is negative, and then for the time of one copy also for the whole. It
// allocates memory only as bytes arrive.
func ReadAll(r io.Reader, declared int64, room Room) ([]byte, error) {
	if declared < 0 {
		return readUndeclared(r, room)
	}
	if declared > 0 {
		if err := room(declared); err != nil {
			return nil, err
		}
	}
	buffer := make([]byte, 0, min(declared, firstBuffer))
	for int64(len(buffer)) < declared {
		if len(buffer) == cap(buffer) {
			larger := make([]byte, len(buffer), min(declared, int64(growth*cap(buffer))))
			copy(larger, buffer)
			buffer = larger
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
	return buffer, readEnd(r)
}

// readEnd reads the end of a body whose bytes have all been read.
func readEnd(r io.Reader) error {
	n, err := io.ReadFull(r, make([]byte, 1))
	if errors.Is(err, io.EOF) {
		return nil
	}
	if n > 0 {
		return errors.New("more bytes than were declared")
	}
	return err
}

func readUndeclared(r io.Reader, room Room) ([]byte, error) {
	var parts [][]byte
	total, reserved := int64(0), int64(0)
	for size := firstBuffer; ; size = Step {
		if total+int64(size) > reserved {
			if err := room(Step); err != nil {
				return nil, err
			}
			reserved += Step
		}
		part, err := fill(r, size)
		parts = append(parts, part)
		total += int64(len(part))
		if errors.Is(err, io.EOF) {
			return join(parts, total, room)
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads size bytes, or fewer if r ends or fails. Unlike io.ReadFull it returns the reader's own
// error, as io.ErrUnexpectedEOF is that of a body that was cut off.
func fill(r io.Reader, size int) ([]byte, error) {
	part := make([]byte, 0, size)
	for len(part) < size {
		n, err := r.Read(part[len(part):size])
		part = part[:len(part)+n]
		if err != nil {
			return part, err
		}
	}
	return part, nil
}

// join copies the parts into one buffer.
func join(parts [][]byte, total int64, room Room) ([]byte, error) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	if err := room(total); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, total)
	for _, part := range parts {
		joined = append(joined, part...)
	}
	return joined, room(-total)
}
