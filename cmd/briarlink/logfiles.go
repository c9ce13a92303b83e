package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/logline"
)

// stdinName is the file name that means standard input.
const stdinName = "-"

// logFiles are the log files of all hosts. They are read one after the other and line by
// line, so that memory use does not depend on their number and size.
type logFiles struct {
	names []string
	// copies are spooled copies of inputs that can be read only once, by name.
	copies map[string]*os.File
	// again is set by the first call of Each.
	again bool
}

// newLogFiles returns the named log files, or standard input if there are none. Close
// releases them.
func newLogFiles(names []string) *logFiles {
	if len(names) == 0 {
		names = []string{stdinName}
	}
	return &logFiles{names: names, copies: map[string]*os.File{}}
}

// Close removes the spooled copies.
func (l *logFiles) Close() {
	for _, file := range l.copies {
		file.Close()
	}
}

// Each implements logline.Logs and prints its progress on standard error.
func (l *logFiles) Each(f func(text []byte) error) error {
	total, err := l.size()
	if err != nil {
		return err
	}
	task := "reading logs"
	if l.again {
		task = "reading logs again"
	}
	l.again = true
	p := newProgress(os.Stderr, task, total)
	for _, name := range l.names {
		if err := l.eachLine(name, p, f); err != nil {
			return err
		}
	}
	return nil
}

func (l *logFiles) eachLine(name string, p *progress, f func(text []byte) error) error {
	file, err := l.open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return errors.Wrap(logline.Each(p.reader(file), f), name)
}

// size returns the total size of the files in bytes, or 0 if one of them has no known size.
// It fails if a file is missing, before any of them is read.
func (l *logFiles) size() (total int64, err error) {
	sized := true
	for _, name := range l.names {
		regular, size, err := l.stat(name)
		if err != nil {
			return 0, err
		}
		sized = sized && regular
		total += size
	}
	if !sized {
		return 0, nil
	}
	return total, nil
}

// stat returns whether a log, or its spooled copy, is a regular file, and its size.
func (l *logFiles) stat(name string) (regular bool, size int64, err error) {
	var info os.FileInfo
	switch file := l.copies[name]; {
	case file != nil:
		info, err = file.Stat()
	case name == stdinName:
		return false, 0, nil
	default:
		info, err = os.Stat(name)
	}
	if err != nil {
		return false, 0, errors.Wrap(err, "open a log")
	}
	return info.Mode().IsRegular(), info.Size(), nil
}

// open opens a log, or its spooled copy, at the beginning.
func (l *logFiles) open(name string) (io.ReadCloser, error) {
	if file := l.copies[name]; file != nil {
		_, err := file.Seek(0, io.SeekStart)
		return io.NopCloser(file), errors.Wrap(err, "read a log again")
	}
	if name == stdinName {
		return io.NopCloser(os.Stdin), nil
	}
	file, err := os.Open(name)
	return file, errors.Wrap(err, "open a log")
}

// spool copies pipes and standard input to temporary files, so that the logs can be read
// more than once.
func (l *logFiles) spool() error {
	for _, name := range l.names {
		regular, _, err := l.stat(name)
		if err != nil {
			return err
		}
		if regular {
			continue
		}
		if err := l.copy(name); err != nil {
			return errors.Wrap(err, "keep a log that can be read only once")
		}
	}
	return nil
}

// copy copies a log into an unlinked temporary file, which disappears with the process.
func (l *logFiles) copy(name string) error {
	log, err := l.open(name)
	if err != nil {
		return err
	}
	defer log.Close()
	file, err := os.CreateTemp("", "briarlink-log-")
	if err != nil {
		return err
	}
	l.copies[name] = file
	if err := os.Remove(file.Name()); err != nil {
		return err
	}
	_, err = io.Copy(file, newProgress(os.Stderr, "copying a log", 0).reader(log))
	return err
}
