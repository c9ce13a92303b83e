package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/logreport"
	"github.com/briarlink/briarlink/internal/obs"
)

type logsCmd struct {
	Check  logsCheckCmd  `cmd:"" help:"Check that log lines are as documented, and print those that are not."`
	Report logsReportCmd `cmd:"" help:"Sum what became of requests over time: served, late, refused, failed by cause, hit rate, first events."`
}

type logsReportCmd struct {
	Files []string      `arg:"" optional:"" help:"Log files of all hosts; standard input without any."`
	Step  time.Duration `default:"2s" help:"Length of an interval."`
	Svg   string        `placeholder:"FILE" help:"Also draw it, as an SVG file."`
}

// Run implements the logs report command.
func (c *logsReportCmd) Run() error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	intervals, err := logreport.Build(lines, c.Step)
	if err != nil {
		return usage(err)
	}
	if c.Svg != "" {
		if err := draw(c.Svg, intervals); err != nil {
			return err
		}
	}
	return logreport.Table(os.Stdout, intervals)
}

func draw(name string, intervals []logreport.Interval) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create a drawing")
	}
	logreport.SVG(f, intervals)
	return errors.Wrap(f.Close(), "write a drawing")
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
		err := logline.Each(r, func(text []byte) {
			total++
			if err := checkLine(text); err != nil {
				wrong++
				fmt.Printf("line %d: %v: %.120s\n", total, err, text)
			}
		})
		if err != nil {
			return err
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

// readLogs returns the lines of log files in order of time.
func readLogs(names []string) ([]logline.Line, error) {
	readers, closeAll, err := openLogs(names)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	return logline.ReadAll(readers)
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
