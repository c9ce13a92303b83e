package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/briarlink/briarlink/test/standin/caller"
)

// kind is a kind of request, with its route.
type kind struct {
	name      string
	method    string
	routeType string
	service   string
	resumable bool
	attempts  int
}

// once reports whether a request of the kind may run at most once.
func (k *kind) once() bool { return k.routeType != "safe" && !k.resumable }

func (k *kind) stream() bool { return k.routeType == "streaming" }

func (k *kind) route() object {
	return object{
		"Name": k.name, "Host": hostName, "PathPrefix": "/" + k.name + "/", "RouteType": k.routeType, "TimeoutMs": deadline.Milliseconds(),
		"SloMs": 500, "Priority": 1, "Service": k.service, "Attempts": k.attempts, "Sticky": k.stream(), "CanResume": k.resumable, "GapAimMs": 300,
	}
}

var kinds = []*kind{
	{"reports", http.MethodPost, "streaming", "writer", true, 2},
	{"notes", http.MethodPost, "streaming", "writer", false, 1},
	{"updates", http.MethodPost, "unsafe", "jobs", false, 1},
	{"views", http.MethodGet, "safe", "jobs", false, 2},
}

const (
	callers = 10
	// deadline is the callers', and each route's.
	deadline = 3 * time.Second
	// lateSlack is how long after it a host's last word may come.
	lateSlack = 700 * time.Millisecond
	// pause is a caller's mean pause between two requests.
	pause = 25 * time.Millisecond
	// pressLimit bounds a caller's requests, whatever the time.
	pressLimit = 5000
)

// sent is a request and what became of it.
type sent struct {
	id   string
	kind *kind
	key  string
	body string
	// host is known only of callers that keep to one.
	host *host
	boot int
	// poison requests crash each server that runs them.
	poison bool
	from   time.Time
	to     time.Time
	answer caller.Answer
	err    error
}

// press sends requests until ctx ends. Every other caller keeps to one host, whether
// callers are sent there or not, and uses its connections until the process is gone.
func (w *world) press(ctx context.Context, n int, rng *rand.Rand) {
	c := w.newCaller(w.hosts)
	for range pressLimit {
		if ctx.Err() != nil {
			return
		}
		s := &sent{kind: kinds[rng.IntN(len(kinds))], key: w.pickKey(rng)}
		if n%2 == 0 {
			s.host = w.hosts[n/2*max(1, 2*w.size.hosts/callers)%w.size.hosts]
		}
		w.send(context.WithoutCancel(ctx), c, s, rng)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(2 * pause)))):
		}
	}
}

func (w *world) newCaller(of []*host) *caller.Caller {
	c := &caller.Caller{HostName: hostName, Zone: "zone-0"}
	for _, h := range of {
		c.Directories = append(c.Directories, h.directory())
	}
	c.KeepConnections()
	return c
}

// pickKey mostly takes a key that always holds, now and then one that changes.
func (w *world) pickKey(rng *rand.Rand) string {
	if rng.IntN(5) == 0 {
		return limitedKey
	}
	granted, revoked := w.config.spare()
	if rng.IntN(4) == 0 {
		for key := range granted {
			return key
		}
	}
	if rng.IntN(8) == 0 {
		for key := range revoked {
			return key
		}
	}
	if rng.IntN(2) == 0 {
		return "key-of-museum-a"
	}
	return "key-of-museum-b"
}

func (w *world) send(ctx context.Context, c *caller.Caller, s *sent, rng *rand.Rand) {
	s.id = uuid.NewString()
	r := caller.Request{ID: s.id, Method: s.kind.method, Path: fmt.Sprintf("/%s/%d", s.kind.name, rng.IntN(9)), Deadline: deadline}
	switch {
	case s.poison:
		r.Path, r.Body = "/"+s.kind.name+"/poison", s.body
	case s.kind.method == http.MethodPost:
		s.body = strings.Repeat("x", rng.IntN(3000))
		r.Body = s.body
	}
	if s.kind.stream() {
		r.Model, r.Tokens, r.Prefix = model, "900,32", fmt.Sprintf("a%d:800,own%s:100", rng.IntN(6), s.id[:8])
	}
	c.Key = s.key
	ctx, cancel := context.WithTimeout(ctx, deadline+lateSlack)
	defer cancel()
	s.from = time.Now()
	if s.host != nil {
		s.boot = s.host.currentBoot()
		s.answer, s.err = c.SendTo(ctx, s.host.caller(), r)
	} else {
		s.answer, s.err = c.Send(ctx, r)
	}
	s.to = time.Now()
	if s.host != nil && s.host.currentBoot() != s.boot {
		// Which of the two starts answered is not known.
		s.boot = 0
	}
	w.seen.add(s)
	w.judge(s)
}
