package main

import (
	"fmt"

	"github.com/briarlink/briarlink/internal/explain"
)

type explainCmd struct {
	Request string   `arg:"" help:"ID of the request."`
	Files   []string `arg:"" optional:"" help:"Log files of all hosts; standard input without any."`
	All     bool     `help:"Also every other line on the replicas that it met, since the logs begin."`
}

// Run implements the explain command.
func (c *explainCmd) Run() error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	story, err := explain.Tell(c.Request, lines, c.All)
	if err != nil {
		return err
	}
	fmt.Println(story.Verdict)
	for _, l := range story.Lines {
		fmt.Println(l.String())
	}
	return nil
}
