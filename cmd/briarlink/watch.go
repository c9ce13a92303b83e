package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
)

type watchFlags struct {
	Watch    bool          `help:"Refresh the table until interrupted."`
	Interval time.Duration `default:"2s" help:"Time between two tables."`
}

// AfterApply implements kong's hook and validates the flags.
func (f *watchFlags) AfterApply() error {
	if f.Interval <= 0 {
		return errors.New("--interval must be longer than 0")
	}
	return nil
}

// run prints once, or repeatedly until the operator interrupts it.
func (f *watchFlags) run(print func(context.Context, io.Writer) error) error {
	if !f.Watch {
		return print(context.Background(), os.Stdout)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w := watch{interval: f.Interval, print: print, out: os.Stdout, errs: os.Stderr, terminal: isTerminal(os.Stdout)}
	return w.run(ctx)
}

// isTerminal reports whether a file is a terminal, where each table can overwrite the
// previous one.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// watch calls print at an interval.
type watch struct {
	interval  time.Duration
	print     func(context.Context, io.Writer) error
	out, errs io.Writer
	terminal  bool
}

// clearScreen moves a terminal's cursor home and clears everything after it.
const clearScreen = "\x1b[H\x1b[J"

// run prints until ctx ends, which is not an error. A failed call is printed and repeated at
// the next interval, so that the watch survives a restart of the host.
func (w *watch) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var failed error
	clock.Every(ctx, w.interval, func() {
		if failed = w.refresh(ctx); failed != nil {
			stop()
		}
	})
	return failed
}

// refresh prints once. It returns an error only if the output fails.
func (w *watch) refresh(ctx context.Context) error {
	var table bytes.Buffer
	if w.terminal {
		table.WriteString(clearScreen)
	}
	fmt.Fprintf(&table, "%s, every %v\n\n", time.Now().Format(time.TimeOnly), w.interval)
	err := w.print(ctx, &table)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		_, err = fmt.Fprintf(w.errs, "%s %v\n", time.Now().Format(time.TimeOnly), err)
		return errors.Wrap(err, "print")
	}
	table.WriteString("\n")
	// A single write, so that a terminal never shows a partial table.
	_, err = w.out.Write(table.Bytes())
	return errors.Wrap(err, "print")
}
