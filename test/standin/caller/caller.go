// Package caller is a stand-in for the platform's callers: it asks the directory
// where to connect, keeps the answer for a while, and sends requests there.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// Caller is safe for concurrent use.
type Caller struct {
	// Directories are the addresses to ask, the nearest first.
	Directories []string
	HostName    string
	Zone        string
	Key         string

	mu        sync.Mutex
	addresses []string
	until     time.Time
	client    http.Client
}

// Answer is what a caller got.
type Answer struct {
	Status     int
	Header     http.Header
	Body       string
	RetryAfter time.Duration
	// Whole is false when the connection ended within the answer.
	Whole bool
}

type directoryAnswer struct {
	Addrs []string
	TtlS  float64
}

// Resolve returns the addresses to use.
func (c *Caller) Resolve(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addresses, nil
	}
	query := url.Values{"Name": {c.HostName}, "Zone": {c.Zone}}.Encode()
	err := fmt.Errorf("no directory is known")
	for _, d := range c.Directories {
		var answer directoryAnswer
		if answer, err = c.ask(ctx, "http://"+d+"/-/resolve?"+query); err == nil {
			c.addresses = answer.Addrs
			c.until = time.Now().Add(time.Duration(answer.TtlS * float64(time.Second)))
			return c.addresses, nil
		}
	}
	return nil, err
}

func (c *Caller) ask(ctx context.Context, target string) (directoryAnswer, error) {
	var answer directoryAnswer
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, err
	}
	if len(answer.Addrs) == 0 {
		return answer, fmt.Errorf("the directory named no address")
	}
	return answer, nil
}

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	Path   string
	Body   string
	// Model, Prefix and Tokens are as in the headers of the same meaning.
	Model    string
	Prefix   string
	Tokens   string
	Deadline time.Duration
}

// Send sends a request to one of the addresses.
func (c *Caller) Send(ctx context.Context, r Request) (Answer, error) {
	addresses, err := c.Resolve(ctx)
	if err != nil {
		return Answer{}, err
	}
	return c.SendTo(ctx, addresses[rand.IntN(len(addresses))], r)
}

// KeepConnections gives the caller connections of its own, which it keeps.
func (c *Caller) KeepConnections() { c.client.Transport = &http.Transport{} }

// SendTo sends a request to an address.
func (c *Caller) SendTo(ctx context.Context, address string, r Request) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{}, err
	}
	req.Host = c.HostName
	c.headers(req.Header, r)
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return Answer{resp.StatusCode, resp.Header, string(body), time.Duration(after * float64(time.Second)), err == nil}, nil
}

func (c *Caller) headers(h http.Header, r Request) {
	for name, value := range map[string]string{
		wire.Key: c.Key, wire.Attempt: r.ID, wire.Model: r.Model,
		wire.Prefix: r.Prefix, wire.Tokens: r.Tokens,
	} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if r.Deadline > 0 {
		h.Set(wire.Deadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
}
