// Package caller is a stand-in for callers: it looks up hosts in the directory, caches
// the answer for its TTL, and sends requests to them.
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

// Caller looks up hosts and sends requests. It is safe for concurrent use.
type Caller struct {
	// Directories are the addresses of directories in the order in which they are tried, the
	// nearest first.
	Directories []string
	HostName    string
	Zone        string
	Key         string

	mu        sync.Mutex
	addresses []string
	expiry    time.Time
	client    http.Client
}

// Answer is the answer to a request.
type Answer struct {
	Status     int
	Header     http.Header
	Body       string
	RetryAfter time.Duration
	// Whole is false if the connection ended before the answer was complete.
	Whole bool
	// Address is the address that answered.
	Address string
}

type directoryAnswer struct {
	Addrs []string
	TtlS  float64
}

// Resolve returns the addresses of the hosts to use, from the cache or from the first
// directory that answers.
func (c *Caller) Resolve(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expiry) {
		return c.addresses, nil
	}
	query := url.Values{"Name": {c.HostName}, "Zone": {c.Zone}}.Encode()
	err := fmt.Errorf("no directory address is configured")
	for _, d := range c.Directories {
		var answer directoryAnswer
		if answer, err = c.queryDirectory(ctx, "http://"+d+"/-/resolve?"+query); err == nil {
			c.addresses = answer.Addrs
			c.expiry = time.Now().Add(time.Duration(answer.TtlS * float64(time.Second)))
			return c.addresses, nil
		}
	}
	return nil, err
}

func (c *Caller) queryDirectory(ctx context.Context, target string) (directoryAnswer, error) {
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
		return answer, fmt.Errorf("the directory returned no addresses")
	}
	return answer, nil
}

// Request describes a request to send.
type Request struct {
	ID     string
	Method string
	Path   string
	Body   string
	// Model, Prefix and Tokens are the values of the headers with these names in package
	// wire.
	Model    string
	Prefix   string
	Tokens   string
	Deadline time.Duration
}

// Send sends a request to a random one of the resolved addresses.
func (c *Caller) Send(ctx context.Context, r Request) (Answer, error) {
	addresses, err := c.Resolve(ctx)
	if err != nil {
		return Answer{}, err
	}
	return c.SendTo(ctx, addresses[rand.IntN(len(addresses))], r)
}

// KeepConnections gives the caller its own pool of keep-alive connections, instead of the
// default transport that callers share.
func (c *Caller) KeepConnections() { c.client.Transport = &http.Transport{} }

// CloseConnections makes the caller send each request over a new connection.
func (c *Caller) CloseConnections() {
	c.client.Transport = &http.Transport{DisableKeepAlives: true}
}

// SendTo sends a request to an address.
func (c *Caller) SendTo(ctx context.Context, address string, r Request) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{}, err
	}
	req.Host = c.HostName
	c.setHeaders(req.Header, r)
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return Answer{resp.StatusCode, resp.Header, string(body), time.Duration(after * float64(time.Second)), err == nil, address}, nil
}

func (c *Caller) setHeaders(h http.Header, r Request) {
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
