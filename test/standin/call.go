package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/briarlink/briarlink/internal/oai"
	"github.com/briarlink/briarlink/test/standin/caller"
)

type callCmd struct {
	Hosts      []string      `required:"" help:"IP:port of entry hosts to ask."`
	Key        string        `required:"" help:"API key."`
	Model      string        `default:"report-writer" help:"Model."`
	Text       string        `required:"" type:"existingfile" help:"File with the base text of the shared prompt."`
	Pieces     int           `default:"30" help:"Pieces of shared prompt made from the text."`
	PieceBytes int           `default:"2000" help:"Size of a piece."`
	Question   string        `required:"" help:"What follows the shared prompt."`
	MaxTokens  int           `default:"24" help:"Tokens wanted."`
	Label      string        `help:"Printed before the answer."`
	Timeout    time.Duration `default:"20s" help:"Limit on the call."`
}

// Run implements the call command.
func (c *callCmd) Run() error {
	text, err := os.ReadFile(c.Text)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	client := &caller.Client{Known: c.Hosts, Key: c.Key, HTTP: http.DefaultClient}
	hosts, err := client.Hosts(ctx, "demo")
	if err != nil {
		return err
	}
	req := &oai.Request{Model: c.Model, MaxTokens: c.MaxTokens, Messages: []oai.Message{
		{Role: "system", Content: SharedPrompt(string(text), c.Pieces*c.PieceBytes)},
		{Role: "user", Content: c.Question},
	}}
	answer, err := client.Chat(ctx, hosts.Hosts[0].Address, req, nil)
	if err != nil {
		return err
	}
	fmt.Printf("%-28s host=%s cached_pieces=%d first_token=%s total=%s tokens=%d\n    answer: %s\n",
		c.Label, hosts.Hosts[0].ID, answer.Usage.Details.CachedTokens/c.PieceBytes,
		answer.FirstToken.Round(time.Millisecond), answer.Total.Round(time.Millisecond), answer.Tokens, answer.Text)
	return nil
}

// SharedPrompt makes a prompt of size bytes from a base text: numbered entries,
// so that no two pieces are alike.
func SharedPrompt(text string, size int) string {
	var b strings.Builder
	for entry := 1; b.Len() < size; entry++ {
		fmt.Fprintf(&b, "Entry %d.\n%s\n", entry, text)
	}
	return b.String()[:size]
}
