// Package caller is a stand-in for a caller: it asks which entry host to use,
// sends a request there and checks the stream it gets.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/briarlink/briarlink/internal/entry"
	"github.com/briarlink/briarlink/internal/oai"
)

// Client calls on behalf of one organisation.
type Client struct {
	// Known are entry hosts to ask, as IP:port.
	Known []string
	Key   string
	HTTP  *http.Client
}

// Answer is a complete streamed answer.
type Answer struct {
	Host       string
	Text       string
	Tokens     int
	Usage      oai.Usage
	FirstToken time.Duration
	Total      time.Duration
}

// Failure is an answer that is not complete.
type Failure struct {
	Status   int
	Kind     string
	RunState string
	Message  string
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("status %d, %s, %s: %s", f.Status, f.Kind, f.RunState, f.Message)
}

// Hosts asks the known hosts in turn which hosts to use for a prefix.
func (c *Client) Hosts(ctx context.Context, hint string) (*entry.HostAnswer, error) {
	var last error
	for _, address := range c.Known {
		resp, err := c.do(ctx, http.MethodGet, address, "/v1/hosts?prefix="+url.QueryEscape(hint), nil, nil)
		if err != nil {
			last = err
			continue
		}
		defer resp.Body.Close()
		answer := &entry.HostAnswer{}
		if resp.StatusCode == http.StatusOK {
			return answer, json.NewDecoder(resp.Body).Decode(answer)
		}
		last = failure(resp)
	}
	return nil, errors.Wrap(last, "no known host answered")
}

// Chat sends a streamed chat request to host and reads the whole answer. An
// answer that is cut, out of order or without [DONE] is an error.
func (c *Client) Chat(ctx context.Context, host string, req *oai.Request, header http.Header) (*Answer, error) {
	req.Stream = true
	started := time.Now()
	resp, err := c.do(ctx, http.MethodPost, host, "/v1/chat/completions", oai.Encode(req), header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, failure(resp)
	}
	answer := &Answer{Host: host}
	var text strings.Builder
	next := 0
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return nil, errors.Wrap(err, "stream was cut")
		}
		if ev.Type == "error" {
			body := oai.ErrorBody{}
			if err := json.Unmarshal([]byte(ev.Data), &body); err != nil {
				return nil, errors.Wrap(err, "decode error event")
			}
			return nil, &Failure{resp.StatusCode, body.Error.Type, body.Error.RunState, body.Error.Message}
		}
		if ev.Data == oai.Done {
			answer.Text, answer.Total = text.String(), time.Since(started)
			return answer, nil
		}
		if ev.LastEventID != strconv.Itoa(next) {
			return nil, errors.Errorf("event %q in place of %d", ev.LastEventID, next)
		}
		next++
		chunk := oai.Chunk{}
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
			return nil, errors.Wrap(err, "decode chunk")
		}
		if answer.FirstToken == 0 {
			answer.FirstToken = time.Since(started)
		}
		if chunk.Usage != nil {
			answer.Usage = *chunk.Usage
		}
		if delta := chunk.Choices[0].Delta; delta != nil && delta.Content != "" {
			text.WriteString(delta.Content)
			answer.Tokens++
		}
	}
	return nil, errors.New("stream ended without [DONE]")
}

// Call sends a call of a plain service and returns its status and body.
func (c *Client) Call(ctx context.Context, host, path string, body []byte, header http.Header) (int, []byte, error) {
	resp, err := c.do(ctx, http.MethodPost, host, path, body, header)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(entry.HeaderRunState) != "ran" {
		return resp.StatusCode, nil, failure(resp)
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func (c *Client) do(ctx context.Context, method, address, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	return c.HTTP.Do(req)
}

func failure(resp *http.Response) error {
	body := oai.ErrorBody{}
	data, _ := io.ReadAll(resp.Body)
	if json.Unmarshal(data, &body) != nil {
		body.Error.Message = string(data)
	}
	return &Failure{resp.StatusCode, body.Error.Type, body.Error.RunState, body.Error.Message}
}
