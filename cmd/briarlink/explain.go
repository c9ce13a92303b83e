package main

import (
	"fmt"

	"github.com/briarlink/briarlink/internal/explain"
)

type explainCmd struct {
	Request string   `arg:"" help:"ID of the request."`
	Files   []string `arg:"" optional:"" help:"Log files of all hosts; standard input without any."`
	All     bool     `help:"Also print every other line on the replicas that the request was sent to, since the logs begin."`
}

// Run implements the explain command.
func (c *explainCmd) Run() error {
	logs := newLogFiles(c.Files)
	defer logs.Close()
	// explain.Request reads the logs twice.
	if err := logs.spool(); err != nil {
		return err
	}
	explanation, err := explain.Request(c.Request, logs, c.All)
	if err != nil {
		return err
	}
	fmt.Println(explanation.Verdict)
	for _, l := range explanation.Lines {
		fmt.Println(l.String())
	}
	return nil
}
