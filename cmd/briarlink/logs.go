package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/obs"
)

type logsCmd struct {
	Check logsCheckCmd `cmd:"" help:"Check that log lines are as documented, and print those that are not."`
}

type logsCheckCmd struct {
	Files []string `arg:"" optional:"" help:"Log files; standard input without any."`
}

// Run implements the logs check command.
func (c *logsCheckCmd) Run() error {
	readers, closeAll, err := openLogs(c.Files)
	if err != nil {
		return err
	}
	defer closeAll()
	wrong, total := 0, 0
	for _, r := range readers {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, logline.MaxBytes)
		for scanner.Scan() {
			total++
			if err := checkLine(scanner.Bytes()); err != nil {
				wrong++
				fmt.Printf("line %d: %v: %.120s\n", total, err, scanner.Text())
			}
		}
		if err := scanner.Err(); err != nil {
			return errors.Wrap(err, "read a log")
		}
	}
	fmt.Printf("%d lines, %d not as documented\n", total, wrong)
	if wrong > 0 {
		return usage(errors.New("some lines are not as documented"))
	}
	return nil
}

// checkLine checks a line, without what a collector wrote before it.
func checkLine(line []byte) error {
	_, object := logline.Object(line)
	return obs.CheckLine(object)
}

// openLogs opens log files, or takes standard input without any.
func openLogs(names []string) (readers []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "open a log")
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	if len(names) == 0 {
		readers = []io.Reader{os.Stdin}
	}
	return readers, closeAll, nil
}
