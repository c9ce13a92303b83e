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
	"github.com/briarlink/briarlink/test/standin/engine"
)

// kind is a kind of request, with the properties of its route.
type kind struct {
	name      string
	method    string
	routeType string
	service   string
	resumable bool
	attempts  int
}

// atMostOnce reports whether a request of the kind may run at most once.
func (k *kind) atMostOnce() bool { return k.routeType != "safe" && !k.resumable }

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
	callerCount = 10
	// deadline is the deadline of callers and of every route, unless a seed has another one.
	deadline = 3 * time.Second
	// deadlineSlack is how long after the deadline a host may take to end its answer.
	deadlineSlack = 700 * time.Millisecond
	// meanPause is a caller's mean pause between two requests.
	meanPause = 25 * time.Millisecond
	// maxRequests limits the number of requests of a caller.
	maxRequests = 5000
)

// request is a request that a caller sent, and its outcome.
type request struct {
	id   string
	kind *kind
	key  string
	body string
	// size is the minimum size of the answer to a plain request.
	size int
	// host is set only for callers that always use the same host, and with silences for all.
	host        *host
	incarnation int
	// poison marks a request that crashes each server that runs it.
	poison bool
	// cutCount says with which hosts the check of cuts from all servers counts the request, "" if it does not.
	cutCount string
	from     time.Time
	to       time.Time
	answer   caller.Answer
	err      error
}

// generateLoad sends requests as caller n until ctx ends. Every other caller always uses
// the same host, whether the directory names it or not, and keeps its connections until
// the process exits.
func (fx *fixture) generateLoad(ctx context.Context, n int, rng *rand.Rand) {
	c := fx.newCaller(fx.hosts)
	for range maxRequests {
		if ctx.Err() != nil {
			return
		}
		s := &request{kind: kinds[rng.IntN(len(kinds))], key: fx.pickKey(rng)}
		if n%2 == 0 {
			s.host = fx.hosts[n/2*max(1, 2*fx.size.hosts/fx.callers())%fx.size.hosts]
		} else if fx.silences {
			s.host = fx.named(c, rng)
		}
		if fx.silences && !s.kind.stream() {
			s.size = rng.IntN(largeParts) * engine.PartSize
		}
		fx.send(context.WithoutCancel(ctx), c, s, rng)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.Int64N(int64(2 * meanPause)))):
		}
	}
}

func (fx *fixture) newCaller(hosts []*host) *caller.Caller {
	c := &caller.Caller{HostName: hostName, Zone: "zone-0"}
	for _, h := range hosts {
		c.Directories = append(c.Directories, h.directory())
	}
	c.KeepConnections()
	return c
}

// pickKey returns an API key: mostly one that is always in force, sometimes one that is
// granted and revoked.
func (fx *fixture) pickKey(rng *rand.Rand) string {
	if rng.IntN(5) == 0 {
		return limitedKey
	}
	granted, revoked := fx.operator.spareKeys()
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

func (fx *fixture) send(ctx context.Context, c *caller.Caller, s *request, rng *rand.Rand) {
	s.id = uuid.NewString()
	r := caller.Request{ID: s.id, Method: s.kind.method, Path: fmt.Sprintf("/%s/%d", s.kind.name, rng.IntN(9)), Deadline: fx.deadline()}
	switch {
	case s.poison && fx.poisonOptions.CrashBlock == "":
		r.Path, r.Body = "/"+s.kind.name+"/poison", s.body
	case s.poison:
		r.Body = s.body
	case s.kind.method == http.MethodPost:
		s.body = strings.Repeat("x", fx.uploadSize(s.kind, rng))
		r.Body = s.body
	}
	if s.size > 0 {
		r.Path += fmt.Sprint("?bytes=", s.size)
	}
	if s.kind.stream() {
		r.Model, r.Tokens, r.Prefix = model, "900,32", fmt.Sprintf("a%d:800,own%s:100", rng.IntN(6), s.id[:8])
		if s.poison && fx.poisonOptions.CrashBlock != "" {
			r.Prefix = fmt.Sprintf("a%d:740,%s:60,own%s:100", rng.IntN(6), poisonBlock, s.id[:8])
		}
	}
	c.Key = s.key
	ctx, cancel := context.WithTimeout(ctx, fx.deadline()+deadlineSlack)
	defer cancel()
	s.from = time.Now()
	if s.host != nil {
		s.incarnation = s.host.currentIncarnation()
		s.answer, s.err = c.SendTo(ctx, s.host.caller(), r)
	} else {
		s.answer, s.err = c.Send(ctx, r)
	}
	s.to = time.Now()
	if s.host != nil && s.host.currentIncarnation() != s.incarnation {
		// Either incarnation may have answered.
		s.incarnation = 0
	}
	fx.observed.add(s)
	fx.check(s)
}
